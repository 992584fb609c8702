package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kind is a kind of request.
type kind struct {
	method, host, path string
	idempotent         bool
	// limit is how long a client waits, all its attempts together.
	limit time.Duration
	// header holds further lines of the request's header, each with its end.
	header string
	// headerOf, if set, returns header for each request.
	headerOf func() string
}

// clients send requests to the entries as the platform forwards them: new channels go to the
// entries that are ready, and a channel stays with its entry.
type clients struct {
	rec     *record
	entries []*entry
	// retries is the number of further attempts of a client, and abusive the fraction of
	// clients that make abusiveRetries more of them at once, whatever they were told.
	retries        int
	abusive        atomic.Uint64 // percent
	abusiveRetries int

	mu   sync.Mutex
	idle map[*entry][]*channel
	wg   sync.WaitGroup

	sent, served, refused, cut, other atomic.Int64
	// requests counts requests with all their attempts, and answered those that were served.
	requests, answered atomic.Int64
	// overdue counts the attempts on plain routes without an answer at their route's timeout,
	// unanswered those without one half a second later.
	overdue, unanswered atomic.Int64
	// lost counts the attempts that an entry in touch passed on from a kept channel to a sound
	// worker, and whose channel it closed without any part of an answer.
	lost atomic.Int64
}

// channel is a connection of a client.
type channel struct {
	nc   net.Conn
	br   *bufio.Reader
	kept bool // it has carried a request before
}

// maxIdle is the number of idle channels that clients keep to one entry.
const maxIdle = 40

var errNoAnswer = errors.New("the channel ended without an answer")

// take returns a channel to an entry, a new one if fresh.
func (c *clients) take(e *entry, fresh bool) (*channel, error) {
	c.mu.Lock()
	if list := c.idle[e]; len(list) > 0 && !fresh {
		ch := list[len(list)-1]
		c.idle[e] = list[:len(list)-1]
		c.mu.Unlock()
		return ch, nil
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{nc: nc, br: bufio.NewReader(nc)}, nil
}

func (c *clients) put(e *entry, ch *channel) {
	ch.kept = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[e]) >= maxIdle {
		_ = ch.nc.Close()
		return
	}
	c.idle[e] = append(c.idle[e], ch)
}

// isOpen reports whether a kept channel is still open, as a client sees it before it sends.
func (ch *channel) isOpen() bool {
	_ = ch.nc.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := ch.br.Peek(1)
	_ = ch.nc.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// outcome is how an attempt ended. The status is zero without an answer.
type outcome struct {
	status     int
	retryAfter time.Duration
	err        error
}

// attempt makes one attempt.
func (c *clients) attempt(e *entry, k kind, id string, left time.Duration, fresh bool) outcome {
	ch, err := c.take(e, fresh)
	for err == nil && ch.kept && !ch.isOpen() {
		_ = ch.nc.Close()
		ch, err = c.take(e, false)
	}
	if err != nil {
		c.rec.note("request %s: no channel to %s: %v", id, e.name, err)
		return outcome{err: err}
	}
	c.sent.Add(1)
	c.rec.note("request %s sent to %s, kept channel %t, Deadline-Ms %d: %s %s", id, e.name, ch.kept, left.Milliseconds(), k.method, k.path)
	sentAt := time.Now()
	_ = ch.nc.SetDeadline(sentAt.Add(left))
	defer func() { c.judgeTime(id, left, time.Since(sentAt)) }()
	body := ""
	if k.method == http.MethodPost {
		body = strings.Repeat("b", 600)
	}
	_, err = fmt.Fprintf(ch.nc, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n%s",
		k.method, k.path, k.host, id, left.Milliseconds(), len(body), k.header, body)
	var resp *http.Response
	var text []byte
	if err == nil {
		resp, err = http.ReadResponse(ch.br, nil)
	}
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		_ = ch.nc.Close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.rec.note("request %s: the client's time limit passes", id)
			c.other.Add(1)
			return outcome{err: err}
		}
		c.cut.Add(1)
		reached := c.rec.reachedSound(id)
		if ch.kept && reached && resp == nil && e.inTouch() {
			c.lost.Add(1)
		}
		c.rec.note("request %s: %s ended its channel without an answer (kept channel %t, passed on to a sound worker %t): %v", id, e.name, ch.kept, reached, err)
		return outcome{err: errNoAnswer}
	}
	_ = ch.nc.SetDeadline(time.Time{})
	c.rec.note("request %s: answer %d, %d bytes, Retry-After %q", id, resp.StatusCode, len(text), resp.Header.Get("Retry-After"))
	out := outcome{status: resp.StatusCode}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Close {
		_ = ch.nc.Close()
	} else {
		c.put(e, ch)
	}
	switch {
	case resp.StatusCode < 300:
		c.served.Add(1)
	case isPromise(resp.StatusCode):
		c.refused.Add(1)
	default:
		c.other.Add(1)
	}
	return out
}

// judgeTime counts an attempt that ended after some time, if its client waited long enough to
// tell whether its route's timeout was kept.
func (c *clients) judgeTime(id string, left, took time.Duration) {
	const timeout, slack = routeTimeoutMs * time.Millisecond, 500 * time.Millisecond
	if left < timeout+slack || left > clientLimit || took < timeout {
		return
	}
	c.overdue.Add(1)
	if took >= timeout+slack {
		c.unanswered.Add(1)
		c.rec.note("request %s: no answer 0.5 s after its route's timeout", id)
	}
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// pick returns an entry for a new client or attempt.
func (c *clients) pick() *entry { return c.entries[rand.IntN(len(c.entries))] }

// request makes the attempts of one client.
func (c *clients) request(k kind) {
	began := time.Now()
	c.requests.Add(1)
	if k.headerOf != nil {
		k.header = k.headerOf()
	}
	abusive := uint64(rand.IntN(100)) < c.abusive.Load()
	most := c.retries
	if abusive {
		most += c.abusiveRetries
	}
	for n := 0; ; n++ {
		left := k.limit - time.Since(began)
		if left < 10*time.Millisecond {
			return
		}
		out := c.attempt(c.pick(), k, newID(), left, n > 0)
		if out.status > 0 && out.status < 300 {
			c.answered.Add(1)
			return
		}
		switch {
		case n >= most:
			return
		case out.status == http.StatusBadRequest || out.status == http.StatusUnauthorized || out.status == http.StatusNotFound:
			return
		case !k.idempotent && !isPromise(out.status):
			return
		}
		if !abusive {
			time.Sleep(min(out.retryAfter, (k.limit-time.Since(began))/3))
		}
	}
}

// run sends requests at a rate, which may change, until stop is closed.
func (c *clients) run(k kind, perSecond func() float64, stop <-chan struct{}) {
	for {
		gap := time.Duration(rand.ExpFloat64() / perSecond() * float64(time.Second))
		select {
		case <-time.After(gap):
		case <-stop:
			return
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.request(k)
		}()
	}
}

// awaitEnds waits, for a bounded time, until the requests in progress have ended.
func (c *clients) awaitEnds(limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}
