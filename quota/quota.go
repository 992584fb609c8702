// Package quota bounds what each workspace uses over all entries together, without
// shared state. Each entry keeps a replica of one token bucket a workspace: it takes
// from it what it admits itself and what the others say that they admitted. It does no
// I/O.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// unheardMargin is the part of the tolerated use that is shared out while entries are
	// not heard; the rest makes up for what is admitted until the silence is noticed.
	unheardMargin = 0.8
	// earlyShare is the part of a bucket below which requests are refused by chance.
	earlyShare = 0.5
	// depthShare is the part of the tolerated use that makes buckets deeper.
	depthShare = 0.25
	// newcomerShare is the part of the burst that an entry starts with if it may have run
	// before: what its predecessor admitted is unknown to it.
	newcomerShare = 0.25
	// newcomerSlack is the part of the rate that a workspace leaves unused if it is to be refused
	// nothing by an entry that started with little.
	newcomerSlack = 0.1
	// recentTime is the time constant of an entry's own recent use.
	recentTime = 2 * time.Second
	// announceShare is the part of its equal part of a workspace's rate from which on an
	// entry tells others its use, and announceTime how long it goes on. All that is not told
	// adds up to that part of the rate at most.
	announceShare = 1.0 / 8
	announceTime  = 10 * time.Second
	// idleTime is how long an unused account is kept.
	idleTime = time.Minute
	// silenceTimeout is how long after its last word an entry counts as heard, and
	// countInterval the pause between two counts.
	silenceTimeout = 800 * time.Millisecond
	countInterval  = 100 * time.Millisecond
	// paceTime is the time constant of the pace at which another entry uses a workspace.
	paceTime = time.Second
	// defaultWindow is the span of the tolerance if none is set.
	defaultWindow = 10 * time.Second
	// sweepInterval is the pause between two looks for idle accounts.
	sweepInterval = 10 * time.Second
)

// Limit bounds what is counted under one ID, a workspace's tokens or an endpoint's requests:
// so many a second, plus a burst.
type Limit struct {
	Rate  float64
	Burst float64
	// Tolerance is what is tolerated beyond the limit; nil for the ledger's.
	Tolerance *Tolerance
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Tolerance is what the deployment tolerates beyond the limits, in any span of Window:
// Overrun as a part of the limit, and Slack tokens.
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

// withoutBurst returns the tolerance of a limit without a burst for one that gets one: the burst
// is part of what is tolerated.
func (t Tolerance) withoutBurst(burst float64) *Tolerance {
	t = t.withDefaults()
	t.Slack = max(t.Slack-burst*(1+t.Overrun), 0)
	return &t
}

// share returns the part of a limit that a part of the entries may use on its own so
// that all such parts together stay within the tolerance.
func (t Tolerance) share(l Limit, entries float64) float64 {
	tolerated := t.owed(l) + t.beyond(l)
	admitted := l.Rate*t.Window.Seconds() + t.depth(l)
	return min(entries*max(unheardMargin*tolerated/admitted, 1), 1)
}

// owed is what a limit allows in a window.
func (t Tolerance) owed(l Limit) float64 { return l.Rate*t.Window.Seconds() + l.Burst }

// beyond is what is tolerated beyond that.
func (t Tolerance) beyond(l Limit) float64 { return t.owed(l)*t.Overrun + t.Slack }

// depth is what a bucket holds. Beside the burst it takes a part of the tolerance, so that
// replicas that lag behind each other refuse little of what is owed; over the long run a
// workspace gets its rate all the same.
func (t Tolerance) depth(l Limit) float64 {
	return l.Burst + min(l.Burst, depthShare*t.beyond(l))
}

// Ledger is what an entry knows of the use of workspaces. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	set    Settings
	limits map[ID]Limit
	// endpointTolerance goes with the limits that endpoints name, which are in stated.
	endpointTolerance *Tolerance
	stated            map[ID]*stated
	accounts          map[ID]*account
	peers             map[string]*peer
	census            census
	// reachable is the number of entries heard at counted, this one included.
	reachable int
	counted   time.Time
	swept     time.Time
	rnd       *rand.Rand
}

// Settings are those of a Ledger.
type Settings struct {
	// Tolerance is what is tolerated beyond the limits of workspaces, EndpointTolerance
	// beyond those that endpoints name.
	Tolerance, EndpointTolerance Tolerance
	// Started is when the process began. Restarted says that it may have run before, so
	// that a former incarnation may have used its part just now.
	Started   time.Time
	Restarted bool
	// Alone says that there are no other entries, unless SetEntries tells of some.
	Alone bool
	// Seed is that of what is drawn by chance.
	Seed uint64
}

