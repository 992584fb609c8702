package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/upstream"
)

// serveConns starts a listener and calls fn with each connection and its number,
// from 1. It returns the target and the count of connections.
func serveConns(t *testing.T, fn func(n int, c net.Conn)) (upstream.Target, *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	count := new(atomic.Int32)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(count.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				fn(n, c)
			}()
		}
	}()
	return upstream.Target{ID: "e", Addr: ln.Addr().String()}, count
}

func readRequest(t *testing.T, br *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	_, err = io.Copy(io.Discard, r.Body)
	assert.NoError(t, err)
	return r
}

func rawAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func getRequest(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Id": {id}, "User-Agent": {""}},
		Matches: func(h http.Header, first bool) bool { return h.Get("Id") == id || h.Get("Id") == "" && first },
	}
}

func call(p *upstream.Pool, t upstream.Target, r *upstream.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, t, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// TestDuplicateAnswerIsSkipped: an endpoint sends an answer twice, and the copy
// arrives after the next request was sent on the connection. That request must
// not get the copy as its answer.
func TestDuplicateAnswerIsSkipped(t *testing.T) {
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		readRequest(t, br)
		_, _ = io.WriteString(c, rawAnswer("1", "one"))
		readRequest(t, br)
		_, _ = io.WriteString(c, rawAnswer("1", "one")+rawAnswer("2", "two"))
		readRequest(t, br)
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	body, err := call(p, target, getRequest("1"))
	require.NoError(t, err)
	assert.Equal(t, "one", body)
	body, err = call(p, target, getRequest("2"))
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

// slowReturnConn is a connection whose writes return 20 ms after the bytes were
// sent.
type slowReturnConn struct{ net.Conn }

func (c slowReturnConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(20 * time.Millisecond)
	return n, err
}

// TestAnswerBeforeWriteReturnsKeepsConnection: on a busy machine the answer is
// complete before the goroutine that wrote the request has run again. The
// connection must still be kept; otherwise each request would need a new one.
func TestAnswerBeforeWriteReturnsKeepsConnection(t *testing.T) {
	for _, body := range []int{0, 8 << 10} {
		target, count := serveConns(t, func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			for readRequest(t, br) != nil {
				_, _ = io.WriteString(c, rawAnswer("1", "one"))
			}
		})
		p := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, network, addr)
			return slowReturnConn{nc}, err
		})
		for range 3 {
			r := getRequest("1")
			r.Method, r.Body = http.MethodPost, make([]byte, body)
			_, err := call(p, target, r)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		assert.EqualValues(t, 1, count.Load(), "with a body of %d bytes", body)
		p.Close()
	}
}

