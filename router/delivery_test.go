package router_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/event"
	"ebonypulley/memory"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// slowSink is a caller that delays its first event, or has disconnected by then.
type slowSink struct {
	fakeSink
	delay time.Duration
	err   error
}

func (s *slowSink) Event(e router.Event) error {
	time.Sleep(s.delay)
	s.delay = 0
	if s.err != nil {
		return s.err
	}
	return s.fakeSink.Event(e)
}

// TestSlowReader: a caller that reads nothing for some seconds must not make its engine
// look silent, which would cause probes and another prefill elsewhere.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("p", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode))
		s := &slowSink{delay: 8 * time.Second}
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		assert.Nil(t, fail)
		assert.Len(t, s.got, 60)
		assert.Less(t, time.Since(began), 9*time.Second, "the engine is read while the caller is not reading")
		assert.Equal(t, 1, count(f.recorded(), "generate"))
		assert.Zero(t, count(f.recorded(), "alive"))
		time.Sleep(time.Minute)
	})
}

// TestSlowReaderDisconnects: after a slow caller disconnects in the middle of an answer,
// the engine must stop, and the answer must not count as complete.
func TestSlowReaderDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("p", router.Prefill), engine("d", router.Decode))
		s := &slowSink{delay: time.Second, err: router.ErrCallerGone.New("gone")}
		began := time.Now()
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
		if assert.NotNil(t, fail) {
			assert.Equal(t, router.CallerGone, fail.Reason)
		}
		assert.Less(t, time.Since(began), 2*time.Second)
		assert.Equal(t, 1, count(f.recorded(), "generate"))
		time.Sleep(time.Minute)
	})
}

// stalledSink is a caller that reads nothing until released.
type stalledSink struct {
	fakeSink
	released chan struct{}
}

func (s *stalledSink) Event(e router.Event) error {
	<-s.released
	return s.fakeSink.Event(e)
}

// TestStalledReadersShareMemory guards against callers that read nothing, whose events fill the
// memory of the VM together.
func TestStalledReadersShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, events, eventBytes = 60, 60, 1 << 10
		budget := memory.NewBudget(10e6) // a share of 0.8 MB for answers
		f := &fakeEndpoints{events: events, pause: 50 * time.Millisecond, eventBytes: eventBytes}
		r := router.New(router.Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, SingleEntry: true, Seed: 1, Budget: budget}, f, event.Nop(), metrics.NewSet())
		r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, []*router.Endpoint{engine("p", router.Prefill), engine("d", router.Decode)}))
		released := make(chan struct{})
		var wg sync.WaitGroup
		var whole atomic.Int64
		for range callers {
			wg.Go(func() {
				s := &stalledSink{released: released}
				c := newCall(nonResumableRoute, llm)
				c.PromptTokens, c.MaxOutputTokens = 100, 60
				if _, fail := r.Generate(t.Context(), c, s); fail == nil && len(s.got) == events {
					whole.Add(1)
				}
			})
		}
		time.Sleep(5 * time.Second)
		assert.Greater(t, budget.Used(memory.Answers), budget.Limit(memory.Answers)/2)
		assert.LessOrEqual(t, f.eventsSent()*eventBytes, int(budget.Limit(memory.Answers))+callers*(8<<10+2*eventBytes))
		close(released)
		wg.Wait()
		assert.EqualValues(t, callers, whole.Load())
		assert.Zero(t, budget.Used(memory.Answers))
	})
}

// TestLargeEventsOfStalledReadersTakeMemory guards against callers that read nothing, whose events
// of some hundred kilobytes, two for each caller, are in no share of the memory.
func TestLargeEventsOfStalledReadersTakeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, events, eventBytes = 60, 6, 128 << 10
		budget := memory.NewBudget(10e6) // a share of 0.8 MB for answers
		f := &fakeEndpoints{events: events, pause: 50 * time.Millisecond, eventBytes: eventBytes}
		r := router.New(router.Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, SingleEntry: true, Seed: 1, Budget: budget}, f, event.Nop(), metrics.NewSet())
		r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, []*router.Endpoint{engine("p", router.Prefill), engine("d", router.Decode)}))
		released := make(chan struct{})
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				c := newCall(nonResumableRoute, llm)
				c.PromptTokens, c.MaxOutputTokens = 100, 60
				r.Generate(t.Context(), c, &stalledSink{released: released})
			})
		}
		time.Sleep(5 * time.Second)
		assert.LessOrEqual(t, f.eventsSent()*eventBytes, int(budget.Limit(memory.Answers))+callers*eventBytes, "one event of each caller is being written")
		close(released)
		wg.Wait()
	})
}

// failingSink is a caller that is gone by its first event, after the others have been queued.
type failingSink struct {
	fakeSink
	delay time.Duration
}

func (s *failingSink) Event(router.Event) error {
	time.Sleep(s.delay)
	return router.ErrCallerGone.New("gone")
}

// TestGoneReadersReturnMemory guards against callers that go away beside queued events, whose
// memory is never returned.
func TestGoneReadersReturnMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(10e6)
		f := &fakeEndpoints{events: 60, pause: 50 * time.Millisecond, eventBytes: 1 << 10}
		r := router.New(router.Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, SingleEntry: true, Seed: 1, Budget: budget}, f, event.Nop(), metrics.NewSet())
		r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, []*router.Endpoint{engine("p", router.Prefill), engine("d", router.Decode)}))
		var wg sync.WaitGroup
		wg.Go(func() {
			c := newCall(nonResumableRoute, llm)
			c.PromptTokens, c.MaxOutputTokens = 100, 60
			r.Generate(t.Context(), c, &failingSink{delay: 2 * time.Second})
		})
		time.Sleep(1500 * time.Millisecond)
		assert.Positive(t, budget.Used(memory.Answers))
		wg.Wait()
		assert.Zero(t, budget.Used(memory.Answers))
	})
}

// TestLargeEventsPassFullShare guards against a caller that reads and whose events, larger than
// what each buffer may hold without asking, never pass while others have taken the whole share.
func TestLargeEventsPassFullShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = 6
		budget := memory.NewBudget(10e6)
		assert.True(t, budget.Take(memory.Answers, budget.Limit(memory.Answers)))
		f := &fakeEndpoints{events: events, pause: 50 * time.Millisecond, eventBytes: 32 << 10}
		r := router.New(router.Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, SingleEntry: true, Seed: 1, Budget: budget}, f, event.Nop(), metrics.NewSet())
		r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, []*router.Endpoint{engine("p", router.Prefill), engine("d", router.Decode)}))
		s := &fakeSink{}
		c := newCall(nonResumableRoute, llm)
		c.PromptTokens, c.MaxOutputTokens = 100, 60
		_, fail := r.Generate(t.Context(), c, s)
		assert.Nil(t, fail)
		assert.Len(t, s.got, events)
	})
}
