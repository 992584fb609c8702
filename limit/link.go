package limit

import "time"

// Link is the receiver's budget of one link: transfers are started one after
// the other at the link's rate, in order of arrival.
type Link struct {
	bytesPerSecond float64
	busyUntil      time.Time
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Plan is when a transfer may start and how long it should take.
type Plan struct {
	Wait time.Duration
	Take time.Duration
}

// Reserve plans a transfer that must start before expiry. It returns false,
// and plans nothing, when the link is busy for longer.
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
	return Plan{Wait: start.Sub(now), Take: take}, true
}
