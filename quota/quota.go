// Package quota limits what each workspace uses over all entries together, without shared
// state. Each entry keeps a replica of one token bucket per workspace, and takes from it what
// it admits itself and what the others report that they admitted. The limits that endpoints
// advertise are enforced in the same way. The package does no I/O.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// partitionMargin is the fraction of the tolerated use that is shared out while entries
	// are unreachable; the rest covers what is admitted until that is detected.
	partitionMargin = 0.8
	// earlyRefusalFraction is the fraction of a bucket below which requests are refused at
	// random.
	earlyRefusalFraction = 0.5
	// toleranceDepthFraction is the fraction of the tolerated excess that deepens buckets.
	toleranceDepthFraction = 0.25
	// restartBurstFraction is the fraction of the burst that an entry starts with if it may
	// have run before, because what its former incarnation admitted is unknown.
	restartBurstFraction = 0.25
	// restartRateSlack is the fraction of its rate that a workspace has to leave unused so that
	// it is refused nothing by an entry that started with a partial bucket.
	restartRateSlack = 0.1
	// recentUseTime is the time constant with which an entry's own recent use decays.
	recentUseTime = 2 * time.Second
	// reportFraction is the fraction of its equal share of a workspace's rate from which on
	// an entry reports its use, and reportTime how long it continues. The use that entries do
	// not report adds up to at most that fraction of the rate.
	reportFraction = 1.0 / 8
	reportTime     = 10 * time.Second
	// accountIdleTime is how long an unused account is kept.
	accountIdleTime = time.Minute
	// silenceTimeout is how long after its last report an entry counts as reachable, and
	// countInterval the pause between two counts of the reachable entries.
	silenceTimeout = 800 * time.Millisecond
	countInterval  = 100 * time.Millisecond
	// peerRateTime is the time constant with which the rate is averaged at which another
	// entry uses a workspace.
	peerRateTime = time.Second
	// defaultWindow is the window of a tolerance that sets none.
	defaultWindow = 10 * time.Second
	// sweepInterval is the pause between two searches for idle accounts.
	sweepInterval = 10 * time.Second
)

