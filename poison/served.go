package poison

import "time"

// successSlots is the number of slots of recentSuccesses, which take 64 kB.
const successSlots = 2048

// recentSuccesses holds the times of recent complete answers in bounded memory: contents
// are hashed to slots, and each slot holds the content that was answered last.
type recentSuccesses struct {
	slots [successSlots]struct {
		content uint64
		at      time.Time
	}
}

func (s *recentSuccesses) add(content uint64, at time.Time) {
	slot := &s.slots[content%successSlots]
	slot.content, slot.at = content, at
}

// last returns the time of the last complete answer to a content; zero if unknown.
func (s *recentSuccesses) last(content uint64) time.Time {
	if slot := &s.slots[content%successSlots]; slot.content == content {
		return slot.at
	}
	return time.Time{}
}
