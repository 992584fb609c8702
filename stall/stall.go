// Package stall limits a read by the gaps between its bytes rather than by its total time, so
// that a large answer on a narrow link is read to its end while a silent connection is
// abandoned soon.
//
// A configuration of 1 MB takes longer on a 10 Mbit/s link than a total timeout that suits
// small answers. With such a timeout the read would be cut off and restarted from its first
// byte, endlessly.
package stall

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var (
	readErrors = errorx.NewNamespace("read")
	// ErrStalled is returned for a read that got no byte in time, ErrTooSlow for one that got
	// bytes but did not complete in time.
	ErrStalled = readErrors.NewType("silent")
	ErrTooSlow = readErrors.NewType("drips")
)

// Limits bound the time of one read.
type Limits struct {
	// FirstByte is the time until the first byte of the answer, Idle the gap between later ones.
	FirstByte, Idle time.Duration
	// Transfer is the time for the rest: the whole read may take FirstByte plus Transfer.
	Transfer time.Duration
}

const (
	// pauseAfter is how late the timer of a silence may fire. If it fires later, this process was not
	// run meanwhile: it was stopped, its VM was, or it got no processor time.
	pauseAfter = 50 * time.Millisecond
	// readAllowance is the time to read what arrived meanwhile.
	readAllowance = 250 * time.Millisecond
)

// Read is a read in progress.
type Read struct {
	ctx        context.Context
	cancel     context.CancelCauseFunc
	idle       time.Duration
	totalTimer *time.Timer

	mu        sync.Mutex
	idleTimer *time.Timer
	// due is when idleTimer fires. excused says that it waits for readAllowance.
	due     time.Time
	excused bool
}

// Start starts a read. The caller must call End after it.
func Start(ctx context.Context, l Limits) *Read {
	r := &Read{idle: l.Idle}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.due = time.Now().Add(l.FirstByte)
	r.idleTimer = time.AfterFunc(l.FirstByte, r.silent)
	r.totalTimer = time.AfterFunc(l.FirstByte+l.Transfer, func() { r.cancel(ErrTooSlow.New("incomplete after %v", l.Transfer)) })
	return r
}

// silent ends a read that got no byte in time. If this process was not run meanwhile, what arrived
// is read first.
func (r *Read) silent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := time.Since(r.due)
	switch {
	case late < 0: // a byte arrived after the timer had fired
	case late > pauseAfter && !r.excused:
		r.excused = true
		r.wait(readAllowance)
	default:
		r.cancel(ErrStalled.New("no byte received in time"))
	}
}

// wait sets the timer of the silence. The caller holds r.mu.
func (r *Read) wait(d time.Duration) {
	r.due = time.Now().Add(d)
	r.idleTimer.Reset(d)
}

// received records that bytes arrived.
func (r *Read) received() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excused = false
	r.wait(r.idle)
}

// Context returns the context of the read; it ends with the read.
func (r *Read) Context() context.Context { return r.ctx }

// Cancel ends the read with a cause, which Err returns.
func (r *Read) Cancel(cause error) { r.cancel(cause) }

// End releases the resources of the read.
func (r *Read) End() {
	r.idleTimer.Stop()
	r.totalTimer.Stop()
	r.cancel(nil)
}

// Err returns err, decorated with the cause if the read was cut off.
func (r *Read) Err(err error) error {
	if cause := context.Cause(r.ctx); err != nil && cause != nil {
		return errorx.Decorate(cause, "%v", err)
	}
	return err
}

// Body returns a reader that records the arrival of bytes from body.
func (r *Read) Body(body io.Reader) io.Reader { return &reader{read: r, body: body} }

type reader struct {
	read *Read
	body io.Reader
}

// maxReadBytes bounds the bytes requested at a time. A read of a chunked body returns only
// when all requested bytes are there; the wait for them would look like silence.
const maxReadBytes = 8 << 10

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		r.read.received()
	}
	return n, err
}