// Limit bounds what is counted under one ID, the tokens of a workspace or the requests to an
// endpoint: a rate per second plus a burst.
type Limit struct {
	Rate  float64
	Burst float64
	// Tolerance is what is tolerated beyond the limit; nil for that of the ledger.
	Tolerance *Tolerance
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Tolerance is what the deployment tolerates beyond a limit in any span of Window: Overrun as
// a fraction of the limit, plus Slack tokens.
type Tolerance struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

func (t Tolerance) withDefaults() Tolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// withoutBurst returns the tolerance for a limit that gets a burst although none was
// advertised: the burst is part of what is tolerated.
func (t Tolerance) withoutBurst(burst float64) *Tolerance {
	t = t.withDefaults()
	t.Slack -= burst * (1 + t.Overrun)
	return &t
}

// share returns the share of a limit that a fraction of the entries may use on its own, so
// that all partitions of the fleet together stay within the tolerance.
func (t Tolerance) share(l Limit, entries float64) float64 {
	tolerated := t.allowed(l) + t.excess(l)
	admitted := l.Rate*t.Window.Seconds() + t.depth(l)
	return min(entries*max(partitionMargin*tolerated/admitted, 1), 1)
}

// allowed returns what a limit allows in a window.
func (t Tolerance) allowed(l Limit) float64 { return l.Rate*t.Window.Seconds() + l.Burst }

// excess returns what is tolerated beyond that in a window.
func (t Tolerance) excess(l Limit) float64 { return max(t.allowed(l)*t.Overrun+t.Slack, 0) }

// depth returns the capacity of a bucket. In addition to the burst it contains a part of the
// tolerance, so that replicas that lag behind each other refuse little that the limit allows.
// In the long run a workspace still gets only its rate.
func (t Tolerance) depth(l Limit) float64 {
	return l.Burst + min(l.Burst, toleranceDepthFraction*t.excess(l))
}

// Ledger holds an entry's view of the use of workspaces and endpoints. It is safe for
// concurrent use.
type Ledger struct {
	mu             sync.Mutex
	settings       Settings
	limits         map[ID]Limit
	endpointLimits map[ID]*endpointLimitState
	accounts       map[ID]*account
	peers          map[string]*peer
	fleet          fleetSize
	pauses         pauses
	// reachable is the number of entries that were reachable at reachableAt, this one
	// included.
	reachable   int
	reachableAt time.Time
	swept       time.Time
	rnd         *rand.Rand
}

// Settings configure a Ledger.
type Settings struct {
	// Tolerance is what is tolerated beyond the limits of workspaces, EndpointTolerance
	// beyond those that endpoints advertise.
	Tolerance, EndpointTolerance Tolerance
	// Started is when the process started. Restarted says that the entry may have run before,
	// so that a former incarnation may have used its share just now.
	Started   time.Time
	Restarted bool
	// SingleEntry says that other entries share nothing with this one by design, unless
	// SetFleetSize says otherwise. That an entry has heard of no other one is no reason to set it.
	SingleEntry bool
	// Seed seeds the random refusals.
	Seed uint64
}

// NewLedger returns an empty Ledger.
func NewLedger(settings Settings) *Ledger {
	settings.Tolerance = settings.Tolerance.withDefaults()
	return &Ledger{
		settings: settings,
		fleet:    newFleetSize(settings.Restarted && !settings.SingleEntry, settings.Started),
		limits:   make(map[ID]Limit), endpointLimits: make(map[ID]*endpointLimitState), accounts: make(map[ID]*account), peers: make(map[string]*peer),
		rnd: rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
}

// SetTolerance replaces the tolerance for the limits of workspaces.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings.Tolerance = t.withDefaults()
}

// SetLimits replaces the limits; workspaces without one are unlimited. The caller must not
// modify the map afterwards.
func (l *Ledger) SetLimits(limits map[ID]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// SetFleetSize sets the largest recent fleet size, this entry included. Zero means unknown:
// nothing that has a limit is admitted then.
func (l *Ledger) SetFleetSize(fleetSize int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.update(fleetSize)
}

// account is this entry's replica of a bucket, together with its own use.
type account struct {
	bucket *rate.Limiter
	// full is the whole limit and depth the capacity of the whole bucket; share is the share
	// of both that applies now.
	full  Limit
	depth float64
	share float64
	// taken and returned count this entry's own use since the current epoch began.
	taken, returned uint64
	// recent is this entry's own recent use.
	recent decayingSum
	// created is when the account was created, and initial what its whole bucket held then.
	created time.Time
	initial float64
	// told are the levels that others reported while it was new.
	told toldLevels
	// remainder is the fraction of a token that has not been taken from the bucket yet.
	remainder float64
	// kinds is the number of kinds of requests that the account tells apart, cutoff which of
	// them are admitted.
	kinds  int
	costs  costs
	cutoff cutoff
	// byKind is this entry's own recent use by requests of each kind.
	byKind [MaxClasses + 1]decayingSum
	// expectedRate is the rate at which others are expected to use the workspace, in tokens a
	// second, and expectedThrough the time up to which that has been taken from the bucket.
	expectedRate    float64
	expectedThrough time.Time
	// reportUntil is until when the own use is reported, epoch how often reporting began.
	reportUntil time.Time
	epoch       uint32
	lastUsed    time.Time
}

// Decision is the result of Take.
type Decision struct {
	OK bool
	// Limited says that there is a limit, so that what is not used has to be returned.
	Limited bool
	// Wait is how long until a request of the class is certain to be admitted, if no other is
	// admitted before.
	Wait time.Duration
	// Level is the level of the bucket in tokens, negative for a debt, less what is reserved;
	// it is for the log.
	Level float64
	// Share is the share of the limit that applies; it is below 1 while entries are unreachable.
	Share float64
	// Rate is how many tokens a second are left by more urgent requests of the workspace.
	Rate float64
	// Threshold is the level from which on all requests are admitted, Admitted the fraction of
	// the requests of this kind that are admitted at this level; both are for the log.
	Threshold, Admitted float64
}

// Take decides whether to admit a request of a workspace that costs a number of tokens. A
// bucket that is not empty admits a request of any size, so that large requests are not
// refused for their size.
func (l *Ledger) Take(now time.Time, workspace ID, tokens int) Decision {
	return l.TakeClass(now, workspace, tokens, Class{})
}

// admitted returns the fraction of requests to admit at a level of a bucket. Below a threshold
// requests are refused at random, more of them as the bucket empties. If all were admitted until
// it is empty, entries that learn late of each other's use would admit a surge each time it
// holds some tokens again.
func (a *account) admitted(p place, level, threshold float64) float64 {
	switch {
	case level <= 0:
		return 0
	case level >= threshold:
		return 1
	case p.alike():
		return level / threshold
	}
	return a.cutoff.admitted(p, level/threshold)
}

// refusalThreshold returns the level from which on a bucket with a share of the limit admits
// all requests. For an account that started with a partial bucket it rises no faster than the
// bucket fills while restartRateSlack of the rate is unused.
func (a *account) refusalThreshold(now time.Time, share float64) float64 {
	risen := earlyRefusalFraction*a.initial + restartRateSlack*a.full.Rate*now.Sub(a.created).Seconds()
	return min(earlyRefusalFraction*a.depth, risen) * share
}

// Return returns the tokens of an admitted request that did not run.
func (l *Ledger) Return(now time.Time, workspace ID, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return
	}
	a.spend(now, -float64(tokens))
	a.returned += uint64(tokens)
	a.recent.add(now, -float64(tokens))
}

// account returns a workspace's account with the current limit. The caller holds l.mu.
func (l *Ledger) account(now time.Time, workspace ID, limit Limit) *account {
	l.settleFleetSize(now)
	tolerance := l.toleranceOf(limit)
	share, depth := l.share(now, limit), tolerance.depth(limit)
	a := l.accounts[workspace]
	if a == nil {
		a = &account{created: now, expectedThrough: now, bucket: rate.NewLimiter(0, 0)}
		l.accounts[workspace] = a
		a.setLimit(now, limit, depth, share)
		a.setInitialLevel(now, l.mayBeSpent(now, limit, depth))
	}
	a.lastUsed = now
	a.setLimit(now, limit, depth, share)
	return a
}

// toleranceOf returns what is tolerated beyond a limit. The caller holds l.mu.
func (l *Ledger) toleranceOf(limit Limit) Tolerance {
	if limit.Tolerance != nil {
		return *limit.Tolerance
	}
	return l.settings.Tolerance
}

// share returns the share of a limit that applies now. The caller holds l.mu.
func (l *Ledger) share(now time.Time, limit Limit) float64 {
	return l.shareAmong(now, limit, l.fleet.assumed())
}

// shareAmong returns the share of a limit if the fleet has a number of entries. The caller
// holds l.mu.
func (l *Ledger) shareAmong(now time.Time, limit Limit, entries int) float64 {
	l.countReachable(now)
	tolerance := l.toleranceOf(limit)
	return tolerance.share(limit, float64(l.reachable)/float64(entries))
}

// countReachable counts the reachable entries, at most once per countInterval. The caller
// holds l.mu.
func (l *Ledger) countReachable(now time.Time) {
	if now.Sub(l.reachableAt) < countInterval {
		return
	}
	l.reachable, l.reachableAt = 1, now
	for _, p := range l.peers {
		if now.Sub(p.lastReport) <= silenceTimeout {
			l.reachable++
			continue
		}
		l.markSilent(now, p)
	}
}

// setLimit applies a share of a limit. A bucket holds at least one token or request, so that
// a small share still admits some.
func (a *account) setLimit(now time.Time, full Limit, depth, share float64) {
	if a.full == full && a.depth == depth && a.share == share {
		return
	}
	if share < a.share {
		// Each partition of the fleet keeps its share of the level, or of the debt.
		a.spend(now, a.bucket.TokensAt(now)*(1-share/a.share))
	}
	a.full, a.depth, a.share = full, depth, share
	a.bucket.SetLimitAt(now, rate.Limit(full.Rate*share))
	a.bucket.SetBurstAt(now, int(math.Ceil(max(depth*share, 1))))
}

// mayBeSpent reports whether a former process may have emptied a bucket that has not refilled since.
func (l *Ledger) mayBeSpent(now time.Time, limit Limit, depth float64) bool {
	if !l.settings.Restarted {
		return false
	}
	return l.settings.Started.IsZero() || now.Sub(l.settings.Started).Seconds()*limit.Rate < depth
}

// setInitialLevel fills the bucket of a new account: completely, or with a fraction of the burst
// if a former process may have spent it.
func (a *account) setInitialLevel(now time.Time, spent bool) {
	a.initial = a.depth
	if spent {
		a.initial = restartBurstFraction * a.full.Burst
	}
	a.spend(now, a.bucket.TokensAt(now)-a.initial*a.share)
}

// chargeExpected takes from the bucket what others are expected to have used since it was
// last called. Their reports come late, and during a partition not at all.
func (a *account) chargeExpected(now time.Time) {
	since := expectedSeconds(now, a.expectedThrough)
	if since <= 0 {
		return
	}
	a.expectedThrough = now
	a.spend(now, a.expectedRate*since)
}

// expectedSeconds returns the time in seconds for which use is expected without a report.
func expectedSeconds(now, since time.Time) float64 {
	return min(now.Sub(since), 2*silenceTimeout).Seconds()
}

// spend takes tokens from the bucket, even more than it holds. Negative tokens are returned
// to it. A bucket takes no more than its burst at once, which is therefore raised meanwhile.
func (a *account) spend(now time.Time, tokens float64) {
	tokens += a.remainder
	whole := math.Floor(tokens)
	a.remainder = tokens - whole
	if burst := a.bucket.Burst(); whole > float64(burst) {
		a.bucket.SetBurstAt(now, int(whole))
		defer a.bucket.SetBurstAt(now, burst)
	}
	a.bucket.ReserveN(now, int(whole))
}

// decayingSum is a sum that decays exponentially with the time constant recentUseTime.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (f *decayingSum) add(now time.Time, x float64) {
	f.sum, f.at = f.value(now)+x, now
}

