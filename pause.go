package ebonypulley

import "time"

// PauseDetector detects that this process did not run for a while, because it was
// stopped by a signal, its VM was suspended or it got no processor time.
//
// Code that acts on time-limited state calls Tick first. After a pause the gap since
// the last tick exceeds the allowed one, and the code must validate its state again.
// Otherwise a resumed process would act on leases and views that the other processes
// have dropped meanwhile, and work for callers that another process has answered.
// Wall time is compared as well, because the monotonic clock stops while a VM is
// suspended.
type PauseDetector struct {
	allowed time.Duration
	last    time.Time
}

// NewPauseDetector returns a detector that reports gaps above allowed.
func NewPauseDetector(allowed time.Duration) *PauseDetector {
	return &PauseDetector{allowed: allowed}
}

// Tick records that the process runs at now. It returns the gap since the last tick if
// it exceeds the allowed one, else 0.
func (d *PauseDetector) Tick(now time.Time) time.Duration {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0
	}
	gap := now.Sub(last)
	if wall := now.Round(0).Sub(last.Round(0)); wall > gap {
		gap = wall
	}
	if gap <= d.allowed {
		return 0
	}
	return gap
}
