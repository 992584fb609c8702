package line_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/line"
	"ebonypulley/queue"
	"ebonypulley/quota"
	"ebonypulley/share"
)

const (
	answer      = 3 * time.Second
	newsAge     = 150 * time.Millisecond
	newsLoss    = 0.05
	calm, burst = 5 * time.Second, 10 * time.Second
	workspaces  = 16
)

// mode is how the entries decide.
type mode int

const (
	inLine mode = iota
	local
	oneQueue // one queue with full knowledge
)

type request struct {
	queue.Request
	at, end time.Time
}

type entryState struct {
	queue *queue.Queue
	line  *line.Line
	table *share.Table
	dead  bool
	// running holds the requests that run, ran how many did at each step.
	running   []*request
	ran       []int
	fullUntil time.Time
	lineAt    time.Time
}

type news struct {
	at          time.Time
	from        int
	demand      []share.Demand
	byWorkspace []share.WorkspaceDemand
}

type outcome struct{ calls, onTime, late float64 }

func (o outcome) add(p outcome) outcome {
	return outcome{calls: o.calls + p.calls, onTime: o.onTime + p.onTime, late: o.late + p.late}
}

func (o outcome) worth() float64 { return (o.onTime + 0.1*o.late) / max(o.calls, 1) }

// play is one play of twice the load that the slots serve.
type play struct {
	mode    mode
	slots   int
	step    time.Duration
	entries []*entryState
	rnd     *rand.Rand
	now     time.Time
	begun   time.Time
	sent    []news
	// cut reports whether news is lost; onStep is called at each step; claim replaces what an
	// entry reports, unless it is nil. Each may be nil.
	cut    func(from, to int) bool
	onStep func()
	claim  func(from int) []share.Demand
	all    map[*queue.Request]*request
	byRank [3]outcome
	byBoth [workspaces][3]outcome
	// ran is how many requests ran at each step.
	ran []int
	// busy sums the used fraction of the slots over the steps of the burst.
	busy, steps float64
	displaced   int
}

func newPlay(m mode, entries int, seed uint64) *play {
	p := &play{mode: m, slots: max(400, 4*entries), step: 5 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), begun: time.Unix(1000, 0), all: make(map[*queue.Request]*request)}
	if entries >= 100 {
		p.step = 20 * time.Millisecond // it takes seconds
	}
	if m == oneQueue {
		entries = 1
	}
	for range entries {
		p.entries = append(p.entries, &entryState{queue: queue.New(queue.ByUrgency), line: line.New(), table: share.NewTable()})
	}
	return p
}

func (p *play) run() {
	arrivals := rand.New(rand.NewPCG(7, p.rnd.Uint64()))
	due := 0.0
	for t := time.Duration(0); t < calm+burst; t += p.step {
		rate := float64(p.slots) / answer.Seconds() * 0.8
		if t >= calm {
			rate *= 2.5
		}
		p.now = p.now.Add(p.step)
		if p.onStep != nil {
			p.onStep()
		}
		for due += rate * p.step.Seconds(); due > 0; due -= arrivals.ExpFloat64() {
			p.arrive(arrivals)
		}
		p.end()
		p.exchange(t)
		for _, i := range p.rnd.Perm(len(p.entries)) {
			p.serve(i)
		}
		total := p.total()
		if t >= calm {
			p.busy += float64(total) / float64(p.slots)
			p.steps++
		}
	}
}

// arrive adds a request of a random rank and workspace, whose sizes are 1 to 20.
func (p *play) arrive(rnd *rand.Rand) {
	rank, size := rnd.IntN(3), rnd.IntN(workspaces*21/2)
	w := 0
	for size -= 1; size >= 1+19*w/(workspaces-1) && w < workspaces-1; w++ {
		size -= 1 + 19*w/(workspaces-1)
	}
	patience := []time.Duration{700, 900, 1900}[rank] * time.Millisecond
	r := &request{at: p.now, Request: queue.Request{Rank: rank, Workspace: quota.ID(w + 1), Cost: 1, StartBy: p.now.Add(patience), GiveUpAt: p.now.Add(patience + 100*time.Millisecond)}}
	r.end = p.now.Add(answer/2 + time.Duration(rnd.Int64N(int64(answer)))) // relative to its start below
	at := rnd.IntN(1 << 20)
	e := p.entries[at%len(p.entries)]
	if e.dead {
		return
	}
	p.all[&r.Request] = r
	r.end = time.Time{}.Add(r.end.Sub(p.now))
	e.queue.Add(p.now, &r.Request)
	p.record(r, outcome{calls: 1})
}

