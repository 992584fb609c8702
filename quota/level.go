package quota

import "time"

const (
	// knownLevelTime is the age from which on an account's level is reported. Those that
	// restarted together would otherwise take their partial buckets for knowledge.
	knownLevelTime = 5 * time.Second
	// newAccountTime is the age up to which an account takes the level that others report.
	newAccountTime = 2 * time.Second
	// levelWitnesses is how many entries must have reported a level, or all if there are fewer.
	levelWitnesses = 2
)

// reportedLevel returns the level to report, and false if this entry does not know that of the
// whole limit.
func (a *account) reportedLevel(now time.Time) (level float64, ok bool) {
	if a.share < 1 || now.Sub(a.created) < knownLevelTime {
		return 0, false
	}
	return a.bucket.TokensAt(now), true
}

// toldLevels are the levels that other entries reported to a new account: how many entries did, and the
// lowest.
type toldLevels struct {
	by     map[string]bool
	lowest float64
}

func (t *toldLevels) add(from string, level float64) {
	if t.by == nil {
		t.by, t.lowest = make(map[string]bool), level
	}
	t.by[from] = true
	t.lowest = min(t.lowest, level)
}

// adoptLevel raises a new account that started with a partial bucket to the lowest level that
// others report, less its own use, which they may not have heard of. A level never lowers it, so that
// what is wrong, late or missing is not worse than the partial bucket; the highest is a full bucket.
// The caller holds l.mu.
func (l *Ledger) adoptLevel(now time.Time, a *account, from string, use Use) {
	if !use.LevelKnown || l.endpointLimits[use.Workspace] != nil || a.share < 1 || a.initial >= a.depth || now.Sub(a.created) >= newAccountTime {
		return
	}
	a.told.add(from, use.Level)
	if len(a.told.by) < min(levelWitnesses, l.reachable-1) {
		return
	}
	own, level := a.bucket.TokensAt(now), min(a.told.lowest, a.depth)-a.recent.value(now)
	if !(level > own) { // nor if it is not a number
		return
	}
	a.initial = a.depth
	a.spend(now, own-level)
}
