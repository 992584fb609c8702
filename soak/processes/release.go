package processes

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// releaseSize is the number of decode workers in service at a time.
	releaseSize = 6
	// streamCallers is the number of callers that send resumable generations only.
	streamCallers = 24
	// brokenConnFraction is the fraction of their streams whose connection breaks.
	brokenConnFraction = 0.3
	// settledTime is how long an entry has run before the streams that it begins and resumes count.
	settledTime = 3 * time.Second
	// maxJoinedStreams is how many streams may hold events of two software versions.
	maxJoinedStreams = 2
	// Of minResumed or more attempts to resume streams whose version servingWorkers or more
	// workers have, minResumedShare of the share of the new ones must bring an event.
	minResumed      = 12
	servingWorkers  = 2
	minResumedShare = 0.5
)

// fleet returns the workers of a run. With releases, there is a spare for each decode worker.
func (s Settings) fleet() []workerKind {
	if s.Fleet != nil {
		return s.Fleet.workers(s.hasReleases())
	}
	decode := 3
	if s.hasReleases() {
		decode = 2 * releaseSize
	}
	usual := pace{workerSlots, memoryTokens, callTime, 0, eventGap}
	kinds := slices.Repeat([]workerKind{{"app", "", dataCentre(0), usual}}, 3)
	kinds = append(kinds, slices.Repeat([]workerKind{{"llm", "prefill", dataCentre(0), usual}}, 2)...)
	return append(kinds, slices.Repeat([]workerKind{{"llm", "decode", dataCentre(0), usual}}, decode)...)
}

// releaseRepeatedly installs releases until ctx ends, on all decode workers and on half of them
// in turn, and restarts all entries at some time during or after each.
func (r *run) releaseRepeatedly(ctx context.Context) {
	if r.set.Fleet == nil {
		r.startStreamCallers(ctx)
	}
	for release := 2; ctx.Err() == nil; release++ {
		n := r.set.releaseSize()
		if (uint64(release)+r.set.Seed)%2 == 0 {
			n /= 2
		}
		var installed sync.WaitGroup
		installed.Go(func() { r.inject(fault{"release", func(r *run) { r.install(release, n) }}) })
		time.Sleep(r.randomMilliseconds(0, 6000))
		r.inject(fault{"restart all", func(r *run) { r.restartAll() }})
		time.Sleep(settledTime + r.randomMilliseconds(0, 3000))
		installed.Wait()
	}
}

// install puts n spare decode workers into service with a release. As many of the oldest release
// leave and are spares then.
func (r *run) install(release, n int) {
	leaving, joining := r.decodeWorkers(false)[:n], r.decodeWorkers(true)[:n]
	r.note("release %d joins with %d workers", release, n)
	for _, k := range joining {
		k.join(release)
		k.publish(r.store, "ready")
	}
	time.Sleep(r.randomMilliseconds(500, 1500))
	r.note("%d workers leave for release %d", n, release)
	var left sync.WaitGroup
	for _, k := range leaving {
		left.Go(func() { r.leave(k, true) })
	}
	left.Wait()
}

// join puts a spare worker into service.
func (k *worker) join(release int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.release, k.spare = release, false
}

// decodeWorkers returns the decode workers that are spares or not, the oldest release first.
func (r *run) decodeWorkers(spare bool) []*worker {
	var list []*worker
	releases := make(map[*worker]int)
	for _, k := range r.workers {
		k.mu.Lock()
		if k.stage == "decode" && k.spare == spare {
			list = append(list, k)
			releases[k] = k.release
		}
		k.mu.Unlock()
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return releases[a] - releases[b] })
	return list
}

// restartAll restarts all entries. In half of the cases their connections to workers stay, as
// after a loss of power, and in half of the cases the store discards its history.
func (r *run) restartAll() {
	if r.randomInt(2) == 0 {
		r.note("all lose power")
		for _, k := range r.workers {
			k.proxy.silence()
		}
	}
	if r.randomInt(2) == 0 {
		r.note("store forgets")
		r.store.Compact()
	}
	r.killAll(r.randomMilliseconds(300, 2500))
}

// killAll kills all entries, also those that are about to end, and starts them after a pause.
func (r *run) killAll(pause time.Duration) {
	r.mu.Lock()
	r.allKilled = time.Now()
	r.mu.Unlock()
	var restarted sync.WaitGroup
	for _, e := range r.entries {
		restarted.Go(func() {
			e.killEnding()
			e.replace(syscall.SIGKILL, pause)
		})
	}
	restarted.Wait()
}

// startStreamCallers starts callers that send resumable generations until ctx ends.
func (r *run) startStreamCallers(ctx context.Context) {
	kind := requestKind{path: "/draft/", stream: true, breaks: true}
	for i := range streamCallers {
		r.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !r.set.Streams, MaxIdleConnsPerHost: 4, DisableCompression: true}}
			for n := 0; ctx.Err() == nil; n++ {
				caller := identity{key: schoolKey, workspace: school, permanent: true}
				r.call(context.WithoutCancel(ctx), client, kind, fmt.Sprintf("%d-s-%d-%d", r.set.Seed, i, n), caller)
				time.Sleep(r.randomMilliseconds(0, 300))
			}
		})
	}
}

// progress counts attempts, and those that brought an event.
type progress struct{ attempts, progressed int }

func (p progress) share() float64 { return float64(p.progressed) / float64(max(p.attempts, 1)) }

func (p progress) String() string { return fmt.Sprintf("%d/%d", p.progressed, p.attempts) }

// comparable reports whether attempts of a kind show how many streams begin and are resumed.
func comparable(k requestKind, caller identity) bool {
	return k.stream && !k.atMostOnce && k.part == "" && caller.permanent && caller.workspace == school
}

func (p *progress) record(progressed bool) {
	p.attempts++
	if progressed {
		p.progressed++
	}
}

// recordProgress records an attempt that was sent when the caller's next event was next.
func (r *run) recordProgress(s *stream, next int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	progressed := s.next > next
	if next == 1 {
		r.begun.record(progressed)
		return
	}
	r.resumed.record(progressed)
	if s.begun.Before(r.allKilled) {
		r.carriedOver.record(progressed)
	}
}

// serves reports whether enough workers serve a software version; empty stands for any.
func (r *run) serves(version string) bool {
	n := 0
	for _, k := range r.workers {
		if k.serves(version) {
			n++
		}
	}
	return version == "" || n >= servingWorkers
}

func (k *worker) serves(version string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stage == "decode" && k.state == "ready" && k.softwareVersion() == version && !k.hanging.Load() && !k.proxy.frozen.Load()
}

// checkVersions checks that streams went on, and at the software version that began them.
func (r *run) checkVersions() {
	joined := r.joined.Load()
	r.report.Streams = fmt.Sprintf("begun=%s resumed=%s carried-over=%s joined=%d", r.begun, r.resumed, r.carriedOver, joined)
	if joined > maxJoinedStreams {
		r.violation("%d streams hold events of two software versions", joined)
	}
	for name, p := range map[string]progress{"streams": r.resumed, "streams that began before all entries were killed": r.carriedOver} {
		if p.attempts >= minResumed && p.share() < minResumedShare*r.begun.share() {
			r.violation("%s attempts resume %s, %s begin new ones", p, name, r.begun)
		}
	}
}