// NewLedger returns an empty Ledger.
func NewLedger(set Settings) *Ledger {
	set.Tolerance = set.Tolerance.withDefaults()
	return &Ledger{
		set: set, endpointTolerance: set.EndpointTolerance.withoutBurst(statedBurst),
		census: newCensus(set.Restarted && !set.Alone),
		limits: make(map[ID]Limit), stated: make(map[ID]*stated), accounts: make(map[ID]*account), peers: make(map[string]*peer),
		rnd: rand.New(rand.NewPCG(set.Seed, set.Seed)),
	}
}

// SetTolerance changes what is tolerated.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set.Tolerance = t.withDefaults()
}

// SetLimits replaces the limits; workspaces without one are unlimited. The caller must
// not change the map any more.
func (l *Ledger) SetLimits(limits map[ID]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// SetEntries tells the most entries that there were lately, this one included; zero if
// that is unknown, and nothing that is limited is admitted then.
func (l *Ledger) SetEntries(fleetSize int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.census.set(fleetSize)
}

// account is this entry's replica of a workspace's bucket, and its own use.
type account struct {
	bucket *rate.Limiter
	// full is the bucket's limit and depth what it holds, share the part of both that is in
	// force.
	full  Limit
	depth float64
	share float64
	// taken and returned count this entry's own use since telling began.
	taken, returned uint64
	// recent is the own use of late.
	recent fading
	// began is when the account was made, and start what its bucket held then.
	began time.Time
	start float64
	// rest is the part of a token that was not taken from the bucket yet.
	rest float64
	// pace is at which others are expected to use the workspace, in tokens a second, and
	// expected until when that is taken from the bucket.
	pace     float64
	expected time.Time
	// announceUntil is until when the own use is told others, epoch how often that began.
	announceUntil time.Time
	epoch         uint32
	used          time.Time
}

// Verdict is the answer to Take.
type Verdict struct {
	OK bool
	// Counted says that there is a limit, so that what is not used is to be returned.
	Counted bool
	// Wait is how long until the workspace surely has room again if nobody else uses it.
	Wait time.Duration
	// Level is what the bucket holds in tokens, negative for a debt; for the log.
	Level float64
	// Share is the part of the limit in force; below 1 entries are not heard.
	Share float64
}

// Take asks to admit a request of a workspace that counts as some tokens. A bucket that
// holds any serves a request of any size, so that large ones are not refused for being
// large.
func (l *Ledger) Take(now time.Time, workspace ID, tokens int) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limitOf(workspace)
	if !limited {
		return Verdict{OK: true, Share: 1}
	}
	if l.census.unknown() {
		return Verdict{}
	}
	l.sweep(now)
	a := l.account(now, workspace, limit)
	a.expect(now)
	level := a.bucket.TokensAt(now)
	v := Verdict{OK: l.admits(now, a, level), Counted: true, Level: level, Share: a.share}
	if !v.OK {
		v.Wait = l.wait(now, a, level)
		return v
	}
	a.spend(now, float64(tokens))
	a.taken += uint64(tokens)
	a.recent.add(now, float64(tokens))
	l.announce(now, a)
	return v
}

// admits decides by what a bucket holds. Below earlyShare of it requests are refused with a
// chance that grows as it empties: were all admitted until it is empty, entries that hear of
// each other late would admit a surge each time that it holds some again; l.mu is held.
func (l *Ledger) admits(now time.Time, a *account, level float64) bool {
	early := a.early(now, a.share)
	if level >= early {
		return level > 0
	}
	return level > l.rnd.Float64()*early
}

// early is what a bucket of a part of the limit holds at least while it admits all. For one that
// started with little it rises no faster than the bucket fills beside a load of all but
// newcomerSlack.
func (a *account) early(now time.Time, share float64) float64 {
	risen := earlyShare*a.start + newcomerSlack*a.full.Rate*now.Sub(a.began).Seconds()
	return min(earlyShare*a.depth, risen) * share
}

// Return takes back what Take admitted, for a request that did not run.
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

// account returns a workspace's account with the limit in force; l.mu is held.
func (l *Ledger) account(now time.Time, workspace ID, limit Limit) *account {
	l.settle(now)
	tolerance := l.toleranceOf(limit)
	share, depth := l.share(now, limit), tolerance.depth(limit)
	a := l.accounts[workspace]
	if a == nil {
		a = &account{began: now, expected: now, bucket: rate.NewLimiter(0, 0)}
		l.accounts[workspace] = a
		a.limit(now, limit, depth, share)
		a.fill(now, l.set.Restarted)
	}
	a.used = now
	a.limit(now, limit, depth, share)
	return a
}

