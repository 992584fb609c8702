package processes

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// badPart is the prompt part that crashes each engine that begins to write an answer on it.
const badPart = "bad"

const (
	// badPartTime is how long requests with the bad part come, badPartInterval the time
	// between two of them; soundInterval is that between sound requests that share all other
	// parts with them.
	badPartTime     = 12 * time.Second
	badPartInterval = 250 * time.Millisecond
	// badPartKillAfter is how long after the first of them all entries are killed, badPartKillTime
	// how long such requests come then in all.
	badPartKillAfter = 10 * time.Second
	badPartKillTime  = 25 * time.Second
	soundInterval    = 50 * time.Millisecond
	// badPartDown is how long a crashed engine is down.
	badPartDown = 2 * time.Second
	// contactTime is how long news takes to reach all entries. Later than that after
	// badPartCrashes crashes, maxBadArrivals requests with the part may still reach engines;
	// later than twice that, minSound of the usual part of the sound requests must begin.
	contactTime    = 3 * time.Second
	badPartCrashes = 5
	maxBadArrivals = 3
	minSound       = 0.5
)

// badPartLog records when requests with the bad part reached engines and crashed them.
type badPartLog struct {
	mu       sync.Mutex
	arrivals []badPartArrival
	crashes  []time.Time
}

// badPartArrival is an arrival of a request with the bad part at an engine.
type badPartArrival struct {
	attempt string
	at      time.Time
}

func (l *badPartLog) recordArrival(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, badPartArrival{id, time.Now()})
}

func (l *badPartLog) recordCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
}

// decisiveCrash returns when the last crash came that entries may need to recognise the part.
func (l *badPartLog) decisiveCrash() (at time.Time, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes = len(l.crashes)
	if crashes == 0 {
		return time.Time{}, 0
	}
	return l.crashes[min(crashes, badPartCrashes)-1], crashes
}

func (l *badPartLog) arrivalsAfter(at time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.at.After(at) {
			n++
		}
	}
	return n
}

// requestsBetween returns how many requests reached engines in a span.
func (l *badPartLog) requestsBetween(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	attempts := make(map[string]bool)
	for _, a := range l.arrivals {
		if a.at.After(from) && a.at.Before(to) {
			attempts[a.attempt] = true
		}
	}
	return len(attempts)
}

// soundLog records when sound requests were sent and whether their answers began.
type soundLog struct {
	mu       sync.Mutex
	outcomes []soundOutcome
}

type soundOutcome struct {
	at    time.Time
	began bool
}

// fraction returns which part of the requests sent in a span began, and their number.
func (l *soundLog) fraction(from, to time.Time) (began float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outcomes {
		if o.at.Before(from) || !o.at.Before(to) {
			continue
		}
		n++
		if o.began {
			began++
		}
	}
	return began / float64(max(n, 1)), n
}

// playBadPart sends requests with the bad part, no two alike, to all entries beside sound
// requests of the same route, and checks that the entries recognise the part.
func (r *run) playBadPart(ctx context.Context) {
	r.activeFaults.Add(1)
	defer func() {
		r.lastFaultEnd.Store(time.Now().UnixNano())
		r.activeFaults.Add(-1)
	}()
	r.note("bad part")
	sound, usual := new(soundLog), time.Now()
	var senders sync.WaitGroup
	soundCtx, stop := context.WithCancel(ctx)
	defer stop()
	senders.Go(func() { r.sendSound(soundCtx, sound) })
	if r.set.BadPartFaults {
		senders.Go(func() { r.injectWorkerFaults(soundCtx) })
	}
	time.Sleep(contactTime)
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	length := badPartTime
	var killed, settled time.Time
	if r.set.BadPartKill {
		length = badPartKillTime
		senders.Go(func() {
			time.Sleep(badPartKillAfter)
			killed = time.Now()
			r.killAll(r.randomMilliseconds(100, 500))
			settled = time.Now().Add(contactTime)
		})
	}
	for n := 0; time.Since(began) < length; n++ {
		id := attemptID(fmt.Sprintf("%d-bad-%d", r.set.Seed, n), identity{workspace: school})
		senders.Go(func() { r.sendPrompt(ctx, client, id, badPart) })
		time.Sleep(cmp.Or(r.set.BadPartInterval, badPartInterval))
	}
	end := time.Now()
	stop()
	senders.Wait()
	if r.set.BadPartKill {
		r.checkKilledBadPart(killed, settled, end)
		return
	}
	r.checkBadPart(sound, usual, began, end)
}

// checkKilledBadPart checks how many requests with the bad part reach engines after all entries have
// been killed, which have been in contact for a while.
func (r *run) checkKilledBadPart(killed, settled, end time.Time) {
	at, crashes := r.badPart.decisiveCrash()
	before := 0
	if known := at.Add(contactTime); crashes >= badPartCrashes && known.Before(killed) {
		before = r.badPart.requestsBetween(known, killed)
	}
	after := r.badPart.requestsBetween(settled, end)
	r.note("bad part: %d crashes; %d late requests before all entries were killed, %d after", crashes, before, after)
	if before+after > maxBadArrivals {
		r.violation("%d and %d requests with the bad part reached engines before and after all entries were killed, of %d crashes", before, after, crashes)
	}
}

// sendSound sends sound requests until ctx ends.
func (r *run) sendSound(ctx context.Context, log *soundLog) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		id := attemptID(fmt.Sprintf("%d-sound-%d", r.set.Seed, n), identity{workspace: school})
		requests.Go(func() {
			at := time.Now()
			s := r.sendPrompt(context.WithoutCancel(ctx), client, id, "ca11e7")
			log.mu.Lock()
			defer log.mu.Unlock()
			log.outcomes = append(log.outcomes, soundOutcome{at, s.next > 1})
		})
		time.Sleep(soundInterval)
	}
}

// sendPrompt sends a resumable generation whose prompt has a part between that of all prompts
// and its own.
func (r *run) sendPrompt(ctx context.Context, client *http.Client, id, part string) *stream {
	s := r.newStream()
	k := requestKind{path: "/draft/", stream: true, part: part}
	r.request(ctx, client, r.pickEntry(), k, id, identity{key: schoolKey, workspace: school, permanent: true}, s)
	return s
}

func (r *run) checkBadPart(sound *soundLog, usual, began, end time.Time) {
	at, crashes := r.badPart.decisiveCrash()
	if crashes == 0 {
		r.violation("no request with the bad part reached an engine")
		return
	}
	arrivals := r.badPart.arrivalsAfter(at.Add(contactTime))
	before, _ := sound.fraction(usual, began)
	after, n := sound.fraction(at.Add(2*contactTime), end)
	r.note("bad part: %d crashes, %d late arrivals; %.2f of the sound requests began before, %.2f of %d after", crashes, arrivals, before, after, n)
	if arrivals > maxBadArrivals {
		r.violation("%d requests with the bad part reached engines more than %s after crash %d of %d", arrivals, contactTime, min(crashes, badPartCrashes), crashes)
	}
	if after < minSound*before {
		r.violation("of the sound requests %.2f begin beside the bad part, %.2f without", after, before)
	}
}
