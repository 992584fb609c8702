// Package gossip exchanges state between the entries of a fleet: which entries are alive, the
// work that each has in progress at every endpoint, the use of limits, and, for an entry that
// can't read the store, the published entries.
//
// Each report contains the sender's whole state and replaces the one before, so that reports
// may be lost. There is no consensus: a wrong or stale report leads to a worse routing
// decision, but breaks no guarantee.
package gossip

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypulley"
	"ebonypulley/rendezvous"
)

const (
	// aliveTimeout is how long an entry counts as alive after its last report or reply.
	aliveTimeout = 3 * time.Second
	// forgetTimeout is how long an address that no entry mentions is dialed without an answer
	// before it is forgotten, unless it is a seed. It is several times the gap between two
	// mentions of an entry in a fleet of a thousand.
	forgetTimeout = 30 * time.Second
	// maxPeers bounds the entries that one entry reports to. The connections to and from one
	// of them take 60 kB of memory, all together 6 MB of the 32 MB of memory that a daemon may
	// spend on control.
	maxPeers = 96
	// remotePeers is the number of them reserved for other data centres, so that the reports
	// between data centres do not grow with the fleet.
	remotePeers = maxPeers / 4
	// readerCandidates is the number of entries that are first in line to read the store for
	// a data centre. All entries there report to them, so that all agree on the reader.
	readerCandidates = 3
	// newcomerPeriod is how long an entry that has just become alive is listed before others.
	newcomerPeriod = 3 * time.Second
	// maxNewcomersListed bounds the newcomers in one list of members.
	maxNewcomersListed = 16
)

// Members is one entry's view of the other entries. It does no I/O and is not safe for
// concurrent use.
type Members struct {
	self       string
	dataCentre string
	seeds      map[string]bool
	// dataCentres holds the data centre of each known entry.
	dataCentres map[string]string
	// access holds what entries reported about their own access to the store, links the link
	// capacities in Mbit/s, including those learned from third parties.
	access map[string]StoreAccess
	links  map[string]float64
	// lastSeen holds when a message of each entry was last received, aliveSince since when it
	// has been alive without a gap, and lastMentioned when any entry last mentioned it.
	lastSeen      map[string]time.Time
	aliveSince    map[string]time.Time
	lastMentioned map[string]time.Time
	// heardAt is when any entry was last heard.
	heardAt time.Time
	// listCursor is the last address in the last list of members.
	listCursor string
	// peakAlive is the most entries that were ever alive at a time, this one included;
	// lowestSince is since when this entry has met the conditions to lead, except for leadDelay.
	peakAlive   int
	lowestSince time.Time
	// pauses detects that this entry stood still, until recently at wokeAt.
	pauses *ebonypulley.PauseDetector
	wokeAt time.Time
	// maxEntries is the largest fleet size known, and maxEntriesAt when it was seen.
	maxEntries   int
	maxEntriesAt time.Time
}

// NewMembers returns the view of an entry that has just started.
func NewMembers(self, dataCentre string, seeds []string) *Members {
	m := &Members{
		self: self, dataCentre: dataCentre, dataCentres: make(map[string]string), access: make(map[string]StoreAccess), links: make(map[string]float64),
		lastSeen: make(map[string]time.Time), aliveSince: make(map[string]time.Time), lastMentioned: make(map[string]time.Time),
		pauses: ebonypulley.NewPauseDetector(leaderPause),
	}
	m.SetSeeds(seeds)
	return m
}

// SetSeeds replaces the entries that are always contacted.
func (m *Members) SetSeeds(seeds []string) {
	m.seeds = make(map[string]bool, len(seeds))
	for _, s := range seeds {
		if s != m.self {
			m.seeds[s] = true
		}
	}
}

// Observe records a report or a reply from an entry, and reports whether the entry was not
// alive before.
func (m *Members) Observe(now time.Time, addr, dataCentre string) (joined bool) {
	if addr == m.self {
		return false
	}
	m.dataCentres[addr] = dataCentre
	last, ok := m.lastSeen[addr]
	joined = !ok || now.Sub(last) > aliveTimeout
	if joined {
		m.aliveSince[addr] = now
	}
	m.lastSeen[addr], m.heardAt = now, now
	m.lastMentioned[addr] = now
	return joined
}

