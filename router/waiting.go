package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ebonypulley/queue"
)

// waitList connects the queue of one service to the goroutines of its requests. Whenever room
// may have appeared, the requests try to start in the order of the queue, one at a time.
type waitList struct {
	mu      sync.Mutex
	queue   *queue.Queue
	waiters map[*queue.Request]*waiter
	// timer fires when the order changes or a request expires.
	timer *time.Timer
	// wakes counts the calls of wake since the pass in progress began, that which began it
	// included; zero without one.
	wakes atomic.Int64
}

// waiter is one request of a waitList.
type waiter struct {
	// try starts the request, reports false if there is no room for it yet, or refuses it
	// with an error. It must not block and is never called after it has returned otherwise.
	try func(now time.Time) (started bool, err error)
	// ended receives the result of the wait.
	ended chan error
}

// blockedTries is the number of requests that one pass tries without success. Requests further
// behind must not take the room that those in front of them wait for.
const blockedTries = 4

func newWaitList(order queue.Order) *waitList {
	return &waitList{queue: queue.New(order), waiters: make(map[*queue.Request]*waiter)}
}

// wait blocks until the request has started, is refused or its caller is gone.
func (l *waitList) wait(ctx context.Context, r *queue.Request, try func(now time.Time) (bool, error)) error {
	w := &waiter{try: try, ended: make(chan error, 1)}
	l.mu.Lock()
	l.queue.Add(time.Now(), r)
	l.waiters[r] = w
	l.mu.Unlock()
	l.wake()
	select {
	case err := <-w.ended:
		return err
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-w.ended:
		return err // it started meanwhile; the caller of wait releases what it holds
	default:
	}
	l.queue.Remove(r)
	delete(l.waiters, r)
	return ctx.Err()
}

// wake lets the waiting requests try to start. If a pass is in progress, it is repeated
// instead, so that a request that tries to start may call wake.
func (l *waitList) wake() {
	if l.wakes.Add(1) > 1 {
		return
	}
	for {
		seen := l.wakes.Load()
		l.passOnce()
		if l.wakes.CompareAndSwap(seen, 0) {
			return
		}
	}
}

func (l *waitList) passOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pass(time.Now())
	l.setTimer(time.Now())
}

// pass lets each request try once. The caller holds l.mu.
func (l *waitList) pass(now time.Time) {
	blocked := 0
	for _, r := range append([]*queue.Request(nil), l.queue.Waiting(now)...) {
		w := l.waiters[r]
		started, err := w.try(now)
		switch {
		case started:
			l.queue.Start(r)
		case err != nil:
			l.queue.Remove(r)
		default:
			if blocked++; blocked >= blockedTries {
				return
			}
			continue
		}
		delete(l.waiters, r)
		w.ended <- err
	}
}

// setTimer wakes the list when the order changes or a request expires. The caller holds l.mu.
func (l *waitList) setTimer(now time.Time) {
	if l.timer != nil {
		l.timer.Stop()
	}
	if next := l.queue.NextChange(now); !next.IsZero() {
		l.timer = time.AfterFunc(next.Sub(now), l.wake)
	}
}
