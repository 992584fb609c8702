package limit

import "time"

// Link schedules the transfers over one network link on the side of the receiver:
// one after the other at the link's rate, in order of arrival.
type Link struct {
	bytesPerSecond float64
	busyUntil      time.Time
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Plan is the schedule of one transfer.
type Plan struct {
	// Wait is the time until the transfer may start.
	Wait time.Duration
	// Duration is the expected duration of the transfer.
	Duration time.Duration
}

// Reserve schedules a transfer that must start before expiry. It returns false
// and schedules nothing if the link is busy until then.
func (l *Link) Reserve(now time.Time, bytes int64, expiry time.Time) (Plan, bool) {
	start := now
	if l.busyUntil.After(start) {
		start = l.busyUntil
	}
	if !start.Before(expiry) {
		return Plan{}, false
	}
	take := time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
	l.busyUntil = start.Add(take)
	return Plan{Wait: start.Sub(now), Duration: take}, true
}
