// Package poison detects poison requests: those that crash each endpoint that runs
// them, as opposed to those that happened to run where an endpoint crashed for another
// reason. It does no I/O.
//
// The caller of a poison request sends it again, to any entry, and each attempt costs one
// or two endpoints with all other work that runs there, until the service is down. To a
// single entry this looks like unrelated crashes. Only a hash of the request's content,
// shared among all entries, relates the crashes to each other.
package poison

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxCoincidence is the probability that all crashes of a request's endpoints were
	// coincidence, at or below which the request is blocked.
	maxCoincidence = 1e-5
	// minCoincidence is the lower bound of the probability of coincidence for one crash,
	// however soon after the request's start it came: crashes with other causes come in
	// clusters. With this bound three crashes may suffice to block, two never do.
	minCoincidence = 0.02
	// minCoincidenceRan is the lower bound for a crash of an endpoint where the request had
	// run for a while: a request that crashes endpoints at its start does not get so far.
	minCoincidenceRan = 0.3
	// manyCrashes is the number of crashes from which on maxCoincidenceMany applies
	// instead of maxCoincidence, if the request had not run for a while before any of
	// them. A poison request may wait at a busy endpoint before it starts, which makes
	// each crash look more like coincidence; it must be blocked nevertheless.
	manyCrashes        = 5
	maxCoincidenceMany = 1e-3
	// maxCrashes is the number of crashes that suffice whatever else crashes: an innocent
	// request has no attempts left by then.
	maxCrashes = 8
	// rateWindow is the time window over which the crash rate of endpoints is observed.
	rateWindow = 10 * time.Second
	// evidenceTTL is how long crashes and complete answers count. A caller may send a
	// poison request for hours, and the service may have been fixed by then.
	evidenceTTL = time.Hour
	// maxContents and maxEndpoints bound the memory, at about 100 bytes per record.
	maxContents  = 2048
	maxEndpoints = 1024
	// maxBlocked bounds the records of blocked contents once there are maxContents, so that
	// new contents have time to show whether they are poison.
	maxBlocked = maxContents * 3 / 4
)

// Detector holds what an entry knows of crashes and of the requests that ran at the crashed
// endpoints. Requests are identified by a hash of their content. It is safe for concurrent
// use.
type Detector struct {
	// OnBlocked, if set, is called for each content that becomes blocked, with the number
	// of its crashes.
	OnBlocked func(content uint64, crashes int)

	mu        sync.Mutex
	contents  map[uint64]*record
	successes recentSuccesses
	// recentCrashes holds the endpoints that crashed within rateWindow, with the times.
	recentCrashes map[string]time.Time
	// endpoints holds the IDs of the published endpoints.
	endpoints []string
	// seq is the sequence number of the newest update for other entries.
	seq uint64
}

// record is what is known of one content.
type record struct {
	crashes []crash
	// lastSuccess is the time of the last complete answer. sequencedSuccess is the one that
	// other entries are notified of, and successSeq the sequence number of that update.
	lastSuccess, sequencedSuccess time.Time
	successSeq                    uint64
	// blocked reports that requests with this content are refused.
	blocked bool
	// newest is the time of the newest crash or complete answer.
	newest time.Time
}

// Attempt describes an attempt at a request that was under way when its endpoint crashed.
type Attempt struct {
	// Endpoint is the ID of the crashed endpoint.
	Endpoint string
	// Lasted is the time from the start of the attempt to the crash.
	Lasted time.Duration
	// Ran reports that the attempt had produced events for a while.
	Ran bool
	// Rate is the crash rate of an endpoint at that time, in crashes per second, as
	// observed by the entry that saw the crash; zero if unknown.
	Rate float64
}

// crash is the crash of an endpoint during an attempt at a content.
type crash struct {
	Attempt
	at time.Time
	// seq is the sequence number of the update for other entries; zero if there is none.
	seq uint64
}

// NewDetector returns a Detector without records.
func NewDetector() *Detector {
	return &Detector{contents: make(map[uint64]*record), recentCrashes: make(map[string]time.Time)}
}

// SetEndpoints sets the IDs of the published endpoints.
func (l *Detector) SetEndpoints(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoints = ids
}

// Blocked reports whether requests with a content are blocked.
func (l *Detector) Blocked(now time.Time, content uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.contents[content]
	return r != nil && r.blocked && now.Sub(r.newest) <= evidenceTTL
}

// RecordCrash records that an endpoint crashed during an attempt at a content.
func (l *Detector) RecordCrash(now time.Time, content uint64, a Attempt) {
	if content == 0 {
		return // the content is unknown
	}
	l.mu.Lock()
	found := 0
	if r := l.add(now, content, crash{Attempt: a, at: now}); r != nil {
		r.crashes[len(r.crashes)-1].Rate = l.crashRate()
		l.assignSeqs(r, 1)
		found = l.evaluate(r)
	}
	l.mu.Unlock()
	l.notifyBlocked(content, found)
}

// RecordSuccess records a complete answer. A poison request never gets one, so all crashes
// before it had other causes and are discarded.
//
// Without this, a request that many callers send in the same form would be blocked when
// endpoints crash for other reasons, because it runs at each of them.
func (l *Detector) RecordSuccess(now time.Time, content uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if content == 0 {
		return
	}
	l.successes.add(content, now)
	if r := l.contents[content]; r != nil && l.clear(r, now) {
		l.assignSuccessSeq(r)
	}
}

