package router_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// streamEvents is the number of events of a stream.
const streamEvents = 20

// versionSite is a fleet of entries before engines of several software versions. Engines cut
// streams, entries are killed, and callers resume at other entries.
type versionSite struct {
	t       *testing.T
	rnd     *rand.Rand
	entries []*versionEntry
	// engines are published, draining ones still serve. down says that all entries are killed.
	engines, draining []*router.Endpoint
	down              bool
	// caches holds the prompts that each engine keeps, the latest last.
	caches map[string][]string

	mu      sync.Mutex
	callers sync.WaitGroup
	// end ends what entries tell each other.
	end func()
	// started counts first attempts, begun those that brought an event; resumed counts attempts
	// to resume, continued those that brought one. joined counts streams of two versions.
	started, begun, resumed, continued, joined int
	// takenUp and wentOn hold the streams with such attempts.
	takenUp, wentOn map[int]bool
}

// TestNewStreamsOfEntriesThatAreNotHeard guards against streams that begin at another version than
// the preferred one although not all entries hear of it, and are resumed at the wrong one. While
// all hear of it, no stream is refused for want of room at one version.
func TestNewStreamsOfEntriesThatAreNotHeard(t *testing.T) {
	for _, all := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			first, second := engine("a", router.Decode), engine("b", router.Decode)
			first.SoftwareVersion, second.SoftwareVersion = "v1", "v2"
			f := &fakeEndpoints{generate: func(e *router.Endpoint, _ router.Start) error {
				if e.SoftwareVersion == "v1" {
					return router.ErrNotRun.New("full")
				}
				return nil
			}}
			r := newRouter(f, first, second)
			r.Releases().SetReachesAll(all)
			served := 0
			for i := range 8 {
				c := newCall(resumableRoute, llm)
				c.ID = fmt.Sprint(i)
				_, fail := r.Generate(t.Context(), c, new(fakeSink))
				preferred := r.Releases().Preferred("llm", c.ID)
				assert.Equal(t, all || preferred == "v2", fail == nil, preferred)
				if fail == nil {
					served++
				}
				time.Sleep(10 * time.Second)
			}
			assert.NotZero(t, served)
		})
	}
}

// versionEntry is one entry. An isolated one does not learn of changes of the engines.
type versionEntry struct {
	isolated bool
	router   *router.Router
	ctx      context.Context
	kill     context.CancelFunc
}

// versionEngines is an EndpointClient whose events carry the version that wrote them.
type versionEngines struct {
	*fakeEndpoints
	site *versionSite
}

func (v versionEngines) Generate(ctx context.Context, e *router.Endpoint, c *router.Call, s router.Start) (router.Stream, error) {
	if s.Connected != nil {
		s.Connected()
	}
	if !v.site.serves(e) {
		return nil, router.ErrNotListening.New("gone")
	}
	v.site.cache(e, c.Session)
	last := int64(streamEvents)
	if v.site.random(4) == 0 {
		last = max(s.After, 0) + int64(v.site.random(8))
	}
	return &versionStream{ctx: ctx, site: v.site, engine: e, next: max(s.After, 0) + 1, cutAfter: last}, nil
}

type versionStream struct {
	ctx            context.Context
	site           *versionSite
	engine         *router.Endpoint
	next, cutAfter int64
}

func (s *versionStream) Head() any              { return "head" }
func (s *versionStream) Failed() *router.Answer { return nil }
func (s *versionStream) Close()                 {}

func (s *versionStream) Next() (router.Event, error) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-s.ctx.Done():
		return router.Event{}, router.ErrLost.Wrap(s.ctx.Err(), "stream")
	}
	switch {
	case s.next > streamEvents:
		return router.Event{}, io.EOF
	case s.next > s.cutAfter || !s.site.serves(s.engine):
		return router.Event{}, router.ErrLost.New("reset")
	}
	s.next++
	return router.Event{Number: s.next - 1, Bytes: []byte(s.engine.SoftwareVersion)}, nil
}

// versionSink records the versions of the events that the caller received.
type versionSink struct {
	last     int64
	versions map[string]bool
}

func (s *versionSink) Begin(any) error { return nil }

func (s *versionSink) Event(e router.Event) error {
	s.last = e.Number
	s.versions[string(e.Bytes)] = true
	return nil
}