// toleranceOf returns what is tolerated beyond a limit; l.mu is held.
func (l *Ledger) toleranceOf(limit Limit) Tolerance {
	if limit.Tolerance != nil {
		return *limit.Tolerance
	}
	return l.set.Tolerance
}

// share returns the part of a limit that is in force for the entries heard; l.mu is held.
func (l *Ledger) share(now time.Time, limit Limit) float64 {
	return l.shareAmong(now, limit, l.census.assumed())
}

// shareAmong returns the part of a limit for the entries heard of so many; l.mu is held.
func (l *Ledger) shareAmong(now time.Time, limit Limit, entries int) float64 {
	l.count(now)
	tolerance := l.toleranceOf(limit)
	return tolerance.share(limit, float64(l.reachable)/float64(entries))
}

// count counts the entries heard, each countInterval; l.mu is held.
func (l *Ledger) count(now time.Time) {
	if now.Sub(l.counted) < countInterval {
		return
	}
	l.reachable, l.counted = 1, now
	for _, p := range l.peers {
		if now.Sub(p.at) <= silenceTimeout {
			l.reachable++
			continue
		}
		l.markLost(now, p)
	}
}

// limit puts a part of a limit in force. A bucket holds one request at least, so that a
// part that is small admits some.
func (a *account) limit(now time.Time, full Limit, depth, share float64) {
	if a.full == full && a.depth == depth && a.share == share {
		return
	}
	if share < a.share {
		// Each part of the entries has its part of what is left, or owed.
		a.spend(now, a.bucket.TokensAt(now)*(1-share/a.share))
	}
	a.full, a.depth, a.share = full, depth, share
	a.bucket.SetLimitAt(now, rate.Limit(full.Rate*share))
	a.bucket.SetBurstAt(now, int(math.Ceil(max(depth*share, 1))))
}

// fill gives a new account what it starts with: all of its bucket, or a part of the burst.
func (a *account) fill(now time.Time, restarted bool) {
	a.start = a.depth
	if restarted {
		a.start = newcomerShare * a.full.Burst
	}
	a.spend(now, a.bucket.TokensAt(now)-a.start*a.share)
}

// expect takes from the bucket what others are expected to have used since it was last
// asked: what they say comes late, and from one that is cut off not at all.
func (a *account) expect(now time.Time) {
	since := expectedFor(now, a.expected)
	if since <= 0 {
		return
	}
	a.expected = now
	a.spend(now, a.pace*since)
}

// expectedFor is the time in seconds for which use is expected without a word.
func expectedFor(now, since time.Time) float64 {
	return min(now.Sub(since), 2*silenceTimeout).Seconds()
}

// spend takes tokens from the bucket, also more than it holds, or returns them.
func (a *account) spend(now time.Time, tokens float64) {
	tokens += a.rest
	whole := math.Floor(tokens)
	a.rest = tokens - whole
	for burst := float64(a.bucket.Burst()); whole > burst; whole -= burst {
		a.bucket.ReserveN(now, int(burst))
	}
	a.bucket.ReserveN(now, int(whole))
}

// fading is a sum that fades with recentTime.
type fading struct {
	sum float64
	at  time.Time
}

func (f *fading) add(now time.Time, x float64) {
	f.sum, f.at = f.value(now)+x, now
}

func (f *fading) value(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/recentTime.Seconds())
}

func (f *fading) perSecond(now time.Time) float64 { return f.value(now) / recentTime.Seconds() }

// wait is how long until an account whose bucket is at a level admits all; l.mu is held.
func (l *Ledger) wait(now time.Time, a *account, level float64) time.Duration {
	wait := a.wait(now, level, a.share)
	left, cautious := l.census.left(now)
	if !cautious {
		return wait
	}
	share := l.shareAmong(now, a.full, l.census.size)
	return min(wait, max(left, a.wait(now, level+l.withheld(now, a, share), share)))
}

// wait is how long until a bucket at a level admits all with a part of the limit.
func (a *account) wait(now time.Time, level, share float64) time.Duration {
	return time.Duration(max(a.early(now, share)-level, 0) / (a.full.Rate * share) * float64(time.Second))
}

// sweep forgets accounts and peers that were not used for a while; l.mu is held.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	l.sweepStated(now)
	for id, a := range l.accounts {
		if now.Sub(a.used) > idleTime {
			delete(l.accounts, id)
		}
	}
	for from, p := range l.peers {
		if now.Sub(p.at) > peerLife {
			delete(l.peers, from)
		}
	}
}
