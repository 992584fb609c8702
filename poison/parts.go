package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxParts is the number of parts of a request that are considered, the first ones.
	maxParts = 64
	// maxSuspectParts bounds the parts of a suspect. Those without answers are kept first.
	maxSuspectParts = 32
	// maxSuspects bounds the suspects, which take some 600 bytes each, and maxBlockedSuspects
	// those of blocked parts once there are maxSuspects, so that new parts can be blocked.
	maxSuspects        = 512
	maxBlockedSuspects = maxSuspects * 3 / 4
	// evictedSuspects is the number of suspects that are evicted beyond what is necessary.
	evictedSuspects = 16
	// maxSuspectsOfPart bounds the suspects of a blocked part. The newest are kept.
	maxSuspectsOfPart = 32
	// maxPartRecords bounds the records of parts. It leaves room for those without suspects,
	// which are kept for clearTTL to tell other entries of their answers.
	maxPartRecords = maxSuspects*maxSuspectParts + 1024
	clearTTL       = time.Minute
	// expireInterval is the pause between two searches for evidence that no longer counts.
	expireInterval = time.Second
)

// PartDetector finds the parts of prompts that crash each endpoint which begins to answer a
// request with them, whatever else the requests hold. Parts are identified by hashes, in the
// order of the prompt and without its last part, which belongs to one request. It is safe for
// concurrent use.
type PartDetector struct {
	// OnBlocked, if set, is called when requests with all of these parts become blocked, with
	// the number of crashes.
	OnBlocked func(parts []uint64, crashes int)

	mu       sync.Mutex
	suspects map[suspectKey]*suspect
	parts    map[uint64]*partRecord
	// frequent holds the parts of minFrequent or more suspects.
	frequent map[uint64]bool
	// answers holds the times of recent answers of all parts.
	answers  recentAnswers
	attempts recentAttempts
	// short holds whole answers of endpoints that may still crash under them, the oldest first.
	short map[string][]shortAnswer
	// verdicts holds the blocked classes, by the part that was convicted.
	verdicts map[uint64]*partVerdict
	// changed is set if the evidence has changed since the verdicts were worked out. They are
	// due again at reviewAt if it is set, even without new evidence.
	changed  bool
	reviewAt time.Time
	// seq is the sequence number of the newest update for other entries.
	seq uint64
	// expired is when the last evidence was removed because of its age.
	expired time.Time
	// knownSince is when the oldest evidence that this entry may have dates from, zero if there is no
	// limit. enoughCrashes is the number of crashes for a verdict since the last review.
	knownSince    time.Time
	enoughCrashes int
}

// suspect is a request whose answer had not gone beyond its beginning at an endpoint that crashed.
type suspect struct {
	suspectKey
	at time.Time
	// depth is how far its answer had come.
	depth Depth
	// own is set if this entry saw the crash itself.
	own bool
	// parts are the parts of which no answer has survived its depth since.
	parts []uint64
	// seq is the sequence number of the update for other entries; zero if there is none.
	seq uint64
}

type suspectKey struct {
	endpoint string
	content  uint64
}

// partRecord is what is known of a part that was at a crashed endpoint.
type partRecord struct {
	// suspects are those that have the part uncleared.
	suspects []*suspect
	// conviction is the last decision, and convictedClass the class that it was about. A verdict
	// that has lapsed is renewed by one crash more.
	conviction     conviction
	convictedClass []uint64
	// answered holds the times of the last answers. sequencedAnswers are those that other entries
	// are notified of, and answersSeq is the sequence number of that update.
	answered, sequencedAnswers answerTimes
	answersSeq                 uint64
	// tried is the time of the last trial.
	tried time.Time
}

// PartCrash is a crash of an endpoint at the beginning of the answer to a request there.
type PartCrash struct {
	// Endpoint is the ID of the crashed endpoint.
	Endpoint string
	// Content is the hash of the request's whole content.
	Content uint64
	// Parts are the hashes of the request's parts.
	Parts []uint64
	// Age is the time since the crash.
	Age time.Duration
	// Depth is how far the answer had come.
	Depth Depth
}

// PartAnswer says that an endpoint has answered a request with a part up to a depth and still runs.
type PartAnswer struct {
	Part uint64
	// Age is the time since then.
	Age time.Duration
	// Survived is the depth that the answer has survived.
	Survived Depth
}

// PartUpdates are what one entry sends others about parts.
type PartUpdates struct {
	Crashes []PartCrash
	Answers []PartAnswer
}

// NewPartDetector returns a PartDetector that knows nothing.
func NewPartDetector() *PartDetector {
	return &PartDetector{
		suspects: make(map[suspectKey]*suspect), parts: make(map[uint64]*partRecord), frequent: make(map[uint64]bool), verdicts: make(map[uint64]*partVerdict),
		attempts: recentAttempts{crashed: make(map[string]time.Time)}, enoughCrashes: minPartCrashes,
		short: make(map[string][]shortAnswer),
	}
}

