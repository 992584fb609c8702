package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ebonypulley/memory"
	"ebonypulley/metrics"
)

// ConnectionMemory is what a connection takes while its request waits for an answer, in
// bytes: goroutines, buffers, header, the call and the connection to an endpoint.
const ConnectionMemory = 40 << 10

const (
	// freeHeader is the size, in bytes, up to which a header is part of ConnectionMemory.
	freeHeader = 4 << 10
	// headerGrowth is the most memory that the server takes for a byte of a header that it
	// reads; the shortest fields take most.
	headerGrowth = 25
)

// socketBuffer is the size of each of the two buffers of a connection in the kernel, in bytes.
const socketBuffer = 8 << 10

// Counters of a Listener.
const (
	counterEvicted = "caller_connections_evicted"
	counterRefused = "caller_connections_refused"
	counterHeaders = "caller_headers_refused"
	counterBehind  = "caller_connections_refused_behind"
)

// Listener accepts callers' connections for an http.Server, within bounds. Beyond them a new
// connection replaces the one that has been idle longest, or is closed unread if none is
// idle: its caller loses nothing and tries another entry at once. The same happens to new
// connections while the process is behind with reading those that it has accepted.
type Listener struct {
	*net.TCPListener
	budget  *memory.Budget
	metrics *metrics.Set

	mu     sync.Mutex
	table  *Table[*conn]
	starts Starts
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
	started  atomic.Bool

	// The rest is guarded by the listener's mutex.

	start Start
	// inHeader is set while the server reads the header of a request. headerRead is what it
	// has read of it, and headerTaken the memory that was taken for that, in bytes.
	inHeader    bool
	headerRead  int64
	headerTaken int64
}

// errNoHeaderMemory ends a connection whose header there is no memory for.
var errNoHeaderMemory = errors.New("no memory for the header of a request")

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		l.boundSocket(nc)
		c := &conn{TCPConn: nc, listener: l}
		if l.add(c) {
			return c, nil
		}
		l.metrics.Add(counterRefused, 1)
		_ = nc.Close()
	}
}

// boundSocket bounds what the kernel holds of a connection, which counts towards the memory of
// the VM, if that is limited.
func (l *Listener) boundSocket(nc *net.TCPConn) {
	if l.budget.Limit(memory.Connections) == 0 {
		return
	}
	// Without the bounds the connection works as well; its end, the likely error, shows later.
	_ = nc.SetReadBuffer(socketBuffer)
	_ = nc.SetWriteBuffer(socketBuffer)
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
	if !l.starts.Admit() {
		l.metrics.Add(counterBehind, 1)
		return nil, false
	}
	if l.table.Full() || !l.budget.Take(memory.Connections, ConnectionMemory) {
		// The memory of the evicted connection passes to the new one.
		if evicted, ok = l.table.Evict(); !ok {
			return nil, false
		}
		evicted.evicted.Store(true)
	}
	l.table.Add(c)
	c.inHeader = true
	c.start = l.starts.Accept(time.Now())
	return evicted, true
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.started.CompareAndSwap(false, true) {
		c.listener.begin(c)
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.listener.takeHeader(c, int64(n)) {
		// Closed here, because the server takes what it has for a malformed request.
		_ = c.TCPConn.Close()
		return 0, errNoHeaderMemory
	}
	return n, err
}

// takeHeader takes memory for n more bytes of a header.
func (l *Listener) takeHeader(c *conn, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.inHeader {
		return true
	}
	c.headerRead += n
	more := headerGrowth*max(c.headerRead-freeHeader, 0) - c.headerTaken
	if more <= 0 {
		return true
	}
	if !l.budget.TakeLarge(memory.Bodies, more) {
		l.metrics.Add(counterHeaders, 1)
		return false
	}
	c.headerTaken += more
	return true
}

// endHeader returns the memory of a header; the handler accounts for what is left of it.
func (l *Listener) endHeader(c *conn) {
	l.budget.Release(memory.Bodies, c.headerTaken)
	c.inHeader, c.headerRead, c.headerTaken = false, 0, 0
}

// begin notes that the server reads a connection for the first time.
func (l *Listener) begin(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts.Begin(c.start, time.Now())
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
	if c.started.CompareAndSwap(false, true) {
		l.starts.Drop()
	}
	l.endHeader(c)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach makes a server report to the listener which connections are idle, and keeps it from
// serving requests of evicted ones.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			l.setState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	s.Handler = l.dropEvicted(s.Handler)
}

func (l *Listener) setState(c *conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetIdle(c, state == http.StateIdle)
	switch state {
	case http.StateActive: // the header has been read
		l.endHeader(c)
	case http.StateIdle:
		c.inHeader = true
	}
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
