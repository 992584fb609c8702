package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"ebonypulley/internal/answerhead"
)

// Request is an HTTP request.
type Request struct {
	Method string
	// URI is the request target, path and query, and is sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection: for a request that must not be lost
	// because the endpoint closes an idle connection while it is sent.
	NewConnection bool
	// Matches reports whether an answer with header h belongs to this request;
	// nil accepts any answer. first is set for the first answer on a new
	// connection.
	Matches func(h http.Header, first bool) bool
	// OnConnected, if set, is called when there is a connection, before anything
	// is sent on it.
	OnConnected func()
}

// maxStaleAnswers is the number of answers to earlier requests that are skipped
// before the answer to a request, and maxStaleBody the number of bytes of each
// that are discarded.
const (
	maxStaleAnswers = 2
	maxStaleBody    = 64 << 10
)

// maxInterimAnswers is the number of 1xx answers that are skipped before an answer.
const maxInterimAnswers = 5

// Response is an answer. The caller reads its body with Read and must call Close.
type Response struct {
	Status int
	Header http.Header
	// UntilClose says that the body has neither a length nor chunks and ends with the
	// connection.
	UntilClose bool

	body io.Reader
	// trailer is filled in at the end of the body.
	trailer *http.Header
	pool    *Pool
	target  Target
	conn    *conn
	unwatch func() bool // detaches the connection from the request's context
	// written is closed once the request was written, or could not be: writeErr says why.
	written  chan struct{}
	writeErr error
	// sidesDone counts the sides that are done with the connection: the writer
	// of the request and the reader of the answer. The last one returns the
	// connection to the pool.
	sidesDone atomic.Int32
	complete  bool // the body was read to its end
	reusable  bool // the connection may carry another request
}

const (
	// discardTimeout and maxDiscarded, in bytes, bound the body of an answer that is not used. A
	// short body arrives with its header.
	discardTimeout = 10 * time.Millisecond
	maxDiscarded   = 64 << 10
	// maxInlineBody is the size in bytes up to which a body is written before
	// the answer is read. Together with the header it fits into any endpoint's
	// receive window, so that the write can't block.
	maxInlineBody = 2 << 10
	// requestTailTimeout bounds the writing of the rest of a request after its
	// complete answer; then the connection is closed.
	requestTailTimeout = 100 * time.Millisecond
)

// Do sends a request and returns when the header of its answer has arrived. The
// connection is closed if ctx ends before Close. Errors are ErrConnect and
// ErrLost.
func (p *Pool) Do(ctx context.Context, t Target, req *Request) (*Response, error) {
	c, err := p.get(ctx, t, req.NewConnection)
	if err != nil {
		return nil, err
	}
	if req.OnConnected != nil {
		req.OnConnected()
	}
	r := &Response{pool: p, target: t, conn: c, written: make(chan struct{})}
	r.watch(ctx)
	if len(req.Body) <= maxInlineBody {
		r.write(req)
	} else {
		go r.write(req)
	}
	if err := r.readHead(&http.Request{Method: req.Method}, req.Matches); err != nil {
		if !c.reused && ctx.Err() == nil {
			p.recordBroken(t)
		}
		r.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, ErrLost.Wrap(err, "%s of %s", req.Method, t.Addr)
	}
	return r, nil
}

// ownHeaders are the headers that encode writes itself.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// errTarget is returned for a request line that can't be sent.
var errTarget = upstreamErrors.NewType("target")

// encode writes the request. Unlike http.Request.Write it sends the target as it is: that one
// writes a target which begins with two slashes in absolute form.
func (req *Request) encode(w io.Writer) error {
	if strings.ContainsFunc(req.Method+req.URI+req.Host, isSpaceOrControl) {
		return errTarget.New("%q %q %q", req.Method, req.URI, req.Host)
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host); err != nil {
		return err
	}
	if len(req.Body) > 0 || req.expectsBody() {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n", len(req.Body)); err != nil {
			return err
		}
	}
	if err := req.Header.WriteSubset(w, ownHeaders); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		return err
	}
	_, err := w.Write(req.Body)
	return err
}