// Blocked reports whether a request with these parts is blocked.
func (d *PartDetector) Blocked(now time.Time, parts []uint64) bool {
	d.mu.Lock()
	found := d.review(now)
	blocked := d.blocks(now, considered(parts))
	d.mu.Unlock()
	d.notifyBlocked(found)
	return blocked
}

// RecordCrash records a crash that this entry has seen itself.
func (d *PartDetector) RecordCrash(now time.Time, c PartCrash) {
	d.mu.Lock()
	d.attempts.countCrash(now, c.Endpoint)
	d.suspectShort(now, c.Endpoint, now.Add(-maxCrashAfter))
	d.addOwn(now, c)
	found := d.review(now)
	d.mu.Unlock()
	d.notifyBlocked(found)
}

// addOwn adds a suspect that this entry has seen itself. The caller holds d.mu.
func (d *PartDetector) addOwn(now time.Time, c PartCrash) {
	if s := d.add(now, c); s != nil {
		s.own = true
		d.assignSeq(s)
	}
}

// RecordOutlived counts an attempt whose answer has outlived its beginning.
func (d *PartDetector) RecordOutlived(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts.countOutlived(now)
}

// RecordSurvived records that the answer to a request with these parts has survived a depth. A bad
// part never gets that far, so the crashes before it that came no deeper had other causes.
func (d *PartDetector) RecordSurvived(now time.Time, parts []uint64, survived Depth) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordSurvived(now, parts, survived)
}

// recordSurvived is RecordSurvived. The caller holds d.mu.
func (d *PartDetector) recordSurvived(now time.Time, parts []uint64, survived Depth) {
	for _, part := range considered(parts) {
		d.answers.add(part, survived, now)
		if r := d.parts[part]; r != nil && d.clear(part, r, survived, now) {
			d.assignAnswersSeq(r)
		}
	}
}

// considered returns the parts of a request that are considered.
func considered(parts []uint64) []uint64 { return parts[:min(len(parts), maxParts)] }

// add adds a suspect unless it is known or all its parts are cleared, and returns it if it was
// added, else nil. The caller holds d.mu.
func (d *PartDetector) add(now time.Time, c PartCrash) *suspect {
	s := &suspect{suspectKey: suspectKey{c.Endpoint, c.Content}, at: now.Add(-c.Age), depth: validDepth(c.Depth)}
	d.attempts.addEndpoint(now, c.Endpoint, s.at)
	for _, part := range considered(c.Parts) {
		if !s.at.After(d.answersOf(part)[s.depth]) {
			d.assignAnswersSeq(d.record(now, part)) // the sender of the update does not know of the answer
		} else if !slices.Contains(s.parts, part) {
			s.parts = append(s.parts, part)
		}
	}
	if d.suspects[s.suspectKey] != nil || len(s.parts) == 0 {
		return nil
	}
	s.parts = d.leastAnswered(s.parts)
	slices.Sort(s.parts)
	d.suspects[s.suspectKey] = s
	for _, part := range s.parts {
		r := d.record(now, part)
		r.suspects = append(r.suspects, s)
		d.recount(part, r)
	}
	d.trim(s)
	d.evict(now, s)
	if d.suspects[s.suspectKey] != s {
		return nil
	}
	return s
}

// trim keeps the suspects of blocked parts within maxSuspectsOfPart after one was added, which
// may be the oldest itself. The caller holds d.mu.
func (d *PartDetector) trim(added *suspect) {
	for _, part := range added.parts {
		if d.verdicts[part] == nil || len(d.parts[part].suspects) <= maxSuspectsOfPart {
			continue
		}
		first := oldest(d.parts[part].suspects)
		d.remove(first)
		if first == added {
			return
		}
	}
}

// answersOf returns the times of the last known answers of a part. The caller holds d.mu.
func (d *PartDetector) answersOf(part uint64) answerTimes {
	if r := d.parts[part]; r != nil {
		return r.answered
	}
	return d.answers.of(part)
}

// lastAnswer returns the time of the last known answer of a part. The caller holds d.mu.
func (d *PartDetector) lastAnswer(part uint64) time.Time {
	answers := d.answersOf(part)
	return answers.last()
}

// leastAnswered returns at most maxSuspectParts of some parts: those without an answer, then
// those whose last answer is oldest. The caller holds d.mu.
func (d *PartDetector) leastAnswered(parts []uint64) []uint64 {
	if len(parts) <= maxSuspectParts {
		return parts
	}
	slices.SortStableFunc(parts, func(a, b uint64) int { return d.lastAnswer(a).Compare(d.lastAnswer(b)) })
	return slices.Clone(parts[:maxSuspectParts])
}