// StoreAccess is what an entry reports about its own access to the store.
type StoreAccess struct {
	// LinkMbps is the capacity of the entry's own link, 0 if unknown.
	LinkMbps float64
	// StoreFailed says that its last read of the store failed.
	StoreFailed bool
}

// SetStoreAccess records the access of an entry, possibly this one.
func (m *Members) SetStoreAccess(addr string, access StoreAccess) {
	m.access[addr] = access
	m.links[addr] = access.LinkMbps
}

// LinkMbps returns the capacity of an entry's own link, 0 if unknown.
func (m *Members) LinkMbps(addr string) float64 { return m.access[addr].LinkMbps }

// Member is an entry as listed by another one.
type Member struct {
	Addr string
	// DataCentre is empty and LinkMbps zero if they are unknown.
	DataCentre string
	LinkMbps   float64
}

// Learn records entries that another entry listed.
func (m *Members) Learn(now time.Time, members []Member) {
	for _, e := range members {
		if e.Addr == m.self {
			continue
		}
		m.lastMentioned[e.Addr] = now
		if _, seen := m.lastSeen[e.Addr]; seen {
			continue // its own report takes precedence
		}
		if e.DataCentre != "" {
			m.dataCentres[e.Addr], m.links[e.Addr] = e.DataCentre, e.LinkMbps
		}
	}
}

// MembersToList returns up to limit alive entries to list in a report: the lowest address,
// which is the leader's, newcomers, and the others in turn.
func (m *Members) MembersToList(now time.Time, limit int) []Member {
	alive := m.Alive(now)
	if len(alive) == 0 {
		return nil
	}
	picked := []string{alive[0]}
	newcomers := slices.DeleteFunc(slices.Clone(alive), func(a string) bool { return now.Sub(m.aliveSince[a]) > newcomerPeriod })
	picked = append(picked, m.roundRobin(newcomers, min(maxNewcomersListed, limit-1))...)
	picked = append(picked, m.roundRobin(alive, limit-len(picked))...)
	m.listCursor = picked[len(picked)-1]
	slices.Sort(picked)
	var list []Member
	for _, a := range slices.Compact(picked) {
		list = append(list, Member{Addr: a, DataCentre: m.dataCentres[a], LinkMbps: m.links[a]})
	}
	return list
}

// roundRobin returns up to limit elements of a sorted list, beginning after listCursor.
func (m *Members) roundRobin(list []string, limit int) []string {
	if limit <= 0 || len(list) <= limit {
		return list[:max(min(limit, len(list)), 0)]
	}
	from, _ := slices.BinarySearch(list, m.listCursor+"\x00")
	return append(slices.Clone(list[from:]), list[:from]...)[:limit]
}

