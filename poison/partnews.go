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
	partCrashBytes = 24
	partBytes      = 9
	partBegunBytes = 16
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
		if size += u.size(); size > maxPartUpdateBytes && upTo > after {
			return updates, upTo
		}
		upTo = u.seq
		if u.crashed != nil {
			updates.Crashes = append(updates.Crashes, u.crashed.update(now))
		} else {
			updates.Begun = append(updates.Begun, PartBegun{Part: u.part, Age: now.Sub(u.begun)})
		}
	}
	return updates, d.seq
}

// pendingUpdate is an update to send: a suspect, or the last answer of a part.
type pendingUpdate struct {
	seq     uint64
	crashed *suspect
	part    uint64
	begun   time.Time
}

func (u pendingUpdate) size() int {
	if u.crashed == nil {
		return partBegunBytes
	}
	return partCrashBytes + len(u.crashed.endpoint) + partBytes*len(u.crashed.parts)
}

func (s *suspect) update(now time.Time) PartCrash {
	return PartCrash{Endpoint: s.endpoint, Content: s.content, Parts: slices.Clone(s.parts), Age: now.Sub(s.at)}
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
		if r.begunSeq > after && (len(r.suspects) > 0 || now.Sub(r.begun) <= clearTTL) {
			list = append(list, pendingUpdate{seq: r.begunSeq, part: part, begun: r.begun})
		}
	}
	slices.SortFunc(list, func(a, b pendingUpdate) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// Merge merges updates from another entry. The answers go first, because they may clear the
// crashes.
func (d *PartDetector) Merge(now time.Time, u PartUpdates) {
	d.mu.Lock()
	for _, b := range u.Begun {
		if b.Age >= 0 && b.Age <= evidenceTTL {
			d.mergeBegun(b.Part, now.Add(-b.Age))
		}
	}
	for _, c := range u.Crashes {
		if c.Age < 0 || c.Age > evidenceTTL {
			continue
		}
		if s := d.add(now, c); s != nil && d.corroborated(s) {
			d.relay(s)
		}
	}
	found := d.review(now)
	d.mu.Unlock()
	d.notifyBlocked(found)
}

// mergeBegun merges an answer that another entry saw. It is relayed if it clears more than one
// crash, because then these were relayed too. The caller holds d.mu.
func (d *PartDetector) mergeBegun(part uint64, at time.Time) {
	if at.After(d.begun.last(part)) {
		d.begun.add(part, at)
	}
	r := d.parts[part]
	if r == nil {
		return
	}
	relay := len(r.suspects) > 0 && r.crashedElsewhere(r.suspects[0].endpoint)
	if d.clear(part, r, at) && relay {
		d.assignBegunSeq(r)
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

// assignBegunSeq assigns a sequence number to the last answer of a part unless it has one. The
// caller holds d.mu.
func (d *PartDetector) assignBegunSeq(r *partRecord) {
	if r.sequencedBegun.Equal(r.begun) {
		return
	}
	d.seq++
	r.begunSeq, r.sequencedBegun = d.seq, r.begun
}