// recount takes note of a changed number of suspects of a part. The caller holds d.mu.
func (d *PartDetector) recount(part uint64, r *partRecord) {
	if len(r.suspects) >= minFrequent {
		d.frequent[part], d.changed = true, true
	} else if d.frequent[part] {
		delete(d.frequent, part)
		d.changed = true
	}
}

// record returns the record of a part, a new one if there is none. The caller holds d.mu.
func (d *PartDetector) record(now time.Time, part uint64) *partRecord {
	r := d.parts[part]
	if r == nil {
		if len(d.parts) >= maxPartRecords {
			d.removeIdle(now, 0)
		}
		r = &partRecord{answered: d.answers.of(part)}
		d.parts[part] = r
		if !r.answered.last().IsZero() {
			d.assignAnswersSeq(r) // others may never have seen an answer
		}
	}
	return r
}

// clear records an answer and removes the part from the suspects of all crashes up to it that came
// no deeper than it survived. It reports whether there were any. The caller holds d.mu.
func (d *PartDetector) clear(part uint64, r *partRecord, survived Depth, at time.Time) bool {
	if !r.answered.add(survived, at) {
		return false
	}
	before, deeper := len(r.suspects), false
	r.suspects = slices.DeleteFunc(r.suspects, func(s *suspect) bool {
		if s.at.After(at) {
			return false
		}
		if s.depth > survived {
			deeper = true
			return false
		}
		s.parts = slices.DeleteFunc(s.parts, func(p uint64) bool { return p == part })
		if len(s.parts) == 0 {
			delete(d.suspects, s.suspectKey)
		}
		return true
	})
	if !deeper {
		r.conviction = acquitted
	}
	if len(r.suspects) == before {
		return false
	}
	d.recount(part, r)
	return true
}

// remove removes a suspect. The caller holds d.mu.
func (d *PartDetector) remove(s *suspect) {
	delete(d.suspects, s.suspectKey)
	for _, part := range s.parts {
		r := d.parts[part]
		r.suspects = slices.DeleteFunc(r.suspects, func(x *suspect) bool { return x == s })
		d.recount(part, r)
		if len(r.suspects) == 0 && r.answered.last().IsZero() {
			delete(d.parts, part)
		}
	}
}

// expire removes what no longer counts, from time to time. The caller holds d.mu.
func (d *PartDetector) expire(now time.Time) {
	if now.Sub(d.expired) < expireInterval {
		return
	}
	d.expired = now
	for _, s := range d.suspects {
		if now.Sub(s.at) > evidenceTTL {
			d.remove(s)
		}
	}
	d.removeIdle(now, clearTTL)
}

// removeIdle removes the records without suspects whose last answer is at least as old as
// given. The caller holds d.mu.
func (d *PartDetector) removeIdle(now time.Time, age time.Duration) {
	for part, r := range d.parts {
		if len(r.suspects) == 0 && now.Sub(r.answered.last()) >= age {
			delete(d.parts, part)
		}
	}
}

// evict keeps the number of suspects within maxSuspects, without removing the one that is
// being added. The least useful go first, several at a time. The caller holds d.mu.
func (d *PartDetector) evict(now time.Time, added *suspect) {
	if len(d.suspects) <= maxSuspects {
		return
	}
	d.expire(now)
	type ranked struct {
		*suspect
		use int
	}
	list := make([]ranked, 0, len(d.suspects))
	blocked := 0
	for _, s := range d.suspects {
		use := d.use(s)
		if use == useBlocked {
			blocked++
		}
		if s != added {
			list = append(list, ranked{s, use})
		}
	}
	rank := func(r ranked) int {
		if r.use == useBlocked && blocked > maxBlockedSuspects {
			return useNone - 1
		}
		return r.use
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), a.at.Compare(b.at)) })
	for _, r := range list[:max(0, len(list)+1-maxSuspects+evictedSuspects)] {
		d.remove(r.suspect)
	}
}

// What a suspect is of use for.
const (
	useNone = iota
	useCorroborated
	useBlocked
)

// use returns what a suspect is of use for. The caller holds d.mu.
func (d *PartDetector) use(s *suspect) int {
	for _, part := range s.parts {
		if d.verdicts[part] != nil {
			return useBlocked
		}
	}
	if d.corroborated(s) {
		return useCorroborated
	}
	return useNone
}

// corroborated reports whether another endpoint crashed under one of the suspect's parts. The
// caller holds d.mu.
func (d *PartDetector) corroborated(s *suspect) bool {
	return slices.ContainsFunc(s.parts, func(part uint64) bool { return d.parts[part].crashedElsewhere(s.endpoint) })
}

// crashedElsewhere reports whether an endpoint other than the given one crashed.
func (r *partRecord) crashedElsewhere(endpoint string) bool {
	return slices.ContainsFunc(r.suspects, func(s *suspect) bool { return s.endpoint != endpoint })
}

func oldest(list []*suspect) *suspect {
	return slices.MinFunc(list, func(a, b *suspect) int { return a.at.Compare(b.at) })
}
