package returns

import (
	"time"

	"ebonypulley/quota"
)

const (
	// MinDelay is the minimum delay of a booked return. A caller that comes back sooner is not
	// taken for one that was told to.
	MinDelay = 2 * SlotTime
	// Fraction is the fraction of what becomes available that may be promised to returning
	// callers; the rest is for new ones, which can still be answered in time.
	Fraction = 0.5
)

// Limiter decides on the requests of workspaces with a limit, and on when refused callers come
// back.
type Limiter struct {
	Ledger   *quota.Ledger
	Calendar *Calendar
}

// Attempt is a request of a workspace.
type Attempt struct {
	Workspace quota.ID
	Tokens    int
	Class     quota.Class
	// Waited is how long ago the caller made its first attempt.
	Waited time.Duration
	// Latest is the longest delay after which the caller can usefully come back, FirstLatest
	// what it was at its first attempt.
	Latest, FirstLatest time.Duration
}

// returning reports whether the caller was refused before and has waited.
func (a Attempt) returning() bool { return a.Waited >= MinDelay }

// leavesRoom reports whether a new caller leaves the room to returning ones that was promised to
// them: not the most urgent.
func (a Attempt) leavesRoom() bool { return a.Class.Urgency > 0 || a.Class.Classes <= 1 }

// booked reports whether the caller returns as one with a booking does: those without one are
// told to wait longer.
func (a Attempt) booked() bool {
	return a.returning() && a.Waited.Seconds() <= bookedUntil*a.FirstLatest.Seconds()
}

// Decision is the result of Take.
type Decision struct {
	quota.Decision
	// OnTime says that the caller came back while room was kept for it.
	OnTime bool
	// Return is what was booked for a refused caller, if Booked, and Delay how long it is to
	// wait.
	Return Request
	Booked bool
	Delay  time.Duration
}

// Take decides whether to admit a request. For those that return on time the room is kept that
// was promised to them; new ones, unless they are of the most urgent class, find it missing.
func (l Limiter) Take(now time.Time, a Attempt) Decision {
	var d Decision
	if due := l.Calendar.Due(now, a.Workspace); due > 0 {
		d.OnTime = a.booked()
		a.Class.Returning = d.OnTime
		if !d.OnTime && a.leavesRoom() {
			a.Class.Reserved = due
		}
	}
	d.Decision = l.Ledger.TakeClass(now, a.Workspace, a.Tokens, a.Class)
	if d.OnTime {
		l.Calendar.Returned(now, a.Workspace, float64(a.Tokens))
	}
	if !d.OK {
		d.Return = l.request(a, d.Rate)
		d.Delay, d.Booked = l.Calendar.Book(now, a.Workspace, d.Return)
	}
	return d
}

// request returns what to book for a refused caller. One that returned and is refused again has
// hardly a retry left: nothing is booked for it.
func (l Limiter) request(a Attempt, rate float64) Request {
	if a.returning() {
		rate = 0
	}
	return Request{Cost: float64(a.Tokens), Rate: rate * Fraction, Rank: a.Class.Urgency, Earliest: MinDelay, Latest: a.Latest}
}
