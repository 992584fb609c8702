package router

import (
	"time"

	"ebonypulley/queue"
	"ebonypulley/share"
)

// mayBeHopeless reports whether the chances of the call are to be weighed now.
func (w *heldCall) mayBeHopeless(now time.Time) bool {
	late := now.After(w.request.StartBy)
	return !now.Before(w.request.GiveUpAt) || !w.judged || late && !w.judgedLate
}

// judge refuses a call that has no chance. It is judged when it arrives and when it becomes
// late. The caller holds h.mu.
func (h *hold) judge(now time.Time, w *heldCall, d serviceDemand) error {
	if !w.mayBeHopeless(now) {
		return nil
	}
	left := w.request.GiveUpAt.Sub(now)
	late := now.After(w.request.StartBy)
	w.judged, w.judgedLate = true, late
	wait, lateWait := h.expectedWaits(now, w.request, d)
	mayBeOnTime := !late && wait <= min(lateMargin*w.request.StartBy.Sub(now), hopelessMargin*left)
	if left > 0 && (mayBeOnTime || lateWait <= hopelessMargin*left) {
		return nil
	}
	delete(h.waiting, w.request)
	h.r.metrics.Add("plain_refused_hopeless", 1)
	return errHopeless.New("no room at %s before the deadline: waited %v, expected %v on time or %v late, left %v, wanted on time %.0f, late %.0f, slots %.0f, share %.2f",
		h.service, now.Sub(w.began), wait, lateWait, left, d.all.OnTime, d.all.Late, d.room.Slots, d.share.OnTime)
}

// expectedWaits returns how long a call waits for the calls before it if it starts on time,
// and if it starts late. Those at other entries count, since shares follow demand.
func (h *hold) expectedWaits(now time.Time, r *queue.Request, d serviceDemand) (onTime, late time.Duration) {
	var ahead share.Calls
	for other := range h.waiting {
		switch {
		case other == r || other.StartBy.After(r.StartBy):
		case now.After(other.StartBy):
			ahead.Late++
		default:
			ahead.OnTime++
		}
	}
	if ahead.OnTime > 0 {
		onTime = time.Duration(max(d.all.OnTime-d.atEndpoints, 0) * d.expected / max(d.atEndpoints, d.room.Limit))
	}
	if ahead.Late > 0 {
		slots := max(h.lateFraction, minLateFraction) * d.room.Slots * d.own.Late / d.all.Late
		late = time.Duration(ahead.Late * d.expected / slots)
	}
	return onTime, onTime + late
}
