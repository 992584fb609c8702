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

// maxTransfer is how long no transfer takes: a size by which it would is wrong.
const maxTransfer = 10 * time.Minute

// Reserve schedules a transfer that must start before expiry. It returns false
// and schedules nothing if the link is busy until then, or for a size that is wrong.
func (l *Link) Reserve(now time.Time, bytes int64, expiry time.Time) (Plan, bool) {
	start := now
	if l.busyUntil.After(start) {
		start = l.busyUntil
	}
	if !start.Before(expiry) {
		return Plan{}, false
	}
	seconds := float64(bytes) / l.bytesPerSecond
	if bytes < 0 || seconds > maxTransfer.Seconds() {
		return Plan{}, false
	}
	take := time.Duration(seconds * float64(time.Second))
	l.busyUntil = start.Add(take)
	return Plan{Wait: start.Sub(now), Duration: take}, true
}
