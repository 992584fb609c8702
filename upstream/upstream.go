// Package upstream is an HTTP/1.1 client with a connection pool for endpoints.
//
// It differs from http.Transport where that matters for calls that must not run
// twice: it never retries a request by itself, its errors say whether any part
// of a request was sent, and it recognises an answer to an earlier request on
// the same connection.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
)

var (
	upstreamErrors = errorx.NewNamespace("upstream")
	// ErrConnect is returned when no connection was established, so that no part
	// of the request was sent.
	ErrConnect = upstreamErrors.NewType("connect")
	// ErrLost is returned when the request was sent, at least in part, and no
	// answer to it arrived. The request may have run.
	ErrLost = upstreamErrors.NewType("lost")
)

const (
	// dialTimeout bounds a connection attempt. A handshake takes a few
	// milliseconds. A lost SYN is retransmitted only after a second, which is too
	// late for a call with a target of 300 ms.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// does not advertise its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the idle timeout that an endpoint advertises, in seconds: connections with
	// longer ones would take the place of those to other endpoints.
	maxIdleTimeout = 300
	// idleMargin is subtracted from the idle timeout that an endpoint advertises,
	// so that this side closes first.
	idleMargin = time.Second
	// maxIdleConns bounds the idle connections to one endpoint. It is enough for
	// a burst and well below the number of connections that the smallest endpoint
	// accepts from all entries.
	maxIdleConns = 8
	// maxIdleTotal bounds the idle connections to all endpoints together, each of which takes
	// some 10 kB of memory.
	maxIdleTotal = 512
	// For brokenTTL after a new connection to an endpoint broke, further new ones
	// are checked for a reset before they are used. The check waits for
	// resetWaitRTTs times the time that the connection took to establish, plus
	// minResetWait for the endpoint to act.
	brokenTTL     = 5 * time.Second
	resetWaitRTTs = 2
	minResetWait  = 2 * time.Millisecond
	// bufferSize is the size in bytes of each connection's read buffer and of
	// its write buffer; most requests and answers fit.
	bufferSize = 4 << 10
)

// Target identifies the endpoint that a request is sent to. Connections are
// pooled by both fields, so that an endpoint that reuses the address of another
// one never gets requests over the old connections.
type Target struct {
	// ID identifies the endpoint's incarnation.
	ID string
	// Addr is the endpoint's IP:port.
	Addr string
}

// Pool sends requests and keeps idle connections. It is safe for concurrent use.
type Pool struct {
	dial ebonypulley.Dialer
	mu   sync.Mutex
	idle map[Target][]*conn
	// idleTotal is the number of connections in idle.
	idleTotal int
	// brokenAt is when a new connection to a target last ended before any answer.
	brokenAt map[Target]time.Time
}

// NewPool returns an empty Pool. A nil dial means TCP.
func NewPool(dial ebonypulley.Dialer) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: make(map[Target][]*conn), brokenAt: make(map[Target]time.Time)}
}

// conn is a connection. It carries one request at a time.
type conn struct {
	nc          net.Conn
	head        *headReader
	br          *bufio.Reader // reads from head
	bw          *bufio.Writer
	idleUntil   time.Time // when the connection is closed if it stays idle
	reused      bool      // it has carried a request before
	idleTimeout time.Duration
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, t Target, newConnection bool) (*conn, error) {
	if newConnection {
		p.evictIdle(t)
	} else if c := p.takeIdle(t); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := time.Now()
	nc, err := p.dial(ctx, "tcp", t.Addr)
	if err != nil {
		return nil, ErrConnect.Wrap(err, "connect to %s", t.Addr)
	}
	head := &headReader{nc: nc, left: unlimited}
	c := &conn{nc: nc, head: head, br: bufio.NewReaderSize(head, bufferSize), bw: bufio.NewWriterSize(nc, bufferSize), idleTimeout: defaultIdleTimeout}
	if err := p.awaitReset(t, c, time.Since(began)); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// takeIdle removes the last used connection to a target that is still open from
// the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(t Target) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[t]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.setIdleLocked(t, list[:len(list)-1])
		p.mu.Unlock()
		if now.Before(c.idleUntil) && isIdle(c.nc) {
			c.reused = true
			return c
		}
		_ = c.nc.Close()
	}
}

