package poison

import (
	"slices"
	"time"
)

// maxShortAnswers bounds the short answers of an endpoint whose survival is not known yet, and
// maxShortEndpoints the endpoints.
const (
	maxShortAnswers   = 8
	maxShortEndpoints = 512
	// maxCrashAfter is how long after a short answer a crash of its endpoint under another request may
	// be its crash, with the time in which that is noticed. maxRefusalAfter is the same for a refused
	// connection, which comes any time after the crash.
	maxCrashAfter   = crashTime + 100*time.Millisecond
	maxRefusalAfter = 2 * time.Second
)

// shortAnswer is a whole answer that was too short to prove that its endpoint survives it.
type shortAnswer struct {
	content uint64
	parts   []uint64
	ended   time.Time
}

// RecordShort records a whole answer of an endpoint which has not survived Early. It proves as much as a
// longer one once the endpoint answers anything later: see RecordAlive. If the endpoint runs no longer,
// the answer may have crashed it: see RecordStopped.
func (d *PartDetector) RecordShort(now time.Time, endpoint string, content uint64, parts []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.short[endpoint]
	if list == nil && len(d.short) >= maxShortEndpoints {
		d.evictShort()
	}
	if len(list) >= maxShortAnswers {
		list = list[1:]
	}
	d.short[endpoint] = append(list, shortAnswer{content, slices.Clone(considered(parts)), now})
}

// RecordAlive records that an endpoint answers a request, so that it has survived the short answers that
// ended before it could have crashed.
func (d *PartDetector) RecordAlive(now time.Time, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.short[endpoint]
	n := 0
	for n < len(list) && now.Sub(list[n].ended) >= crashTime {
		d.recordSurvived(list[n].ended, list[n].parts, Late)
		n++
	}
	if list = list[n:]; len(list) > 0 {
		d.short[endpoint] = list
	} else {
		delete(d.short, endpoint)
	}
}

// RecordStopped records that an endpoint was found to run no longer.
func (d *PartDetector) RecordStopped(now time.Time, endpoint string) {
	d.mu.Lock()
	d.suspectShort(now, endpoint, now.Add(-maxRefusalAfter))
	found := d.review(now)
	d.mu.Unlock()
	d.notifyBlocked(found)
}

// suspectShort makes suspects of the short answers of a stopped endpoint that have ended since a time. The
// caller holds d.mu.
func (d *PartDetector) suspectShort(now time.Time, endpoint string, since time.Time) {
	list := d.short[endpoint]
	delete(d.short, endpoint)
	for _, a := range list {
		if a.ended.Before(since) {
			continue
		}
		d.addOwn(now, PartCrash{Endpoint: endpoint, Content: a.content, Parts: a.parts, Age: now.Sub(a.ended), Depth: Middle})
	}
}

// evictShort forgets the endpoint whose last short answer is oldest. The caller holds d.mu.
func (d *PartDetector) evictShort() {
	oldest, at := "", time.Time{}
	for endpoint, list := range d.short {
		if last := list[len(list)-1].ended; oldest == "" || last.Before(at) {
			oldest, at = endpoint, last
		}
	}
	delete(d.short, oldest)
}
