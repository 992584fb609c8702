package poison

import "time"

// servedSlots is the number of contents answered lately that are remembered, of those
// with the same slot the last one: 64 kB.
const servedSlots = 2048

// servedLately remembers contents answered lately in bounded memory.
type servedLately struct {
	slots [servedSlots]struct {
		content uint64
		at      time.Time
	}
}

func (s *servedLately) note(content uint64, at time.Time) {
	slot := &s.slots[content%servedSlots]
	slot.content, slot.at = content, at
}

// at returns when a content was answered last, zero if that is not known.
func (s *servedLately) at(content uint64) time.Time {
	if slot := &s.slots[content%servedSlots]; slot.content == content {
		return slot.at
	}
	return time.Time{}
}
