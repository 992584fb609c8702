package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPartUpdateBytes bounds the updates about parts sent at a time.
	maxPartUpdateBytes = 10_000
	// Approximate encoded sizes, in bytes.
	partCrashBytes  = 25
	partBytes       = 9
	partAnswerBytes = 17
)

// LatestSeq returns the sequence number of the newest update.
func (d *PartDetector) LatestSeq() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}

// Updates returns the updates for an entry that has received all up to a sequence number, and
// the number up to which it then has all of them.
func (d *PartDetector) Updates(now time.Time, after uint64) (PartUpdates, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after >= d.seq {
		return PartUpdates{}, d.seq
	}
	var updates PartUpdates
	upTo, size := after, 0
	for _, u := range d.pending(now, after) {
		if size += u.size(); size > maxPartUpdateBytes && upTo > after && u.seq != upTo {
			return updates, upTo
		}
		upTo = u.seq
		if u.crashed != nil {
			updates.Crashes = append(updates.Crashes, u.crashed.update(now))
		} else {
			updates.Answers = append(updates.Answers, PartAnswer{Part: u.part, Age: now.Sub(u.answered), Survived: u.survived})
		}
	}
	return updates, d.seq
}

// pendingUpdate is an update to send: a suspect, or the last answer of a part that survived a depth.
type pendingUpdate struct {
	seq      uint64
	crashed  *suspect
	part     uint64
	answered time.Time
	survived Depth
}

func (u pendingUpdate) size() int {
	if u.crashed == nil {
		return partAnswerBytes
	}
	return partCrashBytes + len(u.crashed.endpoint) + partBytes*len(u.crashed.parts)
}

func (s *suspect) update(now time.Time) PartCrash {
	return PartCrash{Endpoint: s.endpoint, Content: s.content, Parts: slices.Clone(s.parts), Age: now.Sub(s.at), Depth: s.depth}
}

// pending returns the updates after a sequence number, in order. The caller holds d.mu.
func (d *PartDetector) pending(now time.Time, after uint64) []pendingUpdate {
	var list []pendingUpdate
	for _, s := range d.suspects {
		age := now.Sub(s.at)
		if s.seq > after && age <= evidenceTTL && (age <= singleCrashTTL || d.corroborated(s)) {
			list = append(list, pendingUpdate{seq: s.seq, crashed: s})
		}
	}
	for part, r := range d.parts {
		if r.answersSeq > after && (len(r.suspects) > 0 || now.Sub(r.answered.last()) <= clearTTL) {
			list = append(list, r.pendingAnswers(part)...)
		}
	}
	slices.SortStableFunc(list, func(a, b pendingUpdate) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// pendingAnswers returns the last answers of a part, each with the deepest depth that it survived.
func (r *partRecord) pendingAnswers(part uint64) (list []pendingUpdate) {
	for d, at := range r.answered {
		if last := d == len(r.answered)-1; !at.IsZero() && (last || !at.Equal(r.answered[d+1])) {
			list = append(list, pendingUpdate{seq: r.answersSeq, part: part, answered: at, survived: Depth(d)})
		}
	}
	return list
}

// Merge merges updates from another entry. The answers go first, because they may clear the
// crashes.
func (d *PartDetector) Merge(now time.Time, u PartUpdates) {
	d.mu.Lock()
	for _, a := range u.Answers {
		if a.Age >= 0 && a.Age <= evidenceTTL && a.Survived >= Beginning && a.Survived <= Late {
			d.mergeAnswer(a.Part, a.Survived, now.Add(-a.Age))
		}
	}
	for _, c := range u.Crashes {
		if c.Age < 0 || c.Age > evidenceTTL {
			continue
		}
		d.suspectShort(now, c.Endpoint, now.Add(-c.Age-maxCrashAfter))
		if s := d.add(now, c); s != nil && d.corroborated(s) {
			d.relay(s)
		}
	}
	found := d.review(now)
	d.mu.Unlock()
	d.notifyBlocked(found)
}

// mergeAnswer merges an answer that another entry saw. It is relayed if it clears more than one
// crash, because then these were relayed too. The caller holds d.mu.
func (d *PartDetector) mergeAnswer(part uint64, survived Depth, at time.Time) {
	d.answers.add(part, survived, at)
	r := d.parts[part]
	if r == nil {
		return
	}
	relay := len(r.suspects) > 0 && r.crashedElsewhere(r.suspects[0].endpoint)
	if d.clear(part, r, survived, at) && relay {
		d.assignAnswersSeq(r)
	}
}

// relay assigns sequence numbers to a suspect and to those that it corroborates. The caller
// holds d.mu.
func (d *PartDetector) relay(s *suspect) {
	for _, part := range s.parts {
		r := d.parts[part]
		if !r.crashedElsewhere(s.endpoint) {
			continue
		}
		for _, x := range r.suspects {
			d.assignSeq(x)
		}
	}
}

// assignSeq assigns a sequence number to a suspect unless it has one. The caller holds d.mu.
func (d *PartDetector) assignSeq(s *suspect) {
	if s.seq == 0 {
		d.seq++
		s.seq = d.seq
	}
}

// assignAnswersSeq assigns a sequence number to the last answers of a part unless they have one.
// The caller holds d.mu.
func (d *PartDetector) assignAnswersSeq(r *partRecord) {
	if r.sequencedAnswers == r.answered {
		return
	}
	d.seq++
	r.answersSeq, r.sequencedAnswers = d.seq, r.answered
}
