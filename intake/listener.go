package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"ebonypulley/memory"
	"ebonypulley/metrics"
)

// ConnectionMemory is what a connection takes while its request waits for an answer, in
// bytes: goroutines, buffers, header, the call and the connection to an endpoint.
const ConnectionMemory = 40 << 10

// Counters of a Listener.
const (
	counterEvicted = "caller_connections_evicted"
	counterRefused = "caller_connections_refused"
)

// Listener accepts callers' connections for an http.Server, within bounds. Beyond them a new
// connection replaces the one that has been idle longest, or is closed unread if none is
// idle: its caller loses nothing and tries another entry at once.
type Listener struct {
	*net.TCPListener
	budget  *memory.Budget
	metrics *metrics.Set

	mu    sync.Mutex
	table *Table[*conn]
}

// NewListener returns a Listener that takes ConnectionMemory from the Connections share for
// each connection and accepts at most maxConns at a time; zero means no such limit.
func NewListener(ln *net.TCPListener, budget *memory.Budget, maxConns int, m *metrics.Set) *Listener {
	return &Listener{TCPListener: ln, budget: budget, metrics: m, table: NewTable[*conn](maxConns)}
}

// conn is a connection of the listener.
type conn struct {
	*net.TCPConn
	listener *Listener
	evicted  atomic.Bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: nc, listener: l}
		if l.add(c) {
			return c, nil
		}
		l.metrics.Add(counterRefused, 1)
		_ = nc.Close()
	}
}

// add takes in a connection if there is room, or an idle one that can be closed for it.
func (l *Listener) add(c *conn) bool {
	old, ok := l.admit(c)
	if old != nil {
		l.metrics.Add(counterEvicted, 1)
		_ = old.TCPConn.Close()
	}
	return ok
}

// admit adds a connection to the table; evicted, if not nil, has to be closed for it.
func (l *Listener) admit(c *conn) (evicted *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Full() || !l.budget.Take(memory.Connections, ConnectionMemory) {
		// The memory of the evicted connection passes to the new one.
		if evicted, ok = l.table.Evict(); !ok {
			return nil, false
		}
		evicted.evicted.Store(true)
	}
	l.table.Add(c)
	return evicted, true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Remove(c) {
		l.budget.Release(memory.Connections, ConnectionMemory)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach makes a server report to the listener which connections are idle, and keeps it from
// serving requests of evicted ones.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			l.setIdle(c, state == http.StateIdle)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	s.Handler = l.dropEvicted(s.Handler)
}

func (l *Listener) setIdle(c *conn, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetIdle(c, idle)
}

// dropEvicted drops a request that was read while its idle connection was evicted: its
// caller can't get the answer and sends it again elsewhere.
func (l *Listener) dropEvicted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.evicted.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
