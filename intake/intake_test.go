package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ebonypulley/memory"
	"ebonypulley/metrics"
)

// A connection with a request under way is closed for a new one, and its answer is lost.
func TestOnlyIdleConnectionsAreEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		table, busy := NewTable[int](limit), make(map[int]bool)
		var idle []int // oldest first
		for k := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if table.Full() {
				got, ok := table.Evict()
				require.Equal(t, len(idle) > 0, ok)
				if !ok {
					continue
				}
				require.Equal(t, idle[0], got)
				idle = idle[1:]
			}
			table.Add(k)
			busy[k] = true
			require.LessOrEqual(t, table.Len(), limit)
			if rapid.Bool().Draw(t, "becomes idle") {
				table.SetIdle(k, true)
				table.SetIdle(k, true)
				idle = append(idle, k)
			}
		}
	})
}

// testServer is a server behind a listener; requests to /wait last until released.
type testServer struct {
	t        *testing.T
	addr     string
	metrics  *metrics.Set
	budget   *memory.Budget
	released chan struct{}
}

func newTestServer(t *testing.T, maxConns int, limit int64) *testServer {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	s := &testServer{t: t, addr: ln.Addr().String(), metrics: metrics.NewSet(), budget: memory.NewBudget(limit), released: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-s.released
		}
	})}
	callers := NewListener(ln, s.budget, maxConns, s.metrics)
	callers.Attach(server)
	go func() { _ = server.Serve(callers) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial() caller {
	nc, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	return caller{nc, bufio.NewReader(nc)}
}

func (c caller) send(path string) {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
}

// status returns the status of the next answer; 0 if the connection was closed.
func (c caller) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func (c caller) get() int {
	c.send("/")
	return c.status()
}

// Idle connections take all descriptors, so that callers with requests get none.
func TestIdleConnectionsMakeWay(t *testing.T) {
	s := newTestServer(t, 2, 0)
	first, second := s.dial(), s.dial()
	require.Equal(t, http.StatusOK, first.get())
	require.Equal(t, http.StatusOK, second.get())
	assert.Equal(t, http.StatusOK, first.get(), "the second is idle longer now")
	third := s.dial()
	assert.Equal(t, http.StatusOK, third.get())
	assert.Equal(t, http.StatusOK, first.get())
	assert.Zero(t, second.status())
	assert.Equal(t, int64(1), s.metrics.Count(counterEvicted))
}

// Connections beyond the memory are served, and the process ends with all that it has under way.
func TestNoRoomBesideBusyConnections(t *testing.T) {
	s := newTestServer(t, 0, 2*4*ConnectionMemory) // a quarter is for connections
	first, second := s.dial(), s.dial()
	first.send("/wait")
	second.send("/wait")
	require.Eventually(t, func() bool { return s.budget.Used(memory.Connections) == 2*ConnectionMemory }, time.Second, time.Millisecond)
	assert.Zero(t, s.dial().get(), "closed unread")
	assert.Equal(t, int64(1), s.metrics.Count(counterRefused))
	close(s.released)
	assert.Equal(t, http.StatusOK, first.status())
	assert.Equal(t, http.StatusOK, second.status())
	_ = first.Close()
	assert.Eventually(t, func() bool { return s.dial().get() == http.StatusOK }, time.Second, 10*time.Millisecond)
	_ = second.Close()
}

// Memory of connections that have ended is never returned, and after days none is accepted.
func TestMemoryOfClosedConnectionsIsReturned(t *testing.T) {
	s := newTestServer(t, 0, 4*4*ConnectionMemory)
	for range 40 {
		c := s.dial()
		assert.Equal(t, http.StatusOK, c.get())
		_ = c.Close()
	}
	assert.Eventually(t, func() bool { return s.budget.Used(memory.Connections) == 0 }, time.Second, time.Millisecond)
}

// A request is read from a connection at the moment at which it is evicted: it would run,
// and its caller would never get the answer.
func TestRequestOfEvictedConnectionIsDropped(t *testing.T) {
	l := NewListener(nil, nil, 0, metrics.NewSet())
	c := &conn{listener: l}
	served := false
	h := l.dropEvicted(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	r := httptest.NewRequestWithContext(context.WithValue(t.Context(), connKey{}, net.Conn(c)), http.MethodGet, "/", nil)
	h.ServeHTTP(httptest.NewRecorder(), r)
	require.True(t, served)
	c.evicted.Store(true)
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { h.ServeHTTP(httptest.NewRecorder(), r) })
}
