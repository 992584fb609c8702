package router_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// askedEngines are engines that run requests and have prompts cached, and that fail.
type askedEngines struct {
	*fakeEndpoints
	mu sync.Mutex
	// cache and runs hold sessions and requests by the engine's ID.
	cache, runs map[string][]string
	// silent engines answer nothing; of the others, some fail in one call, always or once.
	silent, failCached, failRunningOnce map[string]bool
	// partial engines list only a part of their cache.
	partial map[string]bool
	// displacedAt is when other prompts have displaced those in the caches; zero if never.
	displacedAt time.Time
}

func (f *askedEngines) Cached(ctx context.Context, e *router.Endpoint) (map[string]bool, error) {
	f.mu.Lock()
	silent, failed, displaced := f.silent[e.ID], f.failCached[e.ID], !f.displacedAt.IsZero() && time.Now().After(f.displacedAt)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if failed {
		return nil, router.ErrNotRun.New("429")
	}
	sessions := map[string]bool{}
	for _, s := range f.cache[e.ID] {
		sessions[s] = !displaced
	}
	if f.partial[e.ID] {
		return sessions, router.ErrPartial.New("odd rows")
	}
	return sessions, nil
}

func (f *askedEngines) Running(_ context.Context, e *router.Endpoint) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[e.ID] || f.failRunningOnce[e.ID] {
		delete(f.failRunningOnce, e.ID)
		return nil, router.ErrNotRun.New("failed")
	}
	return f.runs[e.ID], nil
}

// newRestartedRouter returns the router of an entry that may have run before.
func newRestartedRouter(f router.EndpointClient, route *router.Route, engines ...*router.Endpoint) *router.Router {
	set := router.Settings{DataCentre: "dc-1", RetryRatio: 2, RetryWindow: 10 * time.Second, RetrySlack: 1000, SingleEntry: true, Restarted: true, Seed: 1}
	r := router.New(set, f, event.Nop(), metrics.NewSet())
	r.SetDirectory(router.NewDirectory(1, 0, []*router.Route{route}, []*router.Service{llm}, engines))
	return r
}

// resumeAfterStart resumes a stream 2 s after the start of an entry before two engines of v1 and one
// of v2: a, b and c.
func resumeAfterStart(t *testing.T, f *askedEngines, drains bool) (gone bool) {
	f.fakeEndpoints = &fakeEndpoints{}
	f.setDefaults()
	list := []*router.Endpoint{engine("a", router.Decode), engine("b", router.Decode), engine("c", router.Decode)}
	list[0].SoftwareVersion, list[1].SoftwareVersion, list[2].SoftwareVersion = "v1", "v1", "v2"
	list[0].Draining = drains
	route := resumableRoute
	route.Timeout, route.Services = 14*time.Second, []router.Share{{Service: llm.Name, Weight: 1}}
	r := newRestartedRouter(f, &route, list...)
	time.Sleep(2 * time.Second)
	c := newCall(route, llm)
	c.Deadline, c.Timeout = time.Now().Add(10*time.Second), 10*time.Second
	c.ResumeAfter, c.Resumes = 3, "begun-before"
	_, fail := r.Generate(t.Context(), c, new(fakeSink))
	time.Sleep(10 * time.Second)
	return fail == nil
}

// TestEnginesAreAskedAtOnce guards against prompts that are displaced before anybody asks for them.
func TestEnginesAreAskedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &askedEngines{cache: map[string][]string{"a": {"s1"}}, displacedAt: time.Now().Add(time.Second)}
		assert.True(t, resumeAfterStart(t, f, false))
	})
}

// TestSilenceIsNoProof guards against an engine that does not answer, or drains, and is taken for one
// that does not have the prompt, while one of another version has it.
func TestSilenceIsNoProof(t *testing.T) {
	for _, drains := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &askedEngines{silent: map[string]bool{"a": true, "c": true}, cache: map[string][]string{"a": {"s1"}, "c": {"s1"}}}
			time.AfterFunc(1900*time.Millisecond, func() {
				f.mu.Lock()
				f.silent = map[string]bool{"a": !drains}
				f.mu.Unlock()
			})
			assert.False(t, resumeAfterStart(t, f, drains), drains)
		})
	}
}

// TestAnswersBesideSilenceCount guards against streams that are lost because a silent engine of their
// version uses up the time in which others have answered.
func TestAnswersBesideSilenceCount(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := &askedEngines{silent: map[string]bool{"a": true, "b": true}, cache: map[string][]string{"b": {"s1"}}}
			time.AfterFunc(1900*time.Millisecond, func() {
				f.mu.Lock()
				f.silent = map[string]bool{"a": true}
				f.mu.Unlock()
			})
			assert.True(t, resumeAfterStart(t, f, false))
		})
	}
}

// TestHalfAnAnswerCounts guards against streams that are lost because one of the two calls to an
// engine failed, always or once.
func TestHalfAnAnswerCounts(t *testing.T) {
	runs := map[string][]string{"a": {"begun-before"}}
	for _, f := range []*askedEngines{{failCached: map[string]bool{"a": true}, runs: runs}, {failRunningOnce: map[string]bool{"a": true}, runs: runs}} {
		synctest.Test(t, func(t *testing.T) { assert.True(t, resumeAfterStart(t, f, false)) })
	}
}

// TestPartOfAListIsNoProof guards against a list with rows that can't be read that is taken for all
// that the engine has, while one of another version has the prompt, and against a sound row that is lost.
func TestPartOfAListIsNoProof(t *testing.T) {
	for engine, goesOn := range map[string]bool{"a": true, "c": false} {
		synctest.Test(t, func(t *testing.T) {
			f := &askedEngines{silent: map[string]bool{"a": true, "c": true}, partial: map[string]bool{"a": true}, cache: map[string][]string{engine: {"s1"}}}
			time.AfterFunc(1900*time.Millisecond, func() {
				f.mu.Lock()
				f.silent = nil
				f.mu.Unlock()
			})
			assert.Equal(t, goesOn, resumeAfterStart(t, f, false), engine)
		})
	}
}