// newVersionSite returns a site with a number of engines of each version: v1, v2 and so on.
func newVersionSite(t *testing.T, seed uint64, entries int, perVersion ...int) *versionSite {
	s := &versionSite{t: t, rnd: rand.New(rand.NewPCG(seed, seed)), caches: make(map[string][]string), takenUp: make(map[int]bool), wentOn: make(map[int]bool)}
	for i, n := range perVersion {
		for range n {
			s.addEngine(fmt.Sprint("v", i+1))
		}
	}
	for range entries {
		s.entries = append(s.entries, s.start())
	}
	var ctx context.Context
	ctx, s.end = context.WithCancel(t.Context())
	go s.exchange(ctx)
	return s
}

func (s *versionSite) random(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

func (s *versionSite) addEngine(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := engine(fmt.Sprintf("%s-%x", version, s.rnd.Uint32()), router.Decode)
	e.SoftwareVersion = version
	s.engines = append(s.engines, e)
}

// crashEngine removes an engine of a version with its streams.
func (s *versionSite) crashEngine(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.engines {
		if e.SoftwareVersion == version {
			s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
			return
		}
	}
}

// serves reports whether an engine still runs.
func (s *versionSite) serves(e *router.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.engines, e) || slices.Contains(s.draining, e)
}

func (s *versionSite) start() *versionEntry {
	e := new(versionEntry)
	s.launch(e, false)
	return e
}

func (s *versionSite) launch(e *versionEntry, restarted bool) {
	e.ctx, e.kill = context.WithCancel(s.t.Context())
	set := router.Settings{DataCentre: "dc-1", RetryRatio: 2, RetryWindow: 10 * time.Second, RetrySlack: 1000, SingleEntry: true, Restarted: restarted, Seed: uint64(1 + s.random(1<<30))}
	e.router = router.New(set, versionEngines{&fakeEndpoints{}, s}, event.Nop(), metrics.NewSet())
	e.router.SetDirectory(s.directory())
}

func (s *versionSite) directory() *router.Directory {
	s.mu.Lock()
	defer s.mu.Unlock()
	route := resumableRoute
	route.Timeout, route.Services = 14*time.Second, []router.Share{{Service: llm.Name, Weight: 1}}
	return router.NewDirectory(1, 0, []*router.Route{&route}, []*router.Service{llm}, slices.Clone(s.engines))
}

// publish tells all entries of the engines, each after up to 0.3 s.
func (s *versionSite) publish() {
	for _, e := range s.entries {
		if e.isolated {
			continue
		}
		lag := time.Duration(s.random(300)) * time.Millisecond
		time.AfterFunc(lag, func() {
			d := s.directory()
			s.mu.Lock()
			r := e.router
			s.mu.Unlock()
			r.SetDirectory(d)
		})
	}
}

// restart kills an entry with its streams and starts it again.
func (s *versionSite) restart(e *versionEntry) {
	next := new(versionEntry)
	s.launch(next, true)
	s.mu.Lock()
	e.kill()
	e.router, e.ctx, e.kill = next.router, next.ctx, next.kill
	s.mu.Unlock()
	for _, other := range s.routers() {
		if other != next.router {
			next.router.Releases().MergeHistory(time.Now(), other.Releases().History(time.Now()))
			next.router.Releases().Merge(time.Now(), other.Releases().Exceptions(time.Now()))
		}
	}
}

// routers returns the routers of the entries that hear of each other.
func (s *versionSite) routers() (list []*router.Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if !e.isolated {
			list = append(list, e.router)
		}
	}
	return list
}

// exchange tells the entries of each other's streams until ctx ends.
func (s *versionSite) exchange(ctx context.Context) {
	type link struct{ from, to *router.Router }
	sent := make(map[link]uint64)
	for ebonypulley.Sleep(ctx, 50*time.Millisecond) {
		list := s.routers()
		for _, from := range list {
			for _, to := range list {
				l := link{from, to}
				if from == to {
					continue
				}
				updates, upTo := from.Releases().Updates(time.Now(), sent[l])
				sent[l] = upTo
				to.Releases().Merge(time.Now(), updates)
			}
		}
	}
}

// run sends streams for a time.
func (s *versionSite) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / 17) {
		s.mu.Lock()
		s.started++
		id := s.started
		s.mu.Unlock()
		s.callers.Go(func() { s.call(id) })
	}
}

