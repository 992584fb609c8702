package poison

import "time"

// answerSlots is the number of slots of recentAnswers.
const answerSlots = 2048

// recentAnswers holds the times of the recent answers of parts in bounded memory: parts are hashed
// to slots, and each slot holds the part that was answered last.
type recentAnswers struct {
	slots [answerSlots]struct {
		part  uint64
		times answerTimes
	}
}

func (s *recentAnswers) add(part uint64, survived Depth, at time.Time) {
	slot := &s.slots[part%answerSlots]
	if slot.part != part {
		if at.Before(slot.times.last()) {
			return // an old answer that another entry saw
		}
		slot.part, slot.times = part, answerTimes{}
	}
	slot.times.add(survived, at)
}

// of returns the times of the last answers of a part; zero if unknown.
func (s *recentAnswers) of(part uint64) answerTimes {
	if slot := &s.slots[part%answerSlots]; slot.part == part {
		return slot.times
	}
	return answerTimes{}
}