// add records a crash unless it is already known or a complete answer came after it. It
// returns the record if the crash was added, else nil. The caller holds l.mu.
func (l *Detector) add(now time.Time, content uint64, c crash) *record {
	l.countCrash(now, c)
	r := l.contents[content]
	if r == nil {
		r = &record{}
		l.contents[content] = r
		l.clear(r, l.successes.last(content))
		l.evict(now, content)
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(x crash) bool { return now.Sub(x.at) > evidenceTTL })
	known := slices.ContainsFunc(r.crashes, func(x crash) bool { return x.Endpoint == c.Endpoint })
	switch {
	case !c.at.After(r.lastSuccess):
		l.assignSuccessSeq(r) // the sender of the update does not know of the answer
		return nil
	case known || len(r.crashes) >= maxCrashes:
		return nil
	}
	r.crashes = append(r.crashes, c)
	r.newest = latest(r.newest, c.at)
	return r
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countCrash adds a crash to those that the crash rate is computed from. The caller holds
// l.mu.
func (l *Detector) countCrash(now time.Time, c crash) {
	for id, at := range l.recentCrashes {
		if now.Sub(at) > rateWindow {
			delete(l.recentCrashes, id)
		}
	}
	if _, counted := l.recentCrashes[c.Endpoint]; !counted && len(l.recentCrashes) < maxEndpoints && now.Sub(c.at) <= rateWindow {
		l.recentCrashes[c.Endpoint] = c.at
	}
}

// clear records a complete answer and removes the crashes up to it. It reports whether
// there were any. The caller holds l.mu.
func (l *Detector) clear(r *record, at time.Time) bool {
	if !at.After(r.lastSuccess) {
		return false
	}
	before := len(r.crashes)
	r.lastSuccess, r.newest = at, latest(r.newest, at)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	if len(r.crashes) == before {
		return false
	}
	r.blocked = false
	return true
}

// evaluate decides whether a content becomes blocked. If so, it returns the number of its
// crashes, else zero. The caller holds l.mu.
//
// A poison request crashes an endpoint soon after its start there; an innocent one may
// have run for any time. So the probability of coincidence for one crash is that of an
// endpoint crashing within the time that the attempt had lasted. The crash rate is the
// highest of the present one and those at the time of each crash: crashes during a burst
// must not be judged by the low rate after it.
func (l *Detector) evaluate(r *record) int {
	if r.blocked {
		return 0
	}
	rate := l.crashRate()
	for _, c := range r.crashes {
		rate = max(rate, c.Rate)
	}
	probability := 1.0
	ran := false
	for _, c := range r.crashes {
		probability *= c.coincidence(rate)
		ran = ran || c.Ran
	}
	switch n := len(r.crashes); {
	case probability <= maxCoincidence, n >= maxCrashes:
		r.blocked = true
	case n >= manyCrashes && !ran:
		r.blocked = probability <= maxCoincidenceMany
	}
	if r.blocked {
		return len(r.crashes)
	}
	return 0
}

// coincidence returns the probability that the crash was coincidence, given the crash rate
// of endpoints.
func (c crash) coincidence(rate float64) float64 {
	floor := minCoincidence
	if c.Ran {
		floor = minCoincidenceRan
	}
	return max(1-math.Exp(-rate*c.Lasted.Seconds()), floor)
}

// crashRate returns how often an endpoint crashes, in crashes per second. One crash more
// than observed is counted, so that a small number of crashes proves nothing. The caller
// holds l.mu.
func (l *Detector) crashRate() float64 {
	alive := 0
	for _, id := range l.endpoints {
		if _, crashed := l.recentCrashes[id]; !crashed {
			alive++ // a crashed endpoint stays published for seconds
		}
	}
	return float64(len(l.recentCrashes)+1) / (float64(max(alive, 1)) * rateWindow.Seconds())
}

// evict keeps the number of records within maxContents, without removing the one that is
// being added. It removes expired records or else the least useful one. The caller holds
// l.mu.
func (l *Detector) evict(now time.Time, added uint64) {
	if len(l.contents) <= maxContents {
		return
	}
	blocked := 0
	for content, r := range l.contents {
		switch {
		case content == added:
		case now.Sub(r.newest) > evidenceTTL:
			delete(l.contents, content)
		case r.blocked:
			blocked++
		}
	}
	if len(l.contents) > maxContents {
		delete(l.contents, l.leastUseful(added, blocked > maxBlocked))
	}
}

// leastUseful returns the content of the least useful record, among the blocked ones if
// onlyBlocked and without the one that is being added. The caller holds l.mu.
func (l *Detector) leastUseful(added uint64, onlyBlocked bool) uint64 {
	var least uint64
	var r *record
	for content, x := range l.contents {
		if content == added || onlyBlocked && !x.blocked {
			continue
		}
		if r == nil || x.lessUseful(r) {
			least, r = content, x
		}
	}
	return least
}

// lessUseful orders records by what they may still do, then by age: without crashes a
// record blocks nothing, and a blocked content would crash further endpoints without it.
func (r *record) lessUseful(o *record) bool {
	if u, v := r.use(), o.use(); u != v {
		return u < v
	}
	return r.newest.Before(o.newest)
}

func (r *record) use() int {
	switch {
	case r.blocked:
		return 2
	case len(r.crashes) > 0:
		return 1
	}
	return 0
}

// notifyBlocked calls the callback if evaluate returned a number of crashes. The
// caller must not hold l.mu.
func (l *Detector) notifyBlocked(content uint64, crashes int) {
	if crashes > 0 && l.OnBlocked != nil {
		l.OnBlocked(content, crashes)
	}
}