// call is one caller, who resumes a stream up to three times.
func (s *versionSite) call(id int) {
	began, first := time.Now(), ""
	sink := &versionSink{last: router.NoEvent, versions: make(map[string]bool)}
	for try := range 4 {
		route := resumableRoute
		route.Timeout = 14 * time.Second
		s.awaitEntries()
		c := newCall(route, llm)
		c.ID, c.ContentHash, c.Session = fmt.Sprintf("%x-%d", id, try), uint64(id), fmt.Sprintf("part-%x", id)
		c.Deadline = began.Add(14 * time.Second)
		c.Timeout = time.Until(c.Deadline)
		c.ResumeAfter, c.Resumes = sink.last, first
		before := sink.last
		done := s.send(c, sink)
		if first == "" && sink.last != router.NoEvent {
			first = c.ID
		}
		s.count(id, try, before, sink)
		if done {
			break
		}
		time.Sleep(time.Duration(50+s.random(400)) * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(sink.versions) > 1 {
		s.joined++
	}
}

// send sends an attempt to a random entry. It reports whether the stream is complete.
func (s *versionSite) send(c *router.Call, sink router.Sink) bool {
	n := s.random(len(s.entries))
	s.mu.Lock()
	r, ctx := s.entries[n].router, s.entries[n].ctx
	s.mu.Unlock()
	_, fail := r.Generate(ctx, c, sink)
	return fail == nil
}

// count counts an attempt. One to resume counts while two engines of the version serve.
func (s *versionSite) count(id, try int, before int64, sink *versionSink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case before != router.NoEvent && s.published(sink.versions) < 2:
	case before != router.NoEvent:
		s.resumed++
		s.takenUp[id] = true
		if sink.last > before {
			s.continued++
			s.wentOn[id] = true
		}
	case try == 0 && sink.last != router.NoEvent:
		s.begun++
	}
}

// published returns the number of published engines of any of the versions.
func (s *versionSite) published(versions map[string]bool) (n int) {
	for _, e := range s.engines {
		if versions[e.SoftwareVersion] {
			n++
		}
	}
	return n
}

// check ends the load. At most two streams may hold events of two versions; of the attempts to
// resume at least half the share must go on that begins of new streams.
func (s *versionSite) check() {
	s.checkShare(func() (resumed, continued int) { return s.resumed, s.continued })
}

// checkStreams is like check but counts streams, not attempts: callers repeat an attempt that
// is refused.
func (s *versionSite) checkStreams() {
	s.checkShare(func() (resumed, continued int) { return len(s.takenUp), len(s.wentOn) })
}

// checkShare ends the load and checks what was counted.
func (s *versionSite) checkShare(counted func() (resumed, continued int)) {
	s.callers.Wait()
	s.end()
	s.t.Logf("%d streams, %d begun; %d attempts to resume %d streams, %d and %d went on; %d of two versions",
		s.started, s.begun, s.resumed, len(s.takenUp), s.continued, len(s.wentOn), s.joined)
	resumed, continued := counted()
	assert.LessOrEqual(s.t, s.joined, 2)
	assert.GreaterOrEqual(s.t, resumed, 12)
	assert.GreaterOrEqual(s.t, 2*float64(continued)/float64(resumed), float64(s.begun)/float64(s.started))
}

// TestStreamsKeepTheirVersion guards against streams that go on at an engine of another software
// version, within one response or when their callers resume at another entry.
func TestStreamsKeepTheirVersion(t *testing.T) {
	for name, perVersion := range map[string][]int{"two versions": {3, 2}, "three versions": {5, 2, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newVersionSite(t, 1, 3, perVersion...)
				for i := range 10 {
					s.run(3 * time.Second)
					s.restart(s.entries[i%len(s.entries)])
				}
				s.check()
			})
		})
	}
}

// TestStreamsKeepTheirVersionInRelease guards against joined versions while the engines of one
// version are replaced one by one, crash, and entries hear late of it.
func TestStreamsKeepTheirVersionInRelease(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newVersionSite(t, seed, 5, 5)
				for i, replaced := range []int{5, 3, 3} {
					s.run(6 * time.Second)
					s.release(fmt.Sprint("v", i+1), fmt.Sprint("v", i+2), replaced)
					s.run(3 * time.Second)
					s.restart(s.entries[i])
				}
				s.check()
			})
		})
	}
}

// release replaces engines of one version by those of another, the half of them with their streams.
func (s *versionSite) release(from, to string, engines int) {
	for i := range engines {
		s.addEngine(to)
		s.publish()
		s.run(500 * time.Millisecond)
		if i%2 == 0 {
			s.crashEngine(from)
			s.publish()
			continue
		}
		s.drainEngine(from)
	}
}

// drainEngine removes an engine of a version after its streams.
func (s *versionSite) drainEngine(version string) {
	s.mu.Lock()
	i := slices.IndexFunc(s.engines, func(e *router.Endpoint) bool { return e.SoftwareVersion == version })
	s.draining = append(s.draining, s.engines[i])
	s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
	s.mu.Unlock()
	s.publish()
}
