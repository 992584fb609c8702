package router

import (
	"context"
	"sync"
)

// maxBuffered is the maximum size in bytes of the events that are buffered for one
// caller. It exceeds the size of most answers, and a hundred slow callers need little of
// the smallest VM's memory.
const maxBuffered = 64 << 10

// delivery buffers the events of one answer for a caller that may read slowly.
//
// It reads the endpoint at the endpoint's pace, up to maxBuffered ahead of the caller.
// Without the buffer, a caller that stops reading for some seconds makes the endpoint
// look silent or makes it abort the stream, and the prompt is prefilled once more.
type delivery struct {
	sink Sink

	mu    sync.Mutex
	queue []Event
	// buffered is the size of queue in bytes.
	buffered int
	// closed says that no more events follow. err is the error of the sink.
	closed bool
	err    error
	// changed is signalled on each change of the fields above. done is closed when the
	// writer has ended.
	changed *sync.Cond
	done    chan struct{}
}

// newDelivery starts a delivery. It must be ended with finish.
func newDelivery(sink Sink) *delivery {
	d := &delivery{sink: sink, done: make(chan struct{})}
	d.changed = sync.NewCond(&d.mu)
	go d.write()
	return d
}

// put queues an event, and blocks while the buffer is full. It returns the sink's error,
// if any.
func (d *delivery) put(ctx context.Context, ev Event) error {
	stop := context.AfterFunc(ctx, d.wake)
	defer stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.buffered >= maxBuffered && d.err == nil && ctx.Err() == nil {
		d.changed.Wait()
	}
	if d.err != nil {
		return d.err
	}
	if ctx.Err() != nil {
		return ErrCallerGone.Wrap(ctx.Err(), "deliver")
	}
	d.queue = append(d.queue, ev)
	d.buffered += len(ev.Bytes)
	d.changed.Broadcast()
	return nil
}

// finish waits until the caller has received all events, and returns the sink's error.
func (d *delivery) finish() error {
	d.mu.Lock()
	d.closed = true
	d.changed.Broadcast()
	d.mu.Unlock()
	<-d.done
	return d.err
}

// wake wakes the waiters so that they check their context.
func (d *delivery) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed.Broadcast()
}

// write passes events to the sink until the last one or the first error.
func (d *delivery) write() {
	defer close(d.done)
	for {
		ev, ok := d.next()
		if !ok {
			return
		}
		if err := d.sink.Event(ev); err != nil {
			d.fail(err)
			return
		}
	}
}

// next returns the next event, or false after the last one.
func (d *delivery) next() (Event, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.queue) == 0 && !d.closed {
		d.changed.Wait()
	}
	if len(d.queue) == 0 {
		return Event{}, false
	}
	ev := d.queue[0]
	d.queue = d.queue[1:]
	d.buffered -= len(ev.Bytes)
	d.changed.Broadcast()
	return ev, true
}

// fail records the sink's error and drops the queue.
func (d *delivery) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err, d.queue = err, nil
	d.changed.Broadcast()
}
