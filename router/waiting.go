package router

import (
	"context"
	"math"
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
	// beforePass and afterPass are called at each pass, with mu held; they may be nil.
	beforePass, afterPass func(now time.Time)
	// timer fires when the order changes or a request expires, and each maxPassInterval, in
	// case the list was not woken.
	timer *time.Timer
	// wakes counts the calls of wake since the pass in progress began, that which began it
	// included; zero without one.
	wakes atomic.Int64
	// length is the number of requests that wait.
	length atomic.Int64
	// nextPass is the earliest time of the next pass that wakeSoon begins, in nanoseconds
	// since 1970, and soon says that it is to come.
	nextPass atomic.Int64
	soon     atomic.Bool
}

const (
	// minPassInterval is the minimum time between two passes begun by wakeSoon, and
	// maxPassInterval the maximum time between two passes.
	minPassInterval = 4 * time.Millisecond
	maxPassInterval = roomPollInterval
	// maxPassTime bounds the part of the time that passes may take, as the inverse of a
	// fraction, while the interval between them is below maxPassInterval.
	maxPassTime = 20
)

// waiter is one request of a waitList.
type waiter struct {
	// try starts the request, reports false if there is no room for it yet, or refuses it
	// with an error. It must not block and is never called after it has returned otherwise.
	try func(now time.Time) (started bool, err error)
	// refused returns an error if the request must wait no longer, whatever room there is.
	refused func() error
	// added and removed, which may be nil, are called when the request is added to the list and
	// removed from it, with the lock of the list held, so that what they keep agrees with it.
	added, removed func()
	// ended receives the result of the wait.
	ended chan error
}

// blockedTries is the number of requests that one pass tries without success, of each rank and
// size. A few are tried because one may be blocked for a reason of its own. More of them would
// take the processor time of placing all that wait, for room that is not there.
const blockedTries = 4

// kind is a class of requests that are blocked alike: of one rank and of the same size within
// a factor of two.
type kind struct {
	rank, size int
}

func kindOf(r *queue.Request) kind { return kind{rank: r.Rank, size: math.Ilogb(max(r.Cost, 1))} }

func newWaitList(order queue.Order) *waitList {
	return &waitList{queue: queue.New(order), waiters: make(map[*queue.Request]*waiter)}
}

// wait blocks until the request has started, is refused or its caller is gone.
func (l *waitList) wait(ctx context.Context, r *queue.Request, w *waiter) error {
	w.ended = make(chan error, 1)
	l.mu.Lock()
	l.queue.Add(time.Now(), r)
	l.waiters[r] = w
	if w.added != nil {
		w.added()
	}
	l.length.Store(int64(l.queue.Len()))
	l.mu.Unlock()
	defer l.discard(r) // a pass may panic here
	l.wake()
	select {
	case err := <-w.ended:
		return err
	case <-ctx.Done():
	}
	if l.discard(r) {
		return ctx.Err()
	}
	return <-w.ended // it started meanwhile; the caller of wait releases what it holds
}

// discard removes a request from the list. It reports whether the request was waiting.
func (l *waitList) discard(r *queue.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters[r] == nil {
		return false
	}
	l.queue.Remove(r)
	l.remove(r)
	l.length.Store(int64(l.queue.Len()))
	return true
}

// remove removes a request from the waiters and returns it. The caller holds l.mu.
func (l *waitList) remove(r *queue.Request) *waiter {
	w := l.waiters[r]
	delete(l.waiters, r)
	if w.removed != nil {
		w.removed()
	}
	return w
}

// refuse refuses the requests that must wait no longer.
func (l *waitList) refuse() {
	if l.length.Load() == 0 {
		return
	}
	l.mu.Lock()
	for r, w := range l.waiters {
		if err := w.refused(); err != nil {
			l.end(r, err)
		}
	}
	l.mu.Unlock()
	l.wake()
}

// wakeSoon wakes the list within maxPassInterval. It costs nothing while no request waits, and
// it may be called with locks held.
func (l *waitList) wakeSoon(now time.Time) {
	if l.length.Load() == 0 || !l.soon.CompareAndSwap(false, true) {
		return
	}
	wake := func() {
		l.soon.Store(false)
		l.wake()
	}
	if pause := time.Duration(l.nextPass.Load() - now.UnixNano()); pause > 0 {
		time.AfterFunc(pause, wake)
	} else {
		go wake()
	}
}

// wake lets the waiting requests try to start. If a pass is in progress, it is repeated
// instead, so that a request that tries to start may call wake.
func (l *waitList) wake() {
	if l.wakes.Add(1) > 1 {
		return
	}
	passed := false
	defer func() {
		if !passed {
			l.wakes.Store(0) // a panic in a pass must not end all passes
		}
	}()
	for {
		seen := l.wakes.Load()
		l.passOnce()
		if passed = l.wakes.CompareAndSwap(seen, 0); passed {
			return
		}
	}
}

func (l *waitList) passOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := time.Now()
	defer l.schedulePass(began)
	if l.beforePass != nil {
		l.beforePass(began)
	}
	l.pass(began)
	if l.afterPass != nil {
		l.afterPass(began)
	}
}

// schedulePass schedules the pass after one that began at a time. The caller holds l.mu.
func (l *waitList) schedulePass(began time.Time) {
	l.length.Store(int64(l.queue.Len()))
	now := time.Now()
	interval := max(min(maxPassTime*now.Sub(began), maxPassInterval), minPassInterval)
	l.nextPass.Store(now.Add(interval).UnixNano())
	l.setTimer(now)
}

// pass lets the requests try to start. The caller holds l.mu.
func (l *waitList) pass(now time.Time) {
	blocked := make(map[kind]int)
	for _, r := range append([]*queue.Request(nil), l.queue.Waiting(now)...) {
		k := kindOf(r)
		if blocked[k] >= blockedTries && now.Before(r.GiveUpAt) {
			continue
		}
		started, err := l.waiters[r].try(now)
		if !started && err == nil {
			blocked[k]++
			continue
		}
		l.end(r, err)
	}
}

// end ends the wait of a request that has started, or is refused with an error. The caller
// holds l.mu.
func (l *waitList) end(r *queue.Request, err error) {
	if err == nil {
		l.queue.Start(r)
	} else {
		l.queue.Remove(r)
	}
	l.remove(r).ended <- err
}

// setTimer wakes the list when the order changes or a request expires, and after
// maxPassInterval at the latest. The caller holds l.mu.
func (l *waitList) setTimer(now time.Time) {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.queue.Len() == 0 {
		return
	}
	next := now.Add(maxPassInterval)
	if change := l.queue.NextChange(now); !change.IsZero() && change.Before(next) {
		next = change
	}
	l.timer = time.AfterFunc(next.Sub(now), l.wake)
}