// record counts the requests of the burst.
func (p *play) record(r *request, one outcome) {
	if r.at.Sub(p.begun) >= calm {
		p.byRank[r.Rank] = p.byRank[r.Rank].add(one)
		p.byBoth[r.Workspace-1][r.Rank] = p.byBoth[r.Workspace-1][r.Rank].add(one)
	}
}

func (p *play) end() {
	for _, e := range p.entries {
		kept := e.running[:0]
		for _, r := range e.running {
			if r.end.After(p.now) {
				kept = append(kept, r)
			}
		}
		e.running = kept
		e.ran = append(e.ran, len(kept))
	}
	p.ran = append(p.ran, p.total())
}

// exchange delivers the reports that are due, and sends new ones.
func (p *play) exchange(t time.Duration) {
	interval := max(100*time.Millisecond, time.Duration(len(p.entries))*time.Second/300)
	for len(p.sent) > 0 && !p.sent[0].at.After(p.now) {
		n := p.sent[0]
		p.sent = p.sent[1:]
		for i, e := range p.entries {
			if i != n.from && !e.dead && p.rnd.Float64() >= newsLoss && (p.cut == nil || !p.cut(n.from, i)) {
				e.table.Merge(p.now, strconv.Itoa(n.from), n.demand, n.byWorkspace)
			}
		}
	}
	for i, e := range p.entries {
		if p.mode != inLine || e.dead || (t+time.Duration(i)*p.step)%interval >= p.step {
			continue
		}
		e.table.SetOwn("llm", e.demand(p.now), e.byWorkspace())
		demand, byWorkspace := e.table.Own()
		if p.claim != nil {
			if claimed := p.claim(i); claimed != nil {
				demand = claimed
			}
		}
		p.sent = append(p.sent, news{at: p.now.Add(newsAge), from: i, demand: demand, byWorkspace: byWorkspace})
	}
}

func (e *entryState) demand(now time.Time) []share.Demand {
	running := make(map[int]float64)
	for _, r := range e.running {
		running[r.Rank] += r.Cost
	}
	var list []share.Demand
	for _, l := range e.queue.Levels(now) {
		list = append(list, share.Demand{Service: "llm", Rank: l.Rank, Waiting: l.Cost, Running: running[l.Rank], Oldest: l.Oldest})
	}
	return list
}

func (e *entryState) byWorkspace() (list []share.WorkspaceDemand) {
	sums := e.runningByWorkspace()
	e.queue.CostByWorkspace(sums)
	for w, tokens := range sums {
		list = append(list, share.WorkspaceDemand{Service: "llm", Workspace: uint64(w), Demand: tokens})
	}
	slices.SortFunc(list, func(a, b share.WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), 4)]
}

func (e *entryState) runningByWorkspace() map[quota.ID]float64 {
	sums := make(map[quota.ID]float64)
	for _, r := range e.running {
		sums[r.Workspace] += r.Cost
	}
	return sums
}

func (p *play) total() (n int) {
	for _, e := range p.entries {
		n += len(e.running)
	}
	return n
}

// free returns the free slots as an entry sees them: the work of others as of newsAge ago.
func (p *play) free(e *entryState) int {
	free := p.slots - len(e.running)
	if at := len(p.ran) - 1 - int(newsAge/p.step); at >= 0 {
		free -= p.ran[at] - e.ran[at]
	}
	return free
}

