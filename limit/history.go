package limit

import "time"

const (
	// windowSlots is the number of slots of a window. Bounds leave out or add the slots at
	// both ends.
	windowSlots = 1000
	// historySlots is the number of slots that a history holds: two windows at least, and a
	// power of two, for which the remainder is fast to compute.
	historySlots = 2048
)

// history counts events by slots of time over the last two windows. Steps of the time of day
// don't change it, because slots are counted from a time with a monotonic clock reading.
type history struct {
	// start is the begin of slot zero. Times before it have no slot.
	start    time.Time
	slotTime time.Duration
	counts   [historySlots]int32
	newest   int64
}

// newHistory returns an empty history that can hold events from two windows before now.
func newHistory(now time.Time, window time.Duration) *history {
	return &history{start: now.Add(-2 * window), slotTime: window / windowSlots}
}

// slot returns the number of the slot that contains a time.
func (h *history) slot(at time.Time) int64 { return int64(at.Sub(h.start) / h.slotTime) }

// advance makes the slot of now the newest one, and returns its number.
func (h *history) advance(now time.Time) int64 {
	slot := h.slot(now)
	if slot-h.newest >= historySlots {
		h.counts = [historySlots]int32{}
		h.newest = slot
	}
	for h.newest < slot {
		h.newest++
		h.counts[uint64(h.newest)%historySlots] = 0
	}
	return h.newest
}

// add counts an event that happened at a time, unless that is too long ago.
func (h *history) add(at time.Time) {
	h.advance(at)
	if slot := h.slot(at); h.holds(slot) {
		h.counts[uint64(slot)%historySlots]++
	}
}

func (h *history) holds(slot int64) bool {
	return slot >= 0 && slot <= h.newest && slot > h.newest-historySlots
}

// count returns the number of events in a slot that the history holds.
func (h *history) count(slot int64) int { return int(h.counts[uint64(slot)%historySlots]) }

// sum returns the number of events in the slots from first to last.
func (h *history) sum(first, last int64) (n int) {
	for slot := first; slot <= last; slot++ {
		n += h.count(slot)
	}
	return n
}

// withWindow returns a history of the same events for windows of another length.
func (h *history) withWindow(window time.Duration) *history {
	next := &history{start: h.start, slotTime: window / windowSlots}
	for slot := max(h.newest-historySlots+1, 0); slot <= h.newest; slot++ {
		for range h.count(slot) {
			next.add(h.start.Add(time.Duration(slot) * h.slotTime))
		}
	}
	return next
}
