// Package http10 makes aborted answers look so to callers that speak HTTP/1.0.
package http10

import (
	"context"
	"net"
	"net/http"
)

// ResetAborted makes a server reset the connection of an HTTP/1.0 caller unless its answer is
// complete. It must be called once, before the server serves.
//
// HTTP/1.0 has no chunks: an answer of unknown length ends with its connection. The reset is set
// before the answer begins, so that it also happens when this process is killed.
func ResetAborted(s *http.Server) {
	attachConns(s)
	inner := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			inner.ServeHTTP(w, r)
			return
		}
		setLinger(r, 0)
		inner.ServeHTTP(w, r) // panics if the answer is aborted
		setLinger(r, defaultLinger)
	})
}

// connKey is the context key of a request's connection.
type connKey struct{}

// attachConns puts the connections of a server into the contexts of its requests.
func attachConns(s *http.Server) {
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// defaultLinger makes a closed connection deliver what was sent.
const defaultLinger = -1

// setLinger sets how a request's connection ends; with zero seconds it is reset.
func setLinger(r *http.Request, seconds int) {
	if nc, ok := r.Context().Value(connKey{}).(interface{ SetLinger(int) error }); ok {
		_ = nc.SetLinger(seconds) // fails only on a connection that has ended
	}
}
