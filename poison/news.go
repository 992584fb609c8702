package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUpdates is the maximum number of updates sent at a time, some 10 kB.
	maxUpdates = 256
	// singleCrashTTL is how long a content with a single crash is reported to entries that
	// start: it only matters while the request is still being tried.
	singleCrashTTL = time.Minute
	// relayThreshold is the number of crashes from which on updates received from other
	// entries are relayed, so that all entries learn of a content that crashes endpoints
	// repeatedly, and entries that start learn it from any other.
	relayThreshold = 2
	// maxCrashRate bounds the crash rate that another entry observed: all endpoints that it counts
	// and but one of them alive.
	maxCrashRate = float64(maxEndpoints+1) / float64(rateWindow/time.Second)
)

// Update is an update that one entry sends others about a content: a crash during an
// attempt at it, or a complete answer.
type Update struct {
	Content uint64
	// Attempt has no Endpoint if the update is about a complete answer.
	Attempt
	// Age is the time since the crash or the answer.
	Age time.Duration
}

// LatestSeq returns the sequence number of the newest update.
func (l *Detector) LatestSeq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq
}

// Updates returns the updates for an entry that has received all up to a sequence number,
// and the sequence number up to which it then has all of them.
func (l *Detector) Updates(now time.Time, after uint64) ([]Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type sequenced struct {
		Update
		seq uint64
	}
	var list []sequenced
	for content, r := range l.contents {
		fresh := len(r.crashes) >= relayThreshold || now.Sub(r.newest) <= singleCrashTTL
		if !fresh {
			continue
		}
		for _, c := range r.crashes {
			if c.seq > after {
				list = append(list, sequenced{Update{content, c.Attempt, now.Sub(c.at)}, c.seq})
			}
		}
		if r.successSeq > after {
			list = append(list, sequenced{Update{Content: content, Age: now.Sub(r.lastSuccess)}, r.successSeq})
		}
	}
	slices.SortFunc(list, func(a, b sequenced) int { return cmp.Compare(a.seq, b.seq) })
	upTo := l.seq
	if len(list) > maxUpdates {
		list = list[:maxUpdates]
		upTo = list[maxUpdates-1].seq
	}
	updates := make([]Update, 0, len(list))
	for _, n := range list {
		updates = append(updates, n.Update)
	}
	return updates, upTo
}

// Merge merges updates from another entry.
func (l *Detector) Merge(now time.Time, updates []Update) {
	for _, w := range updates {
		if w.Age < 0 || w.Age > evidenceTTL {
			continue
		}
		if w.Endpoint == "" {
			l.mergeSuccess(now.Add(-w.Age), w.Content)
			continue
		}
		if !(w.Rate >= 0 && w.Rate <= maxCrashRate) {
			w.Rate = 0
		}
		l.mergeCrash(now, w)
	}
}

func (l *Detector) mergeCrash(now time.Time, w Update) {
	l.mu.Lock()
	found := 0
	r := l.add(now, w.Content, crash{Attempt: w.Attempt, at: now.Add(-w.Age)})
	if r != nil {
		l.assignSeqs(r, relayThreshold)
		found = l.evaluate(r)
	}
	l.mu.Unlock()
	l.notifyBlocked(w.Content, found)
}

func (l *Detector) mergeSuccess(at time.Time, content uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.contents[content]
	if r == nil || !at.After(r.lastSuccess) {
		return
	}
	relay := len(r.crashes) >= relayThreshold
	if l.clear(r, at) && relay {
		l.assignSuccessSeq(r)
	}
}

// assignSeqs assigns sequence numbers to the crashes of a record that have none, if it has
// at least minCrashes. The caller holds l.mu.
func (l *Detector) assignSeqs(r *record, minCrashes int) {
	if len(r.crashes) < minCrashes {
		return
	}
	for i := range r.crashes {
		if r.crashes[i].seq == 0 {
			l.seq++
			r.crashes[i].seq = l.seq
		}
	}
}

// assignSuccessSeq assigns a sequence number to the last complete answer of a record unless
// it has one. The caller holds l.mu.
func (l *Detector) assignSuccessSeq(r *record) {
	if r.sequencedSuccess.Equal(r.lastSuccess) {
		return
	}
	l.seq++
	r.successSeq, r.sequencedSuccess = l.seq, r.lastSuccess
}
