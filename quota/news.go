package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReportedUses bounds the workspaces whose use an entry reports at a time; those come
	// first that used most of their limit.
	maxReportedUses = 64
	// peerRetention is how long the use reported by another entry is remembered.
	peerRetention = 10 * time.Minute
	// nearLimitFraction is the fraction of its bucket below which a workspace is near its
	// limit.
	nearLimitFraction = 0.5
)

// ID identifies a workspace or an endpoint in the reports of entries.
type ID uint64

// NewID returns the ID of a workspace's name.
func NewID(workspace string) ID { return ID(xxhash.Sum64String(workspace)) }

// Use is an entry's own use of a workspace. Within an epoch counters only grow, so that
// reports may be lost, repeated or reordered.
type Use struct {
	Workspace ID
	// Epoch counts how often the entry began to report the workspace; each epoch starts the
	// counters at zero.
	Epoch uint32
	// Taken counts admitted tokens, Returned those of them that were not used.
	Taken, Returned uint64
	// Level is the level of the entry's replica of the bucket, if LevelKnown; negative for a debt.
	Level      float64
	LevelKnown bool
}

// netSince returns the net use since an older report.
func (u Use) netSince(old Use) float64 {
	return float64(u.Taken-old.Taken) - float64(u.Returned-old.Returned)
}

// merge returns the newer of two reports, counter by counter.
func (u Use) merge(old Use) Use {
	switch {
	case u.Epoch < old.Epoch:
		return old
	case u.Epoch > old.Epoch:
		return u
	}
	u.Taken, u.Returned = max(u.Taken, old.Taken), max(u.Returned, old.Returned)
	return u
}

// Incarnation identifies one run of a process.
type Incarnation [16]byte

// peer is what another entry reported.
type peer struct {
	incarnation Incarnation
	use         map[ID]*peerUse
	lastReport  time.Time
	// silent says that the entry has stopped reporting.
	silent bool
}

// peerUse is another entry's use of one workspace.
type peerUse struct {
	Use
	// expectedRate is the rate at which the entry is expected to use the workspace since at,
	// in tokens a second; expected are the tokens expected since its last report and before
	// at.
	expectedRate float64
	at           time.Time
	expected     float64
}

// update merges a report, and returns the use beyond what was expected. Between two reports an entry
// uses no more than most: by a counter that is wrong, more would be expected from then on.
func (u *peerUse) update(now time.Time, latest Use, most float64) float64 {
	before := u.Use
	u.Use = latest.merge(before)
	if u.Epoch != before.Epoch {
		before = Use{}
	}
	used := min(max(u.netSince(before), -most), most)
	since := now.Sub(u.at).Seconds()
	unexpected := used - u.expected - u.expectedRate*expectedSeconds(now, u.at)
	if since > 0 && !u.at.IsZero() {
		weight := 1 - math.Exp(-since/peerRateTime.Seconds())
		u.expectedRate += weight * (max(used, 0)/since - u.expectedRate)
	}
	u.at, u.expected = now, 0
	return unexpected
}

// stopExpecting sets the expected rate to zero.
func (u *peerUse) stopExpecting(now time.Time) {
	u.expected += u.expectedRate * expectedSeconds(now, u.at)
	u.at, u.expectedRate = now, 0
}

// NearLimit reports whether anything that this entry reports is near its limit, or a limit
// has just changed, so that others need to learn of it soon.
func (l *Ledger) NearLimit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limitChanged(now) {
		return true
	}
	l.countReachable(now)
	for _, a := range l.accounts {
		if now.Before(a.reportUntil) && a.bucket.TokensAt(now) < nearLimitFraction*float64(a.bucket.Burst()) {
			return true
		}
	}
	return false
}

