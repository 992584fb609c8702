package processes

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"ebonypulley"
	"ebonypulley/standin"
)

// pace is how fast a worker works and how many requests it serves at a time.
type pace struct {
	slots, memoryTokens             int
	callTime, prefillTime, eventGap time.Duration
}

// dataCentre returns the name of a data centre; the first is that of runs without a profile.
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", 1+i) }

// entryDataCentre returns the data centre of an entry.
func (s Settings) entryDataCentre(entry int) string {
	if s.Fleet == nil {
		return dataCentre(0)
	}
	for i, n := range s.Fleet.EntriesPerDataCentre {
		if entry < n {
			return dataCentre(i)
		}
		entry -= n
	}
	return dataCentre(0)
}

// releaseSize returns the number of decode workers in service at a time.
func (s Settings) releaseSize() int {
	if s.Fleet == nil {
		return releaseSize
	}
	n := 0
	for _, service := range s.Fleet.Services {
		n += service.Decode
	}
	return n
}

// workers returns the workers of the profile, spread over the data centres. There is a spare for each
// decode worker if spares are asked for.
func (p *Profile) workers(spares bool) (list []workerKind) {
	add := func(s ServiceProfile, stage string, n int) {
		pace := pace{s.Slots, s.MemoryTokens, s.CallTime.D(), s.PrefillTime.D(), s.EventGap.D()}
		for i := range n {
			list = append(list, workerKind{s.Name, stage, dataCentre(i % len(p.EntriesPerDataCentre)), pace})
		}
	}
	for _, s := range p.Services {
		add(s, "", s.Workers)
		add(s, "prefill", s.Prefill)
	}
	for range spareRounds(spares) {
		for _, s := range p.Services {
			add(s, "decode", s.Decode)
		}
	}
	return list
}

func spareRounds(spares bool) int {
	if spares {
		return 2
	}
	return 1
}

// routes returns the routes of the profile.
func (p *Profile) routes() (list []any) {
	for _, q := range p.Requests {
		list = append(list, map[string]any{
			"name": q.Path, "host": "app.example", "path_prefix": q.Path, "kind": q.Kind, "service": q.Service,
			"timeout_ms": q.RouteTimeout.D().Milliseconds(), "target_latency_ms": 900, "target_gap_ms": 300,
			"max_attempts": q.MaxAttempts, "resumable": q.Resumable,
		})
	}
	return list
}

// serviceEntries returns the services of the profile as they are published.
func (p *Profile) serviceEntries() (list []any) {
	for _, s := range p.Services {
		entry := map[string]any{"name": s.Name}
		if s.generates() {
			entry["engine"] = map[string]any{"slots": s.Slots, "kv_capacity": s.MemoryTokens, "kv_hold_s": 0.5, "stride": 1}
		}
		list = append(list, entry)
	}
	return list
}

// services returns the names of the services.
func (s Settings) services() (names []string) {
	if s.Fleet == nil {
		return []string{"app", "llm"}
	}
	for _, service := range s.Fleet.Services {
		names = append(names, service.Name)
	}
	return names
}

// plainService returns the name of a service that serves plain calls.
func (p *Profile) plainService() string {
	for _, s := range p.Services {
		if !s.generates() {
			return s.Name
		}
	}
	return p.Services[0].Name
}

// startProfileCallers sends the requests of the profile at their rates until ctx ends, and returns at once.
func (r *run) startProfileCallers(ctx context.Context) {
	for i, q := range r.set.Fleet.Requests {
		kind := q.kind()
		r.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !r.set.Streams, MaxIdleConnsPerHost: 4, DisableCompression: true}}
			defer client.CloseIdleConnections()
			began := time.Now()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%d-p%d-%d", r.set.Seed, i, n)
				r.wg.Go(func() { r.call(ctx, client, kind, id, identity{key: schoolKey, workspace: school, permanent: true}) })
				gap := 2 * r.randomFloat() / (q.Rate * r.set.Fleet.Bursts.factorAt(time.Since(began)))
				ebonypulley.Sleep(ctx, time.Duration(gap*float64(time.Second)))
			}
		})
	}
}

func (q *RequestProfile) kind() requestKind {
	return requestKind{
		path: q.Path, stream: q.Kind == kindStreaming, atMostOnce: q.Kind != kindIdempotent && !q.Resumable,
		breaks: q.Resumable, profile: q,
	}
}

// balancedEntry returns a random entry of those that are not being restarted, as a balancer that checks
// them would, or of all if there is none.
func (r *run) balancedEntry() *entry {
	up := slices.DeleteFunc(slices.Clone(r.entries), func(e *entry) bool { return e.replacing.Load() })
	if len(up) == 0 {
		up = r.entries
	}
	return up[r.randomInt(len(up))]
}

// service returns the service that serves a kind of request.
func (k requestKind) service() string {
	switch {
	case k.profile != nil:
		return k.profile.Service
	case k.stream:
		return "llm"
	}
	return "app"
}

// streamOf returns a new stream of a kind of request.
func (r *run) streamOf(k requestKind) *stream {
	s := r.newStream()
	s.readPause = r.readPause()
	if q := k.profile; q != nil {
		s.deadline = time.Now().Add(q.Timeout.D())
		s.events = max(2, int(float64(q.Events.Mean)*(1+q.Events.Spread*(2*r.randomFloat()-1))))
		r.lengths.set(s.prompt, s.events)
	}
	return s
}

// repeats returns how often a caller repeats a request or resumes its stream.
func (k requestKind) repeats() int {
	if k.profile != nil {
		return k.profile.Retries
	}
	return maxResumes
}

// promptLength returns the length of a request's prompt in tokens.
func (k requestKind) promptLength() int {
	if k.profile != nil {
		return k.profile.PromptTokens
	}
	return promptTokens
}

// repeatable reports whether the caller may send another attempt after one that failed before its
// first event. Requests that may run at most once are repeated only when they haven't run.
func (k requestKind) repeatable(resp *http.Response, err error) bool {
	if k.profile == nil || err == nil && resp.StatusCode == http.StatusOK {
		return false
	}
	if !k.atMostOnce {
		return mayRetry(resp, err)
	}
	notRun := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	return resp != nil && slices.Contains(notRun, resp.StatusCode)
}

// lengthLog holds how many events the streams of each prompt have.
type lengthLog struct{ events sync.Map }

func (l *lengthLog) set(prompt, events int) { l.events.Store(fmt.Sprintf("%x", prompt), events) }

// of returns the number of events of the stream that a worker is asked for.
func (l *lengthLog) of(c standin.WorkerHeaders) int {
	if l == nil || len(c.PromptParts) == 0 {
		return streamEvents
	}
	if n, ok := l.events.Load(c.PromptParts[len(c.PromptParts)-1].ID); ok {
		return n.(int)
	}
	return streamEvents
}
