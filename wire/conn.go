package wire

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxQueuedBytes is the maximum number of bytes queued for a slow peer.
	maxQueuedBytes = 8 << 20
	// writeTimeout bounds one write; the connection to a peer that has stopped
	// reading is closed when it expires.
	writeTimeout = 5 * time.Second
)

// Conn is a connection that carries frames. Send and SendFrame are safe for
// concurrent use; Serve runs the reading side.
//
// Frames that are queued while a write is in progress are written together, so
// that a busy connection needs one system call for many tokens.
type Conn struct {
	nc       net.Conn
	mu       sync.Mutex
	queued   *sync.Cond
	queue    []byte
	unsent   int // bytes of the write in progress that the network has not taken
	closed   bool
	lastRead time.Time // when the last byte was read
}

// NewConn returns a Conn on nc and starts its writing side. The Conn owns nc.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{nc: nc, lastRead: time.Now()}
	c.queued = sync.NewCond(&c.mu)
	go c.writeLoop()
	return c
}

// Send queues m without blocking on the network. It returns ErrClosed if the
// connection is closed or the queue is full, which closes the connection.
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
	c.queue = out
	if len(c.queue) > maxQueuedBytes {
		c.closeLocked()
		return ErrClosed.New("send queue is full: %d bytes", len(out))
	}
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
	r := NewReader(activityReader{c})
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

// writeLoop writes the queued frames until the connection is closed.
func (c *Conn) writeLoop() {
	var batch []byte
	for {
		c.mu.Lock()
		for len(c.queue) == 0 && !c.closed {
			c.queued.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		batch, c.queue = c.queue, batch[:0]
		c.unsent = len(batch)
		c.mu.Unlock()
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(batch); err != nil {
			c.Close()
			return
		}
		c.endWrite()
		if cap(batch) > maxKeptBuffer {
			batch = nil
		}
	}
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = 0
}