// TestUnsolicitedBytesCloseIdleConnection: an endpoint sends an answer twice, and
// the copy arrives while the connection is idle. The connection must not be used
// again.
func TestUnsolicitedBytesCloseIdleConnection(t *testing.T) {
	target, count := serveConns(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for readRequest(t, br) != nil {
			_, _ = io.WriteString(c, rawAnswer("1", "one"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, rawAnswer("1", "one"))
		}
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	for range 2 {
		body, err := call(p, target, getRequest("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
		time.Sleep(50 * time.Millisecond)
	}
	assert.EqualValues(t, 2, count.Load())
}

// TestNoAutomaticRetry: an endpoint reads a request on a reused connection and
// closes it without an answer. An HTTP client that retries by itself would run
// the request twice, outside the retry budget.
func TestNoAutomaticRetry(t *testing.T) {
	var requests atomic.Int32
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		readRequest(t, br)
		requests.Add(1)
		_, _ = io.WriteString(c, rawAnswer("1", "one"))
		if readRequest(t, br) != nil {
			requests.Add(1)
		}
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	_, err := call(p, target, getRequest("1"))
	require.NoError(t, err)
	_, err = call(p, target, getRequest("1"))
	assert.True(t, errorx.IsOfType(err, upstream.ErrLost))
	assert.EqualValues(t, 2, requests.Load())
}

// TestClosedIdleConnection: a request on a connection that the endpoint closed
// while it was idle would be lost. The kernel reports the close, and a new
// connection is made.
func TestClosedIdleConnection(t *testing.T) {
	target, count := serveConns(t, func(_ int, c net.Conn) {
		readRequest(t, bufio.NewReader(c))
		_, _ = io.WriteString(c, rawAnswer("1", "one"))
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	for range 3 {
		_, err := call(p, target, getRequest("1"))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.EqualValues(t, 3, count.Load())
}

// TestTruncatedAnswer: an endpoint sends fewer bytes than its Content-Length. The
// caller must get an error instead of a part of the answer.
func TestTruncatedAnswer(t *testing.T) {
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		readRequest(t, bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none")
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	_, err := call(p, target, getRequest("1"))
	assert.Error(t, err)
}

// TestAnswerBeforeBodyIsRead: an endpoint answers before it has read a long body.
// The connection must not carry another request, which the endpoint would read as
// the rest of the body.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	target, count := serveConns(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		_, err := http.ReadRequest(br)
		assert.NoError(t, err)
		_, _ = io.WriteString(c, rawAnswer("1", "no"))
		time.Sleep(300 * time.Millisecond)
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	for range 2 {
		r := getRequest("1")
		r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
		body, err := call(p, target, r)
		require.NoError(t, err)
		assert.Equal(t, "no", body)
	}
	assert.EqualValues(t, 2, count.Load())
}

// TestReusedAddress: an endpoint has the address of one that is gone. A request to
// it must not use a connection to its predecessor, which may serve something else;
// connections are pooled by incarnation.
func TestReusedAddress(t *testing.T) {
	target, count := serveConns(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for readRequest(t, br) != nil {
			_, _ = io.WriteString(c, rawAnswer("1", "one"))
		}
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	_, err := call(p, target, getRequest("1"))
	require.NoError(t, err)
	target.ID = "successor"
	_, err = call(p, target, getRequest("1"))
	require.NoError(t, err)
	assert.EqualValues(t, 2, count.Load())
}

// TestNothingListensIsConnectError: if nothing listens at the address, the error
// must say that no part of the request was sent, so that any request may be sent
// to another endpoint.
func TestNothingListensIsConnectError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_ = ln.Close()
	p := upstream.NewPool(nil)
	_, err = call(p, upstream.Target{ID: "e", Addr: ln.Addr().String()}, getRequest("1"))
	assert.True(t, upstream.IsConnectError(err))
}

// TestKeepAliveTimeout: if the endpoint advertises an idle timeout, this side must
// close an idle connection first.
func TestKeepAliveTimeout(t *testing.T) {
	target, count := serveConns(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for readRequest(t, br) != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	for range 2 {
		_, err := call(p, target, getRequest("1"))
		require.NoError(t, err)
		time.Sleep(600 * time.Millisecond)
	}
	assert.EqualValues(t, 2, count.Load(), "this side closes an idle connection first")
}

// TestIsRefused: the machine of a crashed endpoint refuses connections. If the
// wrapped cause were not found, requests would be sent there again every half
// second.
func TestIsRefused(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	require.NoError(t, ln.Close())
	_, err = upstream.NewPool(nil).Do(t.Context(), upstream.Target{ID: "e", Addr: addr}, &upstream.Request{Method: "GET", URI: "/", Host: addr})
	assert.True(t, upstream.IsConnectError(err))
	assert.True(t, upstream.IsConnRefused(err))
	assert.False(t, upstream.IsConnRefused(errors.New("other")))
}

// TestFreshConnectionEvictsIdle: if each request with a new connection left it idle beside
// the earlier ones, all entries together would reach the connection limit of an endpoint.
// When entries lose power, their dead connections would then block callers for seconds.
func TestFreshConnectionEvictsIdle(t *testing.T) {
	var open atomic.Int32
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		br := bufio.NewReader(c)
		for {
			r := readRequest(t, br)
			if r == nil {
				return
			}
			_, _ = io.WriteString(c, rawAnswer(r.Header.Get("Id"), "ok"))
		}
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	for range 20 {
		r := getRequest("a")
		r.NewConnection = true
		_, err := call(p, target, r)
		require.NoError(t, err)
	}
	assert.Eventually(t, func() bool { return open.Load() <= 2 }, time.Second, 5*time.Millisecond, "idle connections stay open")
}

// TestEndlessHeaderIsBroken guards against an endpoint that sends header lines without end,
// which would be kept in memory until the request's deadline.
func TestEndlessHeaderIsBroken(t *testing.T) {
	const enough = 4 << 20
	sent := make(chan int, 1)
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		readRequest(t, bufio.NewReader(c))
		n, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil && n < enough {
			var more int
			more, err = io.WriteString(c, "Line: "+strings.Repeat("x", 1000)+"\r\n")
			n += more
		}
		sent <- n
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	_, err := call(p, target, getRequest("a"))
	assert.True(t, errorx.IsOfType(err, upstream.ErrLost))
	assert.Less(t, <-sent, enough)
}

// TestIdleConnectionsAreBounded guards against a pool that keeps connections, with their
// buffers, to each of hundreds of endpoints until the memory of a small VM is used up.
func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints, each, maxIdle = 200, 8, 512
		var open, most atomic.Int32
		p := upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			most.Store(max(most.Load(), open.Add(1)))
			go func() {
				defer open.Add(-1)
				defer func() { _ = far.Close() }()
				br := bufio.NewReader(far)
				for r := readRequest(t, br); r != nil; r = readRequest(t, br) {
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(far, rawAnswer(r.Header.Get("Id"), "ok"))
				}
			}()
			return near, nil
		})
		defer p.Close()
		var wg sync.WaitGroup
		for i := range endpoints {
			e := upstream.Target{ID: fmt.Sprint("e", i), Addr: "e"}
			for range each {
				wg.Go(func() {
					_, err := call(p, e, getRequest("a"))
					assert.NoError(t, err)
				})
			}
		}
		wg.Wait()
		synctest.Wait()
		assert.Equal(t, int32(endpoints*each), most.Load(), "all calls have connections of their own")
		assert.LessOrEqual(t, open.Load(), int32(maxIdle), "idle connections stay open")
		assert.Positive(t, open.Load())
	})
}

// TestResetBeforeSendIsConnectError: an endpoint at its connection limit resets each new
// connection. The error must say that no part of the request was sent; otherwise the
// request counts as possibly run and is not sent to another endpoint.
func TestResetBeforeSendIsConnectError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dialled, read int
		p := upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
			dialled++
			near, far := net.Pipe()
			go func() {
				time.Sleep(time.Millisecond)
				_ = far.SetReadDeadline(time.Now())
				n, _ := far.Read(make([]byte, 1))
				read += n
				_ = far.Close()
			}()
			return near, nil
		})
		defer p.Close()
		fresh := getRequest("a")
		fresh.NewConnection = true
		_, err := call(p, upstream.Target{ID: "e", Addr: "e:1"}, fresh) // the pool has no record of the endpoint yet
		require.Error(t, err)
		for range 5 {
			_, err := call(p, upstream.Target{ID: "e", Addr: "e:1"}, fresh)
			assert.True(t, upstream.IsConnectError(err), "%v", err)
		}
		assert.Equal(t, 6, dialled)
		assert.Zero(t, read)
	})
}