// LastJoin returns when the last newcomer became alive.
func (m *Members) LastJoin() (newest time.Time) {
	for _, at := range m.aliveSince {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// Alive returns the other entries that are alive, sorted.
func (m *Members) Alive(now time.Time) []string {
	var list []string
	for a, at := range m.lastSeen {
		if now.Sub(at) <= aliveTimeout {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	return list
}

// Heard reports whether an entry was alive when it was last looked.
func (m *Members) Heard(addr string) bool {
	_, ok := m.lastSeen[addr]
	return ok
}

// Recent returns the other entries that were heard or mentioned lately. One that is not alive may
// be cut off, and serve callers.
func (m *Members) Recent(now time.Time) []string {
	var list []string
	for a, at := range m.lastMentioned {
		if now.Sub(at) <= forgetTimeout {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	return list
}

// OldestOf returns the earliest of the times of the entries that were alive when it was last looked,
// false if there are none. Entries without a time are left out.
func (m *Members) OldestOf(timeOf func(addr string) (time.Time, bool)) (oldest time.Time, any bool) {
	for a := range m.lastSeen {
		if at, ok := timeOf(a); ok && (!any || at.Before(oldest)) {
			oldest, any = at, true
		}
	}
	return oldest, any
}

// FirstFor returns the entry that ranks first for a key among those that are alive in a data
// centre, or among all if there is none. All entries with the same view agree on it.
func (m *Members) FirstFor(now time.Time, dataCentre, key string) string {
	all := append(m.Alive(now), m.self)
	near := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return m.dataCentreOf(a) != dataCentre })
	if len(near) > 0 {
		all = near
	}
	order := rendezvous.Order(rendezvous.Hash(key), len(all), func(i int) string { return all[i] })
	return all[order[0]]
}

// dataCentreOf returns the data centre of an entry, empty if unknown.
func (m *Members) dataCentreOf(addr string) string {
	if addr == m.self {
		return m.dataCentre
	}
	return m.dataCentres[addr]
}

// readerTimeout is how long after its last report an entry still counts as the reader of its
// data centre.
const readerTimeout = 800 * time.Millisecond

// Reader returns the entry that reads the store for this one's data centre: one there that
// reaches the store, of these the one with the widest link, then the lowest address. Two
// readers at a time do no harm; without one each entry reads the store itself.
//
// A single reader bounds the load of the store. If hundreds of entries watched it, each
// heartbeat of a worker would end every watch, and reads would grow with the square of the
// fleet. The store sends a configuration whole: 1.3 MB for 4,240 routes, which takes 1.1 s on
// a 10 Mbit/s link and 0.05 s on a 200 Mbit/s link.
func (m *Members) Reader(now time.Time) string {
	reader := m.self
	for a, at := range m.lastSeen {
		if m.dataCentres[a] == m.dataCentre && now.Sub(at) <= readerTimeout && m.compareReaders(a, reader) < 0 {
			reader = a
		}
	}
	return reader
}

// compareReaders orders entries by their precedence as reader.
func (m *Members) compareReaders(a, b string) int {
	wa, wb := m.access[a], m.access[b]
	if wa.StoreFailed != wb.StoreFailed {
		if wa.StoreFailed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(m.links[b], m.links[a]), cmp.Compare(a, b))
}

// leadDelay is how long an entry must have met the other conditions of IsLeader before it
// leads. It is longer than the period in which an engine must not get orders from two leaders
// in turns.
const leadDelay = 3 * time.Second

// leaderPause is how long a leader may stand still and go on leading. The sum with idleInterval
// is below leadDelay, so that it hears of another leader before that one gives orders.
const leaderPause = time.Second

// IsLeader reports whether this entry gives orders: it has the lowest address of all that any
// entry mentioned lately.
//
// Entries that are partitioned from each other must not both give orders to an engine. An
// entry leads only while more than half of the most entries that it has seen alive at a time
// are alive, while at least one other entry is alive if there are seeds, and after all that
// has been so for leadDelay. It does not know what went on while it stood still, nor how long
// a message waited in a socket: after a pause the conditions count from idleInterval on, when
// what had waited is read.
func (m *Members) IsLeader(now time.Time) bool {
	m.checkLead(now)
	return !m.lowestSince.IsZero() && now.Sub(m.lowestSince) >= leadDelay
}

// checkLead updates since when this entry has met the conditions to lead. It is called with
// each check of which entries are alive.
func (m *Members) checkLead(now time.Time) {
	if m.pauses.Tick(now) > 0 {
		m.wokeAt = now
	}
	alive := len(m.Alive(now)) + 1
	m.peakAlive = max(m.peakAlive, alive)
	switch {
	case now.Sub(m.wokeAt) < idleInterval, !m.isLowest(now), 2*alive <= m.peakAlive, len(m.seeds) > 0 && alive == 1:
		m.lowestSince = time.Time{}
	case m.lowestSince.IsZero():
		m.lowestSince = now
	}
}

// MayBeCutOff reports whether most entries may be there without being heard: this one hears none,
// though there are seeds, or no more than half of the recent fleet size.
func (m *Members) MayBeCutOff(now time.Time) bool {
	alive := len(m.Alive(now)) + 1
	most, _ := m.MaxEntries(now)
	return 2*alive <= most || len(m.seeds) > 0 && alive == 1
}

// isLowest reports whether no entry mentioned a lower address lately.
func (m *Members) isLowest(now time.Time) bool {
	for a, at := range m.lastMentioned {
		if a < m.self && now.Sub(at) <= 2*aliveTimeout {
			return false
		}
	}
	return true
}

// ExpireSilent removes the entries that have fallen silent since the last call, and returns
// them.
func (m *Members) ExpireSilent(now time.Time) []string {
	m.checkLead(now)
	var list []string
	for a, at := range m.lastSeen {
		if now.Sub(at) > aliveTimeout {
			delete(m.lastSeen, a)
			delete(m.aliveSince, a)
			delete(m.access, a)
			list = append(list, a)
		}
	}
	return list
}

// Targets returns the addresses to report to, sorted: the seeds and all known entries, or in
// a large fleet the reader candidates, most of the others from the own data centre and some
// from elsewhere.
//
// When a fleet is larger than maxPeers, each entry makes its own selection. If all left out
// the same entries, those would get no reports: each would read the store itself and choose
// engines without knowing the work of others.
func (m *Members) Targets(now time.Time) []string {
	list := m.knownAddrs(now)
	if len(list) > maxPeers {
		list = m.selectPeers(list)
	}
	if reader := m.Reader(now); reader != m.self && !slices.Contains(list, reader) {
		list = append(list, reader)
	}
	sort.Strings(list)
	return list
}

// TargetsAll reports whether the targets are all known entries.
func (m *Members) TargetsAll(now time.Time) bool { return len(m.knownAddrs(now)) <= maxPeers }

// knownAddrs returns the seeds and the known entries, and forgets those that no entry
// mentions any more.
func (m *Members) knownAddrs(now time.Time) []string {
	list := make([]string, 0, len(m.seeds)+len(m.lastMentioned))
	for a := range m.seeds {
		list = append(list, a)
	}
	for a, at := range m.lastMentioned {
		if now.Sub(at) > forgetTimeout {
			delete(m.lastMentioned, a)
			delete(m.dataCentres, a)
			delete(m.links, a)
			continue
		}
		if !m.seeds[a] {
			list = append(list, a)
		}
	}
	return list
}

// selectPeers returns maxPeers addresses of a list.
func (m *Members) selectPeers(list []string) []string {
	var near, far []string
	for _, a := range list {
		if m.dataCentres[a] == m.dataCentre {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	slices.SortFunc(near, m.compareReaders)
	first := min(readerCandidates, len(near))
	m.sortByPairHash(near[first:])
	m.sortByPairHash(far)
	keep := max(min(remotePeers, len(far)), maxPeers-len(near))
	return append(near[:min(maxPeers-keep, len(near))], far[:min(keep, len(far))]...)
}

// sortByPairHash orders addresses by their hash with this entry's, which is the same each
// time, so that links last. Seeds come first, because entries that start know only these.
func (m *Members) sortByPairHash(list []string) {
	hashes := make(map[string]uint64, len(list))
	for _, a := range list {
		hashes[a] = m.pairHash(a)
	}
	slices.SortFunc(list, func(a, b string) int {
		if m.seeds[a] != m.seeds[b] {
			if m.seeds[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
}

// pairHash returns a hash of this entry's address and another one. Both compute the same
// hash, so that most entries that report to this one also get its reports.
func (m *Members) pairHash(addr string) uint64 {
	x := (xxhash.Sum64String(m.self) ^ xxhash.Sum64String(addr)) * 0x9e3779b97f4a7c15
	return x ^ x>>32
}

// maxEntriesRetention is how long the largest fleet size is remembered: longer than any
// partition in which entries are restarted, and shorter than a fleet takes to shrink for
// good.
const maxEntriesRetention = time.Hour

// MaxEntries returns the largest recent fleet size, this entry included, and how long ago it
// was seen.
//
// An entry that starts in a small partition must not share the retry budget among the few
// entries it sees: together with the others, which it can't reach, it would allow too many
// retries. The entries in its partition report the largest fleet size to it.
func (m *Members) MaxEntries(now time.Time) (n int, age time.Duration) {
	count := len(m.lastMentioned) + 1
	if count >= m.maxEntries || now.Sub(m.maxEntriesAt) > maxEntriesRetention {
		m.maxEntries, m.maxEntriesAt = count, now
	}
	return m.maxEntries, now.Sub(m.maxEntriesAt)
}

// LearnMaxEntries merges the largest fleet size that another entry reports.
func (m *Members) LearnMaxEntries(now time.Time, n int, age time.Duration) {
	if n > m.maxEntries && age >= 0 && age <= maxEntriesRetention {
		m.maxEntries, m.maxEntriesAt = n, now.Add(-age)
	}
}
