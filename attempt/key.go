package attempt

import (
	"time"

	"github.com/google/uuid"

	"ebonypulley/wire"
)

// Key is an Idempotency-Key, scoped to a workspace.
type Key struct {
	Workspace string
	Value     string
	// Fingerprint is a hash of the call. Calls with the same key must have the
	// same fingerprint.
	Fingerprint uint64
}

// KeyLimits bounds the table of idempotency keys.
type KeyLimits struct {
	// Window is how long a key is remembered.
	Window time.Duration
	// MaxKeys is the maximum number of keys remembered.
	MaxKeys int
}

const (
	// maxClockSkew is the assumed maximum difference between the clocks of
	// callers and agents.
	maxClockSkew = 2 * time.Second
	// ownerChangeMargin is how long after a change of the key owners other
	// owners may still accept keys: a configuration is applied everywhere
	// within 5 s, and clocks may differ.
	ownerChangeMargin = 5*time.Second + maxClockSkew
)

type scopedKey struct {
	workspace string
	value     string
}

type keyRecord struct {
	id          wire.ID
	fingerprint uint64
	phase       phase
	answer      *Answer
	offeredAt   time.Time
}

// keyTable remembers idempotency keys for KeyLimits.Window.
//
// It prevents a call from running twice when its caller repeats it through
// another entry or after the key's owner has restarted: each key has one owner,
// and an owner whose table does not reach back to the creation of the key
// refuses the call instead of running it.
type keyTable struct {
	// completeSince is when the table became complete: a key that was created
	// later and has no record is new.
	completeSince time.Time
	limits        KeyLimits
	keys          map[scopedKey]*keyRecord
	// answered holds the records that still have their answer, oldest first;
	// answerBytes is the total size of those answers.
	answered    []*keyRecord
	answerBytes int
}

func newKeyTable(now time.Time, limits KeyLimits) *keyTable {
	return &keyTable{completeSince: now.Add(maxClockSkew), limits: limits, keys: make(map[scopedKey]*keyRecord)}
}

func (t *keyTable) offer(now time.Time, id wire.ID, k Key) Decision {
	scoped := scopedKey{k.Workspace, k.Value}
	if rec, ok := t.keys[scoped]; ok {
		return rec.decision(k)
	}
	if !t.isNew(now, k.Value) {
		return Decision{Reason: wire.ReasonKeyUnknown}
	}
	if len(t.keys) >= t.limits.MaxKeys {
		return Decision{Reason: wire.ReasonKeyMemoryFull}
	}
	t.keys[scoped] = &keyRecord{id: id, fingerprint: k.Fingerprint, phase: offered, offeredAt: now}
	return Decision{Admitted: true}
}

func (r *keyRecord) decision(k Key) Decision {
	switch {
	case r.fingerprint != k.Fingerprint:
		return Decision{Reason: wire.ReasonKeyReused}
	case r.phase == done && r.answer != nil:
		return Decision{Replay: r.answer}
	case r.phase == done:
		return Decision{Reason: wire.ReasonKeyDone}
	case r.phase == unknown:
		return Decision{Reason: wire.ReasonKeyUnknown}
	default:
		return Decision{Reason: wire.ReasonKeyRunning}
	}
}

// isNew reports whether a key without a record is certainly new: either the
// table covers the whole window, or the key is a UUIDv7 whose time lies after
// completeSince and not more than maxClockSkew in the future.
func (t *keyTable) isNew(now time.Time, value string) bool {
	if now.Sub(t.completeSince) >= t.limits.Window {
		return true
	}
	u, err := uuid.Parse(value)
	if err != nil || u.Version() != 7 {
		return false
	}
	sec, nsec := u.Time().UnixTime()
	created := time.Unix(sec, nsec)
	return created.After(t.completeSince) && created.Before(now.Add(maxClockSkew))
}

// ownedRecord returns the record of a key if attempt id registered it, else nil.
func (t *keyTable) ownedRecord(id wire.ID, k *Key) *keyRecord {
	if k == nil {
		return nil
	}
	rec := t.keys[scopedKey{k.Workspace, k.Value}]
	if rec == nil || rec.id != id {
		return nil
	}
	return rec
}

func (t *keyTable) start(id wire.ID, k *Key) {
	if rec := t.ownedRecord(id, k); rec != nil {
		rec.phase = started
	}
}

func (t *keyTable) finish(id wire.ID, k *Key, a *Answer) {
	if rec := t.ownedRecord(id, k); rec != nil {
		rec.phase = done
		rec.answer = a
		t.retainAnswer(rec)
	}
}

// maxAnswerBytes bounds the answers kept for replay. Beyond it the oldest
// answers are dropped; the records that their calls ran stay.
const maxAnswerBytes = 4 << 20

func (t *keyTable) retainAnswer(rec *keyRecord) {
	t.answered = append(t.answered, rec)
	t.answerBytes += len(rec.answer.Body)
	for t.answerBytes > maxAnswerBytes {
		t.dropOldest()
	}
}

func (t *keyTable) dropOldest() {
	t.answerBytes -= len(t.answered[0].answer.Body)
	t.answered[0].answer = nil
	t.answered = t.answered[1:]
}

func (t *keyTable) fail(id wire.ID, k *Key) {
	if rec := t.ownedRecord(id, k); rec != nil {
		rec.phase = unknown
	}
}

// release deletes the record of a key whose attempt provably did not run.
func (t *keyTable) release(id wire.ID, k *Key) {
	if rec := t.ownedRecord(id, k); rec != nil {
		delete(t.keys, scopedKey{k.Workspace, k.Value})
	}
}

func (t *keyTable) tick(now time.Time) {
	for len(t.answered) > 0 && now.Sub(t.answered[0].offeredAt) > t.limits.Window {
		t.dropOldest()
	}
	for scoped, rec := range t.keys {
		if rec.phase != started && rec.phase != offered && now.Sub(rec.offeredAt) > t.limits.Window {
			delete(t.keys, scoped)
		}
	}
}
