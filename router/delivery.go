package router

import (
	"context"
	"sync"

	"ebonypulley/memory"
)

const (
	// maxBuffered is the maximum size in bytes of the events that are buffered for one
	// caller. It exceeds the size of most answers.
	maxBuffered = 64 << 10
	// freeBuffered is the size in bytes up to which they are part of the memory of the
	// caller's connection. Beyond it they take memory from the budget.
	freeBuffered = 8 << 10
)

// delivery buffers the events of one answer for a caller that may read slowly.
//
// It reads the endpoint at the endpoint's pace, up to maxBuffered ahead of the caller.
// Without the buffer, a caller that stops reading for some seconds makes the endpoint
// look silent or makes it abort the stream, and the prompt is prefilled once more.
type delivery struct {
	sink   Sink
	budget *memory.Budget

	mu    sync.Mutex
	queue []Event
	// buffered is the size in bytes of queue and of the event that the sink writes, taken what
	// is taken from the budget for them.
	buffered int
	taken    int64
	// closed says that no more events follow. err is the error of the sink.
	closed bool
	err    error
	// changed is signalled on each change of the fields above. done is closed when the
	// writer has ended.
	changed *sync.Cond
	done    chan struct{}
}

// newDelivery starts a delivery. It must be ended with finish.
func newDelivery(sink Sink, budget *memory.Budget) *delivery {
	d := &delivery{sink: sink, budget: budget, done: make(chan struct{})}
	d.changed = sync.NewCond(&d.mu)
	go d.write()
	return d
}

// put queues an event, and blocks until there is room for the next one. It fails if the event will not be
// delivered: with the sink's error, or because ctx had ended. An event that was queued before ctx ends is
// delivered, so that the next attempt must not begin with it.
func (d *delivery) put(ctx context.Context, ev Event) error {
	stop := context.AfterFunc(ctx, d.wake)
	defer stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	if ctx.Err() != nil {
		return ErrCallerGone.Wrap(ctx.Err(), "deliver")
	}
	d.queue = append(d.queue, ev)
	d.resize(len(ev.Bytes))
	d.changed.Broadcast()
	for d.err == nil && ctx.Err() == nil && d.full() {
		d.changed.Wait()
	}
	return d.err
}

// full reports whether the endpoint must not be read further. The caller holds d.mu.
func (d *delivery) full() bool {
	return d.buffered >= maxBuffered || d.taken > 0 && d.budget.Exceeded(memory.Answers)
}

// resize changes the size of the buffer, and what is taken for it. The caller holds d.mu.
func (d *delivery) resize(by int) {
	d.buffered += by
	need := max(0, int64(d.buffered-freeBuffered))
	if need > d.taken {
		d.budget.TakeAlways(memory.Answers, need-d.taken)
	} else {
		d.budget.Release(memory.Answers, d.taken-need)
	}
	d.taken = need
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
		d.written(ev)
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
	d.queue[0] = Event{} // its bytes are not kept as long as the array
	d.queue = d.queue[1:]
	return ev, true
}

// written removes an event that the caller has received from the buffer.
func (d *delivery) written(ev Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resize(-len(ev.Bytes))
	d.changed.Broadcast()
}

// fail records the sink's error and drops the queue.
func (d *delivery) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err, d.queue = err, nil
	d.resize(-d.buffered)
	d.changed.Broadcast()
}