// OwnUse returns this entry's own use that is to be reported to others. It begins a round of
// reports, and has to be called in each.
func (l *Ledger) OwnUse(now time.Time) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses.beginRound(now)
	type ranked struct {
		Use
		recent float64
	}
	var list []ranked
	for id, a := range l.accounts {
		if now.Before(a.reportUntil) {
			use := Use{Workspace: id, Epoch: a.epoch, Taken: a.taken, Returned: a.returned}
			use.Level, use.LevelKnown = a.reportedLevel(now)
			list = append(list, ranked{use, a.recent.value(now) / a.full.Rate})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(a.Workspace, b.Workspace))
	})
	uses := make([]Use, 0, min(len(list), maxReportedUses))
	for _, r := range list[:min(len(list), maxReportedUses)] {
		uses = append(uses, r.Use)
	}
	return uses
}

// startReporting starts to report an account that uses a large fraction of its limit, and
// continues while it does. The caller holds l.mu.
func (l *Ledger) startReporting(now time.Time, a *account) {
	equalShare := a.full.Rate / float64(max(l.fleet.assumed(), 1))
	if a.recent.perSecond(now) < reportFraction*equalShare {
		return
	}
	if now.After(a.reportUntil) {
		a.epoch++
		a.taken, a.returned = uint64(max(a.recent.value(now), 0)), 0
	}
	a.reportUntil = now.Add(reportTime)
}

// MergeUse merges the use reported by another process.
func (l *Ledger) MergeUse(now time.Time, from string, incarnation Incarnation, uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	firstContact := p == nil
	if firstContact || p.incarnation != incarnation {
		if !firstContact {
			l.markSilent(now, p)
		}
		p = &peer{incarnation: incarnation, use: make(map[ID]*peerUse)}
		l.peers[from] = p
	}
	// What it used while silent came out of the share left to it.
	silent := p.silent
	p.lastReport, p.silent = now, false
	for _, use := range uses {
		u := p.use[use.Workspace]
		if u == nil {
			u = new(peerUse)
			p.use[use.Workspace] = u
		}
		l.mergeWorkspaceUse(now, from, u, use, !firstContact && !silent)
	}
}

// mergeWorkspaceUse merges another entry's use of a workspace; charge says that what it used
// since its last report is taken from the bucket. The caller holds l.mu.
func (l *Ledger) mergeWorkspaceUse(now time.Time, from string, u *peerUse, use Use, charge bool) {
	oldRate := u.expectedRate
	limit, limited := l.limitOf(use.Workspace)
	unexpected := u.update(now, use, l.maxUse(limit, now.Sub(u.at)))
	if !limited || l.fleet.unknown() {
		return
	}
	a := l.account(now, use.Workspace, limit)
	a.adjustExpectedRate(now, u.expectedRate-oldRate)
	if charge {
		a.charge(now, unexpected, l.toleranceOf(limit).Window)
	}
	l.adoptLevel(now, a, from, use)
	a.updateCutoff(now)
}

// maxUse returns the most that an entry can use of a limit since a report; a part of the tolerance
// in each window.
func (l *Ledger) maxUse(limit Limit, since time.Duration) float64 {
	tolerance := l.toleranceOf(limit).withDefaults()
	return (tolerance.allowed(limit) + tolerance.excess(limit)) * max(since.Seconds()/tolerance.Window.Seconds(), 1)
}

// markSilent expects no more use by an entry that has stopped reporting. The caller holds
// l.mu.
func (l *Ledger) markSilent(now time.Time, p *peer) {
	if p.silent {
		return
	}
	p.silent = true
	for id, u := range p.use {
		oldRate := u.expectedRate
		u.stopExpecting(now)
		if a := l.accounts[id]; a != nil {
			a.adjustExpectedRate(now, -oldRate)
		}
	}
}

// adjustExpectedRate changes the rate at which others are expected to use the workspace.
func (a *account) adjustExpectedRate(now time.Time, by float64) {
	a.chargeExpected(now)
	a.expectedRate = max(a.expectedRate+by, 0)
}

// charge takes what others used from the bucket, up to a debt of what the limit allows in a
// window.
func (a *account) charge(now time.Time, tokens float64, window time.Duration) {
	room := a.bucket.TokensAt(now) + a.full.Rate*window.Seconds()
	a.spend(now, min(tokens, max(room, 0)))
}