func (f *decayingSum) value(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/recentUseTime.Seconds())
}

func (f *decayingSum) perSecond(now time.Time) float64 { return f.value(now) / recentUseTime.Seconds() }

// wait returns how long until an account whose bucket is at a level admits all requests at a
// place. The caller holds l.mu.
func (l *Ledger) wait(now time.Time, a *account, p place, level float64) time.Duration {
	wait := a.wait(now, p, level, a.share)
	left, cautious := l.fleet.cautionLeft(now)
	if !cautious {
		return wait
	}
	share := l.shareAmong(now, a.full, l.fleet.size)
	return min(wait, max(left, a.wait(now, p, level+l.withheld(now, a, share), share)))
}

// wait returns how long until a bucket at a level admits all requests at a place with a
// share of the limit.
func (a *account) wait(now time.Time, p place, level, share float64) time.Duration {
	full := a.refusalThreshold(now, share)
	if !p.alike() {
		full *= a.cutoff.certainLevel(p)
	}
	seconds := max(full-level, 0) / (a.full.Rate * share)
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWait bounds the wait for a bucket: one with a tiny rate never fills.
const maxWait = 24 * time.Hour

// sweep drops accounts and peers that have been idle. The caller holds l.mu.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	l.sweepEndpointLimits(now)
	for id, a := range l.accounts {
		if now.Sub(a.lastUsed) > accountIdleTime {
			delete(l.accounts, id)
		}
	}
	for from, p := range l.peers {
		if now.Sub(p.lastReport) > peerRetention {
			delete(l.peers, from)
		}
	}
}
