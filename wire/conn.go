package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"ebonypulley/memory"
)

const (
	// maxQueuedBytes is the maximum number of bytes queued for a slow peer.
	maxQueuedBytes = 8 << 20
	// writeTimeout bounds one write; the connection to a peer that has stopped
	// reading is closed when it expires.
	writeTimeout = 5 * time.Second
	// writeStep is the number of bytes in one write.
	writeStep = 64 << 10
)

// Conn is a connection that carries frames. Send and SendFrame are safe for
// concurrent use; Serve runs the reading side.
//
// Frames that are queued while a write is in progress are written together, so
// that a busy connection needs one system call for many tokens.
type Conn struct {
	nc     net.Conn
	mu     sync.Mutex
	queued *sync.Cond
	queue  []byte
	// unsent and writing are the bytes and the capacity of the write in progress, and
	// progress is when the network last took bytes of it.
	unsent, writing int
	progress        time.Time
	closed          bool
	lastRead        time.Time // when the last byte was read
	// sendAccount covers queue and the write in progress, readAccount the frame being read.
	sendAccount, readAccount account
}

// Option configures a Conn.
type Option func(*Conn)

// WithBudget makes a Conn take the memory of its buffers from the Peers share of a budget; nil
// has no limit.
func WithBudget(b *memory.Budget) Option {
	return func(c *Conn) { c.sendAccount.budget, c.readAccount.budget = b, b }
}

// NewConn returns a Conn on nc and starts its writing side. The Conn owns nc.
func NewConn(nc net.Conn, options ...Option) *Conn {
	c := &Conn{nc: nc, lastRead: time.Now()}
	for _, set := range options {
		set(c)
	}
	c.queued = sync.NewCond(&c.mu)
	go c.writeLoop()
	return c
}

// Send queues m without blocking on the network. It returns ErrClosed if the
// connection is closed or the queue is full, which closes the connection, and ErrFull if the
// budget has no room for m, which is then not sent.
func (c *Conn) Send(m Message) error {
	return c.enqueue(func(out []byte) ([]byte, error) { return AppendFrame(out, m) })
}

// SendFrame queues a frame made by AppendFrame, so that a message to many peers
// is encoded once. It returns the same errors as Send.
func (c *Conn) SendFrame(frame []byte) error {
	return c.enqueue(func(out []byte) ([]byte, error) { return append(out, frame...), nil })
}

func (c *Conn) enqueue(add func(out []byte) ([]byte, error)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed.New("connection is closed")
	}
	out, err := add(c.queue)
	if err != nil {
		return err
	}
	if len(out) > maxQueuedBytes {
		c.closeLocked()
		return ErrClosed.New("send queue is full: %d bytes", len(out))
	}
	if !c.sendAccount.resize(cap(out) + c.writing) {
		return ErrFull.New("%d bytes are queued", len(c.queue))
	}
	c.queue = out
	c.queued.Signal()
	return nil
}

// Close closes the connection and drops what is queued.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *Conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	c.queue = nil
	c.sendAccount.resize(c.writing)
	c.queued.Broadcast()
	_ = c.nc.Close()
}

// Unsent returns the number of bytes that are queued or being written.
func (c *Conn) Unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.unsent
}

// IdleTime returns the time since the last byte was read.
func (c *Conn) IdleTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastRead)
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Serve reads messages and calls handle with one after the other, until the
// connection or ctx ends; then the connection is closed. It returns the error
// that ended the reading. handle must not block.
func (c *Conn) Serve(ctx context.Context, handle func(Message)) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	r := newReader(activityReader{c}, &c.readAccount)
	for {
		m, err := r.Next()
		if err != nil {
			return err
		}
		handle(m)
	}
}

// activityReader records when bytes arrive, including those in the middle of a
// frame. Otherwise a large frame on a narrow link, which takes longer than the
// idle timeout, would get its connection replaced and be sent again from its
// first byte, so that a large configuration document would never arrive.
type activityReader struct {
	c *Conn
}

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.c.nc.Read(p)
	if n > 0 {
		r.c.mu.Lock()
		r.c.lastRead = time.Now()
		r.c.mu.Unlock()
	}
	return n, err
}

// Held returns the bytes that the connection has taken from its budget.
func (c *Conn) Held() int64 { return c.sendAccount.taken.Load() + c.readAccount.taken.Load() }

// Stall returns how long the peer has neither taken bytes of the write in progress nor sent
// the rest of a frame; zero if neither is pending.
func (c *Conn) Stall(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var d time.Duration
	if c.writing > 0 {
		d = now.Sub(c.progress)
	}
	if c.readAccount.taken.Load() > 0 {
		d = max(d, now.Sub(c.lastRead))
	}
	return d
}

// writeLoop writes the queued frames until the connection is closed.
func (c *Conn) writeLoop() {
	var spare []byte
	for {
		batch := c.nextBatch(spare)
		if batch == nil {
			return
		}
		err := c.write(batch)
		c.endWrite()
		if err != nil {
			c.Close()
			return
		}
		spare = batch
		if cap(batch) > c.sendAccount.maxKept() {
			spare = nil
		}
	}
}

// nextBatch waits for queued frames and returns them, or nil once the connection is closed.
// The next frames are queued in spare.
func (c *Conn) nextBatch(spare []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) == 0 && !c.closed {
		c.queued.Wait()
	}
	if c.closed {
		return nil
	}
	batch := c.queue
	c.queue = spare[:0]
	c.unsent, c.writing, c.progress = len(batch), cap(batch), time.Now()
	return batch
}

// write writes a batch in steps, so that a slow peer differs from one that reads nothing.
func (c *Conn) write(batch []byte) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	for len(batch) > 0 {
		n, err := c.nc.Write(batch[:min(len(batch), writeStep)])
		if err != nil {
			return err
		}
		batch = batch[n:]
		c.recordProgress(len(batch))
	}
	return nil
}

func (c *Conn) recordProgress(unsent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent, c.progress = unsent, time.Now()
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent, c.writing = 0, 0
	c.sendAccount.resize(cap(c.queue))
}
