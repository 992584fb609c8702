package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"

	"ebonypulley/queue"
)

// fakeRoom is room for a number of tokens.
type fakeRoom struct {
	mu    sync.Mutex
	free  float64
	tries int
}

func (f *fakeRoom) try(cost float64) func(time.Time) (bool, error) {
	return func(time.Time) (bool, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.tries++
		if f.free < cost {
			return false, nil
		}
		f.free -= cost
		return true, nil
	}
}

func (f *fakeRoom) release(cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free += cost
}

func request(cost float64, startIn time.Duration) *queue.Request {
	now := time.Now()
	return &queue.Request{Cost: cost, StartBy: now.Add(startIn), GiveUpAt: now.Add(startIn)}
}

// TestCallerGoneWhileItStarts: a caller that goes in the moment in which its request starts
// must not leave its room behind.
func TestCallerGoneWhileItStarts(t *testing.T) {
	l, room := newWaitList(queue.ByUrgency), &fakeRoom{free: 3}
	var wg sync.WaitGroup
	for range 300 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			take := room.try(1)
			err := l.wait(ctx, request(1, time.Minute), &waiter{try: func(now time.Time) (bool, error) {
				started, err := take(now)
				if started {
					cancel()
				}
				return started, err
			}})
			if err == nil {
				room.release(1)
				l.wake()
			}
		})
	}
	wg.Wait()
	assert.InDelta(t, 3, room.free, 0)
	assert.Empty(t, l.waiters)
	assert.Zero(t, l.queue.Len())
}

// TestLostWake: room that appears without a wake must not stay unused.
func TestLostWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, room := newWaitList(queue.ByUrgency), &fakeRoom{}
		time.AfterFunc(100*time.Millisecond, func() { room.release(1) })
		began := time.Now()
		assert.NoError(t, l.wait(t.Context(), request(1, time.Second), &waiter{try: room.try(1)}))
		assert.LessOrEqual(t, time.Since(began), 100*time.Millisecond+maxPassInterval)
	})
}

// TestReportsWakeSeldom: 300 reports a second of 300 entries must not place what waits each
// time, and do nothing while nothing waits.
func TestReportsWakeSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, room := newWaitList(queue.ByUrgency), &fakeRoom{}
		storm := func() {
			for range 30_000 {
				l.wakeSoon(time.Now())
				time.Sleep(33 * time.Microsecond)
			}
		}
		storm()
		assert.Zero(t, room.tries)
		done := make(chan error, 1)
		go func() { done <- l.wait(t.Context(), request(1, time.Second), &waiter{try: room.try(1)}) }()
		storm()
		assert.LessOrEqual(t, room.tries, int(time.Second/minPassInterval)+2)
		room.release(1)
		assert.NoError(t, <-done)
	})
}

// TestLargeOnesDoNotBlock: prompts that fit nowhere must not keep others from room that they
// cannot use.
func TestLargeOnesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, room := newWaitList(queue.ByUrgency), &fakeRoom{free: 1000}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { _ = l.wait(ctx, request(9000, 100*time.Millisecond), &waiter{try: room.try(9000)}) })
		}
		synctest.Wait()
		began := time.Now()
		assert.NoError(t, l.wait(ctx, request(1000, time.Second), &waiter{try: room.try(1000)}))
		assert.Zero(t, time.Since(began))
		cancel()
		wg.Wait()
	})
}

// TestRefusedAreToldOnce: a request whose time is over must be refused although others wait in
// front of it.
func TestRefusedAreToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, room := newWaitList(queue.ByUrgency), &fakeRoom{}
		errOver := errors.New("over")
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 2 * blockedTries {
			wg.Go(func() { _ = l.wait(ctx, request(10, time.Second), &waiter{try: room.try(10)}) })
		}
		synctest.Wait()
		began := time.Now()
		last := request(10, 2*time.Second)
		last.GiveUpAt = began.Add(300 * time.Millisecond)
		err := l.wait(ctx, last, &waiter{try: func(now time.Time) (bool, error) {
			if !now.Before(last.GiveUpAt) {
				return false, errOver
			}
			return false, nil
		}})
		assert.ErrorIs(t, err, errOver)
		assert.Equal(t, 300*time.Millisecond, time.Since(began))
		cancel()
		wg.Wait()
	})
}

// TestBlockedRequestsWaitNoLonger guards against requests that have become blocked and still wait,
// because a pass tries only the first of their kind.
func TestBlockedRequestsWaitNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, room := newWaitList(queue.ByUrgency), &fakeRoom{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var isBlocked atomic.Bool
		var refused, others atomic.Int64
		for i := range 100 {
			wg.Go(func() {
				err := l.wait(ctx, request(10, time.Minute), &waiter{try: room.try(10), refused: func() error {
					if isBlocked.Load() && i%2 == 1 {
						return errPoison.New("blocked")
					}
					return nil
				}})
				if errorx.IsOfType(err, errPoison) {
					refused.Add(1)
				} else {
					others.Add(1)
				}
			})
		}
		synctest.Wait()
		isBlocked.Store(true)
		began := time.Now()
		l.refuse()
		synctest.Wait()
		assert.Equal(t, int64(50), refused.Load())
		assert.Zero(t, others.Load())
		assert.Zero(t, time.Since(began))
		cancel()
		wg.Wait()
		assert.Equal(t, int64(50), others.Load())
	})
}

// TestListWorksAfterPanicInPass guards against a list that never tries again because a pass
// panicked, in the goroutine of one request.
func TestListWorksAfterPanicInPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, room := newWaitList(queue.ByUrgency), &fakeRoom{free: 1}
		panics := true
		l.beforePass = func(time.Time) {
			if panics {
				panics = false
				panic("once")
			}
		}
		wait := func() error {
			return l.wait(t.Context(), request(1, time.Minute), &waiter{try: room.try(1)})
		}
		assert.Panics(t, func() { _ = wait() })
		assert.Zero(t, l.queue.Len(), "nobody waits for the request any more")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.NoError(t, l.wait(ctx, request(1, time.Minute), &waiter{try: room.try(1)}))
	})
}
