package poison

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxTrials bounds the requests that are tried with a convicted part.
	maxTrials = 2
	// firstTrialPause is the pause between the last crash and the first trial. It doubles with
	// each further one.
	firstTrialPause = time.Minute
	// earlyTrialDelay is the time after the first crash in which answers and crashes under way
	// become known.
	earlyTrialDelay = 350 * time.Millisecond
	// trialTime is the time in which a trial reaches an endpoint and is answered.
	trialTime = 400 * time.Millisecond
	// minTrialGap is the least pause between two crashes of which the later one ended a trial.
	minTrialGap = firstTrialPause / 2
)

// trialPause returns the pause before the next trial of a part by this entry; zero if it is up to
// another entry or there were enough.
func (r *partRecord) trialPause() time.Duration {
	trials := r.failedTrials()
	if trials >= maxTrials || !r.triedHere() {
		return 0
	}
	return firstTrialPause << trials
}

// triedHere reports whether trials of the part are up to this entry. Of the entries that have
// the same evidence, one at most agrees.
func (r *partRecord) triedHere() bool {
	return slices.MinFunc(r.suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.content, b.content), strings.Compare(a.endpoint, b.endpoint))
	}).own
}

// failedTrials returns the number of trials that crashed endpoints.
func (r *partRecord) failedTrials() int {
	times := make([]time.Time, 0, len(r.suspects))
	for _, s := range r.suspects {
		times = append(times, s.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	for i := 1; i < len(times); i++ {
		if times[i].Sub(times[i-1]) >= minTrialGap {
			n++
		}
	}
	return n
}

// trialDue reports whether a request may be tried in spite of a verdict. The record is nil if its
// crashes have been forgotten since.
func (v *partVerdict) trialDue(now time.Time, r *partRecord) bool {
	return r != nil && v.trialPause > 0 && !now.Before(latest(v.last, r.tried).Add(v.trialPause))
}

// trialRuns reports whether a request was tried that may still be answered.
func (v *partVerdict) trialRuns(now time.Time, r *partRecord) bool {
	return r != nil && r.tried.After(v.last) && now.Before(r.tried.Add(trialTime))
}

// earlyTrialDue reports whether a request may be tried before there is a verdict. While all of
// them wait, no answer could prevent it.
func (r *partRecord) earlyTrialDue(now time.Time) bool {
	first := oldest(r.suspects).at
	if !r.tried.Before(first) || now.Before(first.Add(earlyTrialDelay)) || !now.Before(first.Add(minPartTime)) {
		return false
	}
	return r.crashedEndpoints() >= minPartCrashes && r.triedHere()
}

func (r *partRecord) crashedEndpoints() int {
	endpoints := make(map[string]bool)
	for _, s := range r.suspects {
		endpoints[s.endpoint] = true
	}
	return len(endpoints)
}

// takeTrial reports whether a request with these parts is the one to be tried, and takes note of
// it. The caller holds d.mu.
func (d *PartDetector) takeTrial(now time.Time, parts []uint64) bool {
	due, blocked := d.dueByVerdicts(now, parts)
	if !blocked {
		due = d.dueBeforeVerdicts(now, parts)
	}
	for _, r := range due {
		r.tried = now
	}
	return len(due) > 0
}

// dueByVerdicts returns the parts of a request to be tried in spite of verdicts, none unless a
// trial of each is due, and whether there are verdicts. The caller holds d.mu.
func (d *PartDetector) dueByVerdicts(now time.Time, parts []uint64) (due []*partRecord, blocked bool) {
	for _, part := range parts {
		v, r := d.verdictOn(now, part, parts), d.parts[part]
		if v == nil {
			continue
		}
		if !v.trialDue(now, r) {
			return nil, true
		}
		due = append(due, r)
	}
	return due, len(due) > 0
}

// dueBeforeVerdicts returns the suspected parts of a request, none unless a trial of each is due.
// The caller holds d.mu.
func (d *PartDetector) dueBeforeVerdicts(now time.Time, parts []uint64) (due []*partRecord) {
	for _, part := range parts {
		r := d.parts[part]
		if r == nil || !r.suspectedSince(now.Add(-rateWindow)) {
			continue
		}
		if !r.earlyTrialDue(now) {
			return nil
		}
		due = append(due, r)
	}
	return due
}