// evictIdle closes the connection to a target that has been idle for longest, unless it is
// the only one. The endpoint accepts a limited number of connections from all entries, so
// that a new connection has to replace an idle one.
func (p *Pool) evictIdle(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[t]; len(list) > 1 {
		_ = list[0].nc.Close()
		p.setIdleLocked(t, list[1:])
	}
}

// awaitReset checks a new connection for a reset before it is used, if another new one to
// the target broke within brokenTTL. An endpoint at its connection limit resets further
// connections, and it would be unknown whether a request sent on one of them ran. dialTime
// is how long the connection took to establish.
func (p *Pool) awaitReset(t Target, c *conn, dialTime time.Duration) error {
	p.mu.Lock()
	last, known := p.brokenAt[t]
	p.mu.Unlock()
	if !known || time.Since(last) > brokenTTL {
		return nil
	}
	if err := checkOpen(c, resetWaitRTTs*dialTime+minResetWait); err != nil {
		p.recordBroken(t)
		return ErrConnect.Wrap(err, "%s closed the connection before anything was sent", t.Addr)
	}
	return nil
}

// errUnsolicited is returned when an endpoint sends bytes before any request.
var errUnsolicited = ErrLost.NewSubtype("unasked")

// checkOpen waits for a reset on a connection on which nothing was sent. It returns nil if
// the connection is still open after the wait, and otherwise the error that ended it.
func checkOpen(c *conn, wait time.Duration) error {
	if err := c.nc.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := c.br.Peek(1)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.nc.SetReadDeadline(time.Time{})
	case err == nil:
		return errUnsolicited.New("received bytes before any request was sent")
	}
	return err
}

// recordBroken records that a new connection ended before any answer.
func (p *Pool) recordBroken(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.brokenAt[t] = time.Now()
}

// setIdleLocked sets the idle connections of a target. The caller holds p.mu.
func (p *Pool) setIdleLocked(t Target, list []*conn) {
	p.idleTotal += len(list) - len(p.idle[t])
	if len(list) == 0 {
		delete(p.idle, t)
		return
	}
	p.idle[t] = list
}

// put adds a connection to the idle ones, or closes it if there are enough.
func (p *Pool) put(t Target, c *conn) {
	_ = c.nc.SetWriteDeadline(time.Time{}) // an error recurs at the next use
	c.idleUntil = time.Now().Add(c.idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[t]) >= maxIdleConns {
		_ = c.nc.Close()
		return
	}
	if p.idleTotal >= maxIdleTotal {
		p.closeOldestLocked()
	}
	p.setIdleLocked(t, append(p.idle[t], c))
}

// closeOldestLocked closes the idle connection that expires next. The caller holds p.mu.
func (p *Pool) closeOldestLocked() {
	var oldest Target
	var until time.Time
	for t, list := range p.idle {
		if until.IsZero() || list[0].idleUntil.Before(until) {
			oldest, until = t, list[0].idleUntil
		}
	}
	list := p.idle[oldest]
	_ = list[0].nc.Close()
	p.setIdleLocked(oldest, list[1:])
}

// CloseExpired closes the connections whose idle timeout has expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.nc.Close()
		}
		p.setIdleLocked(t, kept)
	}
	maps.DeleteFunc(p.brokenAt, func(_ Target, at time.Time) bool { return now.Sub(at) > brokenTTL })
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.nc.Close()
		}
	}
	clear(p.idle)
	p.idleTotal = 0
}

// keepAliveTimeout returns how long an idle connection may be kept according to
// the Keep-Alive header in h, less a margin; zero if it has no timeout.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name != "timeout" {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		s = min(s, maxIdleTimeout)
		return max(time.Duration(s)*time.Second-idleMargin, time.Duration(s)*time.Second/2)
	}
	return 0
}

// IsConnectError reports whether err is an ErrConnect: no part of the request was
// sent.
func IsConnectError(err error) bool { return errorx.IsOfType(err, ErrConnect) }

// IsConnRefused reports whether the connection was refused: the endpoint's machine
// is up, but nothing listens at the address.
//
// errors.Is does not see the causes of wrapped errorx errors, so that each cause
// is checked here. Otherwise a crashed endpoint would be tried again every half
// second for as long as it stays published.
func IsConnRefused(err error) bool {
	for err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return false
		}
		err = wrapped.Cause()
	}
	return false
}