func (p *play) serve(i int) {
	e := p.entries[i]
	if e.dead {
		return
	}
	for _, r := range e.queue.Expired(p.now) {
		e.queue.Remove(r)
	}
	if e.queue.Len() == 0 || p.now.Before(e.fullUntil) {
		return
	}
	free := p.free(e)
	if p.mode == inLine && p.now.Sub(e.lineAt) >= max(20*time.Millisecond, time.Duration(len(p.entries))*time.Millisecond/4) {
		e.lineAt = p.now
		others, byOthers := e.table.Others(p.now, "llm")
		e.line.Update(p.now, line.Room{Capacity: float64(p.slots), Free: float64(max(free, 0)), FreedPerSecond: float64(p.slots) / answer.Seconds()}, e.demand(p.now), others, e.byWorkspace(), byOthers)
	}
	if p.mode == inLine {
		p.displace(e)
	}
	running := e.runningByWorkspace()
	for _, r := range append([]*queue.Request(nil), e.queue.Waiting(p.now)...) {
		if free <= 0 {
			return
		}
		lr := line.Request{Rank: r.Rank, Late: p.now.After(r.StartBy), Starved: e.queue.Starved(r.Rank), Workspace: uint64(r.Workspace), Running: running[r.Workspace], Cost: r.Cost}
		if p.mode == inLine && e.line.Admit(p.now, lr).Leave {
			continue
		}
		if p.total() >= p.slots {
			e.fullUntil = p.now.Add(20 * time.Millisecond) // the reservation is refused
			return
		}
		free--
		e.line.Start(lr)
		e.queue.Start(r)
		started := p.all[r]
		started.end = p.now.Add(started.end.Sub(time.Time{}))
		e.running = append(e.running, started)
		running[r.Workspace] += r.Cost
		one := outcome{onTime: 1}
		if lr.Late {
			one = outcome{late: 1}
		}
		p.record(started, one)
	}
}

// displace refuses what can't be reached.
func (p *play) displace(e *entryState) {
	for _, u := range e.line.Unreachable(p.now, e.queue) {
		e.queue.Remove(u.Request)
		p.displaced++
	}
}

// worth counts each rank twice as much as the next.
func (p *play) worth() float64 {
	return (4*p.byRank[0].onTime + 2*p.byRank[1].onTime + p.byRank[2].onTime + 0.1*(4*p.byRank[0].late+2*p.byRank[1].late+p.byRank[2].late)) /
		(4*p.byRank[0].calls + 2*p.byRank[1].calls + p.byRank[2].calls)
}

// TestTwiceTheRoomOverEntries: for ten seconds twice as many generations arrive as there is room
// for, at 5, 24 and 300 entries whose reports are 150 ms old, one in twenty lost. Together they
// must serve nearly as one queue with full knowledge would.
func TestTwiceTheRoomOverEntries(t *testing.T) {
	for _, entries := range []int{5, 24, 300} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			t.Parallel()
			var worth, busy [3]float64
			displaced := 0
			var byRank [3]outcome
			var byBoth [workspaces][3]outcome
			seeds := 2.0
			if entries == 300 {
				seeds = 1 // a play takes seconds
			}
			for seed := range uint64(seeds) {
				for _, m := range []mode{inLine, local, oneQueue} {
					p := newPlay(m, entries, seed)
					p.run()
					worth[m] += p.worth() / seeds
					displaced += p.displaced
					busy[m] += p.busy / p.steps / seeds
					if m == inLine {
						for r, o := range p.byRank {
							byRank[r] = byRank[r].add(o)
							for w := range byBoth {
								byBoth[w][r] = byBoth[w][r].add(p.byBoth[w][r])
							}
						}
					}
				}
			}
			t.Logf("%.3f %.3f %.3f worth by rank, %d displaced", byRank[0].worth(), byRank[1].worth(), byRank[2].worth(), displaced)
			t.Logf("worth %.3f, room used %.3f (in line, local, one queue)", worth, busy)
			mean := (byRank[0].worth() + byRank[1].worth() + byRank[2].worth()) / 3
			for rank := range byRank {
				assert.GreaterOrEqual(t, byRank[rank].worth(), mean/4, "rank %d", rank)
			}
			for w, ranks := range byBoth {
				t.Logf("workspace %d: %.3f %.3f %.3f of %v", w, ranks[0].worth(), ranks[1].worth(), ranks[2].worth(), ranks)
				assert.GreaterOrEqual(t, ranks[0].add(ranks[1]).add(ranks[2]).worth(), mean/4, "workspace %d", w)
				// Within one request: the smallest workspaces send a few dozen.
				assert.GreaterOrEqual(t, ranks[0].worth()+1/ranks[0].calls, ranks[1].worth(), "workspace %d", w)
				assert.GreaterOrEqual(t, ranks[1].worth()+1/ranks[1].calls, ranks[2].worth(), "workspace %d", w)
			}
			assert.GreaterOrEqual(t, worth[inLine], 0.95*worth[oneQueue])
			assert.GreaterOrEqual(t, busy[inLine], 0.97*busy[oneQueue])
			assert.GreaterOrEqual(t, worth[inLine], worth[local])
		})
	}
}
