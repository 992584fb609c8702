package release

import "time"

// LateAfter is from when on others are late: shorter than viewLag, within which none of them needs to
// know a change, by more than it takes to notice.
const LateAfter = 2 * time.Second

// late is what entries knew that don't hear of changes. They may begin streams by it, and can't tell
// others that they do.
type late struct {
	// earlier and lately are up to when the one that knew least knew all changes, in the window of
	// viewLag before and in this one, which began at turned; zero if none was late. What an entry
	// tells once it is heard again may come after its answer.
	earlier, lately, turned time.Time
}

// OthersKnew is to be called often with up to when all others that may begin streams knew all
// changes, zero if there are none.
func (t *Tracker) OthersKnew(now, upTo time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.late
	if now.Sub(l.turned) > viewLag {
		l.earlier, l.lately, l.turned = l.lately, time.Time{}, now
	}
	if !upTo.IsZero() && now.Sub(upTo) > LateAfter {
		l.lately = oldest(l.lately, upTo)
	}
}

// LateKnew returns up to when the one of the others that knew least knew all changes, zero if none was
// late recently.
func (t *Tracker) LateKnew() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.late.knew()
}

func (l *late) knew() time.Time { return oldest(l.earlier, l.lately) }

// oldest returns the earlier of two times, or the one that isn't zero.
func oldest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// reach returns from when on changes concern a stream that began after a time, zero if it is unknown
// when: an entry that is late began it by what it knew. It is not before the endpoints were known here.
func (t *Tracker) reach(after time.Time, s *service) time.Time {
	knew := t.late.knew()
	if s == nil || after.IsZero() || knew.IsZero() {
		return after
	}
	if known := s.since.Add(viewLag); knew.Before(known) {
		knew = known
	}
	return oldest(after, knew)
}
