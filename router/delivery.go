package router

import (
	"context"
	"sync"
)

// deliveryMost bounds the events that wait for one caller, in bytes: more than most answers
// have, and little of the smallest VM's memory with a hundred slow callers.
const deliveryMost = 64 << 10

// delivery hands the events of one answer to its caller, who may read slowly. Events wait here
// up to deliveryMost, so that the endpoint is read as it sends.
//
// A caller reads nothing for seconds. It shows as an endpoint that is taken for silent or cuts
// the answer off, and as a prompt that is computed again. The guard holds because the endpoint
// is read whatever the caller does.
type delivery struct {
	sink Sink

	mu    sync.Mutex
	queue []Event
	// held is the size of queue in bytes.
	held int
	// ended says that no event follows, err why the caller takes none any more.
	ended bool
	err   error
	// changed tells of each change of the above, done is closed when all is written.
	changed *sync.Cond
	done    chan struct{}
}

// newDelivery returns a delivery, which finish must end.
func newDelivery(sink Sink) *delivery {
	d := &delivery{sink: sink, done: make(chan struct{})}
	d.changed = sync.NewCond(&d.mu)
	go d.write()
	return d
}

// put adds an event; it waits while too many wait already. It returns why the caller takes none
// any more.
func (d *delivery) put(ctx context.Context, ev Event) error {
	stop := context.AfterFunc(ctx, d.wake)
	defer stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.held >= deliveryMost && d.err == nil && ctx.Err() == nil {
		d.changed.Wait()
	}
	if d.err != nil {
		return d.err
	}
	if ctx.Err() != nil {
		return ErrCaller.Wrap(ctx.Err(), "deliver")
	}
	d.queue = append(d.queue, ev)
	d.held += len(ev.Bytes)
	d.changed.Broadcast()
	return nil
}

// finish waits until all events are with the caller, and returns why they are not.
func (d *delivery) finish() error {
	d.mu.Lock()
	d.ended = true
	d.changed.Broadcast()
	d.mu.Unlock()
	<-d.done
	return d.err
}

// wake lets those that wait look again.
func (d *delivery) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed.Broadcast()
}

// write hands on events until the last one or the first failure.
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
	for len(d.queue) == 0 && !d.ended {
		d.changed.Wait()
	}
	if len(d.queue) == 0 {
		return Event{}, false
	}
	ev := d.queue[0]
	d.queue = d.queue[1:]
	d.held -= len(ev.Bytes)
	d.changed.Broadcast()
	return ev, true
}

// fail ends the delivery.
func (d *delivery) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err, d.queue = err, nil
	d.changed.Broadcast()
}
