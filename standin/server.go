package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
)

const headerTimeout = 5 * time.Second

// Server serves a stand-in over HTTP, as a process of its own or on a listener.
type Server struct {
	Listen  string
	Handler Handler
	server  *http.Server
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "listen")
	}
	return s.Serve(ctx, ln)
}

// Serve serves on ln until ctx ends, and closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
	g := ebonypulley.NewGroup(ctx)
	if r, ok := s.Handler.(Runner); ok {
		g.Go(r.Run)
	}
	g.Go(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
		defer stop()
		if err := s.server.Serve(ln); err != http.ErrServerClosed {
			return errorx.ExternalError.Wrap(err, "serve")
		}
		return nil
	})
	return g.Wait()
}

// Drain implements ebonypulley.Daemon. A stand-in stops at once.
func (s *Server) Drain(context.Context) error { return s.server.Close() }

var _ ebonypulley.Daemon = (*Server)(nil)
