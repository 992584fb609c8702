package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNews bounds the IDs of which an entry tells at a time, those first whose limit it
	// used most of.
	maxNews = 64
	// peerLife is how long what another entry said is remembered.
	peerLife = 10 * time.Minute
	// pressedShare is the part of its bucket below which a workspace is near its limit.
	pressedShare = 0.5
)

// ID stands for a workspace among entries.
type ID uint64

// NewID returns the ID of a workspace's name.
func NewID(workspace string) ID { return ID(xxhash.Sum64String(workspace)) }

// Use is what one entry says of its use of a workspace. Counters only grow within an
// epoch, so that news may be lost, repeated or reordered.
type Use struct {
	Workspace ID
	// Epoch counts how often the entry began to tell of the workspace; the counters begin
	// anew with each.
	Epoch uint32
	// Taken are tokens admitted, Returned those of them that were not used.
	Taken, Returned uint64
}

// net is the use of a newer word that an older one does not have.
func (u Use) net(old Use) float64 {
	return float64(u.Taken-old.Taken) - float64(u.Returned-old.Returned)
}

// join returns the newer of two words, counter by counter.
func (u Use) join(old Use) Use {
	switch {
	case u.Epoch < old.Epoch:
		return old
	case u.Epoch > old.Epoch:
		return u
	}
	u.Taken, u.Returned = max(u.Taken, old.Taken), max(u.Returned, old.Returned)
	return u
}

// Incarnation names one run of a process.
type Incarnation [16]byte

// peer is what another entry said.
type peer struct {
	incarnation Incarnation
	use         map[ID]*peerUse
	at          time.Time
	// lost says that it is not heard any more.
	lost bool
}

// peerUse is what another entry said of one workspace.
type peerUse struct {
	Use
	// pace is at which it is expected to use the workspace since at, in tokens a second;
	// expected are the tokens that were expected of it before at and since its last word.
	pace     float64
	at       time.Time
	expected float64
}

// follow takes a newer word, and returns the use beyond what was expected.
func (u *peerUse) follow(now time.Time, word Use) float64 {
	before := u.Use
	u.Use = word.join(before)
	if u.Epoch != before.Epoch {
		before = Use{}
	}
	used := u.net(before)
	since := now.Sub(u.at).Seconds()
	beyond := used - u.expected - u.pace*expectedFor(now, u.at)
	if since > 0 && !u.at.IsZero() {
		weight := 1 - math.Exp(-since/paceTime.Seconds())
		u.pace += weight * (max(used, 0)/since - u.pace)
	}
	u.at, u.expected = now, 0
	return beyond
}

// stop expects nothing more.
func (u *peerUse) stop(now time.Time) {
	u.expected += u.pace * expectedFor(now, u.at)
	u.at, u.pace = now, 0
}

// Pressed reports whether anything that this entry tells of is near its limit, or a limit
// has just changed, so that others need to hear of it soon.
func (l *Ledger) Pressed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fresh(now) {
		return true
	}
	l.count(now)
	for _, a := range l.accounts {
		if now.Before(a.announceUntil) && a.bucket.TokensAt(now) < pressedShare*float64(a.bucket.Burst()) {
			return true
		}
	}
	return false
}

// News returns what is to be told others of this entry's own use.
func (l *Ledger) News(now time.Time) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	type ranked struct {
		Use
		recent float64
	}
	var list []ranked
	for id, a := range l.accounts {
		if now.Before(a.announceUntil) {
			list = append(list, ranked{Use{id, a.epoch, a.taken, a.returned}, a.recent.value(now) / a.full.Rate})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(a.Workspace, b.Workspace))
	})
	news := make([]Use, 0, min(len(list), maxNews))
	for _, r := range list[:min(len(list), maxNews)] {
		news = append(news, r.Use)
	}
	return news
}

// announce begins to tell of an account that uses a good part of its limit, and goes on while
// it does; l.mu is held.
func (l *Ledger) announce(now time.Time, a *account) {
	part := a.full.Rate / float64(max(l.census.assumed(), 1))
	if a.recent.perSecond(now) < announceShare*part {
		return
	}
	if now.After(a.announceUntil) {
		a.epoch++
		a.taken, a.returned = uint64(max(a.recent.value(now), 0)), 0
	}
	a.announceUntil = now.Add(announceTime)
}

// Hear takes what another process says of its own use.
func (l *Ledger) Hear(now time.Time, from string, incarnation Incarnation, news []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	stranger := p == nil
	if stranger || p.incarnation != incarnation {
		if !stranger {
			l.markLost(now, p)
		}
		p = &peer{incarnation: incarnation, use: make(map[ID]*peerUse)}
		l.peers[from] = p
	}
	// What it used in silence came out of the part that was left to it.
	silent := p.lost
	p.at, p.lost = now, false
	for _, word := range news {
		u := p.use[word.Workspace]
		if u == nil {
			u = new(peerUse)
			p.use[word.Workspace] = u
		}
		l.follow(now, u, word, !stranger && !silent)
	}
}

// follow takes another entry's word on a workspace, and counts what it used since its last
// one if that is to count; l.mu is held.
func (l *Ledger) follow(now time.Time, u *peerUse, word Use, counts bool) {
	pace := u.pace
	beyond := u.follow(now, word)
	limit, limited := l.limitOf(word.Workspace)
	if !limited || l.census.unknown() {
		return
	}
	a := l.account(now, word.Workspace, limit)
	a.changePace(now, u.pace-pace)
	if counts {
		a.charge(now, beyond, l.toleranceOf(limit).Window)
	}
}

// markLost expects nothing more of an entry that fell silent; l.mu is held.
func (l *Ledger) markLost(now time.Time, p *peer) {
	if p.lost {
		return
	}
	p.lost = true
	for id, u := range p.use {
		pace := u.pace
		u.stop(now)
		if a := l.accounts[id]; a != nil {
			a.changePace(now, -pace)
		}
	}
}

// changePace changes the pace at which others are expected to use the workspace.
func (a *account) changePace(now time.Time, by float64) {
	a.expect(now)
	a.pace = max(a.pace+by, 0)
}

// charge takes what others used from the bucket, up to a debt of a window.
func (a *account) charge(now time.Time, tokens float64, window time.Duration) {
	room := a.bucket.TokensAt(now) + a.full.Rate*window.Seconds()
	a.spend(now, min(tokens, max(room, 0)))
}