// An endpoint that advertises an idle timeout of two hours keeps its connection when the
// pool is closed.
func TestCloseEndsLongIdleConnections(t *testing.T) {
	ended := make(chan struct{})
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		defer close(ended)
		br := bufio.NewReader(c)
		for r := readRequest(t, br); r != nil; r = readRequest(t, br) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=7200\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := upstream.NewPool(nil)
	_, err := call(p, target, getRequest("a"))
	require.NoError(t, err)
	p.Close()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// An endpoint sends interim answers without end. The request must fail soon instead of
// reading them until its deadline.
func TestInterimAnswersAreBounded(t *testing.T) {
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		readRequest(t, bufio.NewReader(c))
		for range 200 {
			if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, rawAnswer("a", "ok"))
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	_, err := call(p, target, getRequest("a"))
	assert.True(t, errorx.IsOfType(err, upstream.ErrLost), "%v", err)
}

// TestLongStaleAnswerIsNotParsed: a late answer to an earlier request is longer than what is
// skipped, and its body looks like an answer. A request must not get that as its own.
func TestLongStaleAnswerIsNotParsed(t *testing.T) {
	forged := rawAnswer("2", "forged")
	body := strings.Repeat("x", 64<<10) + forged
	target, _ := serveConns(t, func(_ int, c net.Conn) {
		readRequest(t, bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	got, err := call(p, target, getRequest("2"))
	assert.Error(t, err, "got %q", got)
}