// expectsBody reports whether the method's requests usually have a body, so that an empty one
// has a length.
func (req *Request) expectsBody() bool {
	return req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// write sends the request. A long body is written while the answer is read,
// because an endpoint may answer before it has read the body.
func (r *Response) write(req *Request) {
	defer close(r.written)
	err := req.encode(r.conn.bw)
	if err == nil {
		err = r.conn.bw.Flush()
	}
	if err != nil {
		r.writeErr = err
		_ = r.conn.nc.Close()
		return
	}
	r.sideDone()
}

// checkEnd returns an error if the body has ended, but the answer isn't complete.
func (r *Response) checkEnd() error {
	if r.UntilClose {
		return r.checkNotReset()
	}
	return answerhead.CheckNames(*r.trailer)
}

// checkNotReset returns an error if the connection, which seems to have ended properly, was reset. The
// kernel reports a reset once, to the writer or to the reader. An endpoint that has ended its answer
// may leave the rest of the request unread.
func (r *Response) checkNotReset() error {
	select {
	case <-r.written:
	default:
		if err := r.conn.nc.SetWriteDeadline(time.Now().Add(requestTailTimeout)); err != nil {
			return err
		}
		<-r.written
	}
	if errors.Is(r.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return r.writeErr
}

// sideDone marks one side as done; the second one returns the connection to the
// pool.
//
// On a busy machine the complete answer can be read before the writing goroutine
// has run again after its write. If the reader alone decided, the request would
// seem unfinished and each request would need a new connection.
func (r *Response) sideDone() {
	if r.sidesDone.Add(1) == 2 {
		r.pool.put(r.target, r.conn)
	}
}

// readHead reads the header of the next answer, and reports whether it is joined to one that was cut.
func (c *conn) readHead(hr *http.Request) (resp *http.Response, joined bool, err error) {
	read, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, false, err
	}
	c.head.begin(read)
	resp, err = http.ReadResponse(c.br, hr)
	joined = c.head.end(c.br.Buffered())
	if err == nil {
		err = answerhead.Check(resp)
	}
	return resp, joined, quoteLittle(err)
}

// maxErrorText bounds the text of an error of package http, which quotes the line that it can't read.
const maxErrorText = 200

func quoteLittle(err error) error {
	if err == nil || len(err.Error()) <= maxErrorText {
		return err
	}
	return ErrLost.New("%s...", err.Error()[:maxErrorText])
}

// readHead reads the header of an answer and skips answers that don't match.
func (r *Response) readHead(hr *http.Request, matches func(http.Header, bool) bool) error {
	first := !r.conn.reused
	for stale, interim := 0, 0; ; {
		resp, joined, err := r.conn.readHead(hr)
		if err != nil {
			return err
		}
		if joined {
			return ErrLost.New("an answer follows one that was cut in its head")
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return ErrLost.New("%d interim answers", interim)
			}
			continue
		}
		if matches != nil && !matches(resp.Header, first) {
			if stale++; stale > maxStaleAnswers {
				return ErrLost.New("%d answers to other requests on the connection", stale)
			}
			first = false
			if err := discardBody(resp.Body); err != nil {
				return err
			}
			continue
		}
		r.Status = resp.StatusCode
		r.Header = resp.Header
		r.body, r.trailer = resp.Body, &resp.Trailer
		r.UntilClose = answerhead.EndsWithConnection(resp)
		r.reusable = !resp.Close && stale == 0
		if d := keepAliveTimeout(resp.Header); d > 0 {
			r.conn.idleTimeout = d
		}
		return nil
	}
}

// discardBody reads the body of a stale answer. It fails if the body is too long: what
// follows on the connection would be the rest of it.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBody+1))
	if err == nil && n > maxStaleBody {
		return ErrLost.New("an answer to another request exceeds %d bytes", maxStaleBody)
	}
	return err
}

// Read reads the body. It returns io.EOF only at the end of the complete body;
// if the connection is reset or ends early, the error is ErrLost.
//
// It never returns io.ErrUnexpectedEOF, which io.ReadFull also returns at the end of
// a complete body: callers would take a truncated body for a complete one.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch err {
	case nil:
	case io.EOF:
		if err := r.checkEnd(); err != nil {
			return n, ErrLost.Wrap(err, "end of the body from %s", r.target.Addr)
		}
		r.complete = true
	default:
		err = ErrLost.Wrap(quoteLittle(err), "body from %s", r.target.Addr)
	}
	return n, err
}

// Rebind closes the connection when ctx ends, instead of when the context of Do ends. It
// fails if that one has ended.
func (r *Response) Rebind(ctx context.Context) error {
	if !r.unwatch() {
		return ErrLost.New("the context of the request has ended")
	}
	r.watch(ctx)
	return nil
}

func (r *Response) watch(ctx context.Context) {
	r.unwatch = context.AfterFunc(ctx, func() { _ = r.conn.nc.Close() })
}

// Close ends the exchange. The connection is kept if the body was read to its end
// and no bytes follow it. Otherwise it is closed, which makes the endpoint stop.
func (r *Response) Close() {
	if !r.unwatch() || !r.complete || !r.reusable || r.conn.br.Buffered() > 0 {
		_ = r.conn.nc.Close()
		return
	}
	if r.sidesDone.Load() == 0 {
		_ = r.conn.nc.SetWriteDeadline(time.Now().Add(requestTailTimeout))
	}
	r.sideDone()
}

// Discard ends the exchange without the body. The connection is kept if the body ends within
// discardTimeout and maxDiscarded bytes.
func (r *Response) Discard() {
	if r.conn.nc.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscarded)) // Close looks at what was read
	}
	if r.conn.nc.SetReadDeadline(time.Time{}) != nil {
		r.reusable = false
	}
	r.Close()
}

// abort closes the connection.
func (r *Response) abort() {
	r.unwatch()
	_ = r.conn.nc.Close()
}
