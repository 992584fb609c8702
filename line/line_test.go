package line_test

import (
	"math/rand/v2"
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
	step        = 5 * time.Millisecond
	slots       = 100
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
	end time.Time
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
}

type news struct {
	at          time.Time
	from        int
	demand      []share.Demand
	byWorkspace []share.WorkspaceDemand
}

type outcome struct{ calls, onTime, late float64 }

func (o outcome) worth() float64 { return (o.onTime + 0.1*o.late) / max(o.calls, 1) }

// play is one play of twice the load that the slots serve.
type play struct {
	mode    mode
	entries []*entryState
	rnd     *rand.Rand
	now     time.Time
	begun   time.Time
	sent    []news
	cut     func(p *play, from, to int) bool
	killAt  func(p *play)
	all     map[*queue.Request]*request
	byRank  [3]outcome
	byBoth  [workspaces][3]outcome
	// busy sums the used fraction of the slots over the steps of the burst.
	busy, steps float64
}

func newPlay(m mode, entries int, seed uint64) *play {
	p := &play{mode: m, rnd: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), begun: time.Unix(1000, 0), all: make(map[*queue.Request]*request)}
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
	for t := time.Duration(0); t < calm+burst; t += step {
		rate := slots / answer.Seconds() * 0.8
		if t >= calm {
			rate *= 2.5
		}
		p.now = p.now.Add(step)
		if p.killAt != nil {
			p.killAt(p)
		}
		for arrivals.Float64() < rate*step.Seconds() {
			p.arrive(arrivals)
		}
		p.end()
		p.exchange(t)
		for _, i := range p.rnd.Perm(len(p.entries)) {
			p.serve(i)
		}
		total := p.total()
		if t >= calm {
			p.busy += float64(total) / slots
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
	r := &request{Request: queue.Request{Rank: rank, Workspace: quota.ID(w + 1), Cost: 1, StartBy: p.now.Add(patience), GiveUpAt: p.now.Add(patience + 100*time.Millisecond)}}
	r.end = p.now.Add(answer/2 + time.Duration(rnd.Int64N(int64(answer)))) // relative to its start below
	at := rnd.IntN(1 << 20)
	e := p.entries[at%len(p.entries)]
	if e.dead {
		return
	}
	p.all[&r.Request] = r
	r.end = time.Time{}.Add(r.end.Sub(p.now))
	e.queue.Add(p.now, &r.Request)
	p.byRank[rank].calls++
	p.byBoth[w][rank].calls++
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
}

// exchange delivers the reports that are due, and sends new ones.
func (p *play) exchange(t time.Duration) {
	interval := max(100*time.Millisecond, time.Duration(len(p.entries))*time.Second/300)
	for len(p.sent) > 0 && !p.sent[0].at.After(p.now) {
		n := p.sent[0]
		p.sent = p.sent[1:]
		for i, e := range p.entries {
			if i != n.from && !e.dead && p.rnd.Float64() >= newsLoss && (p.cut == nil || !p.cut(p, n.from, i)) {
				e.table.Merge(p.now, strconv.Itoa(n.from), n.demand, n.byWorkspace)
			}
		}
	}
	for i, e := range p.entries {
		if p.mode != inLine || e.dead || (t+time.Duration(i)*step)%interval >= step {
			continue
		}
		e.table.SetOwn("llm", e.demand(p.now), e.byWorkspace())
		demand, byWorkspace := e.table.Own()
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

func (e *entryState) byWorkspace() []share.WorkspaceDemand { return nil }

func (p *play) total() (n int) {
	for _, e := range p.entries {
		n += len(e.running)
	}
	return n
}

// free returns the free slots as an entry sees them: the work of others as of newsAge ago.
func (p *play) free(e *entryState) int {
	free := slots - len(e.running)
	for _, other := range p.entries {
		if at := len(other.ran) - 1 - int(newsAge/step); other != e && at >= 0 {
			free -= other.ran[at]
		}
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
	if p.mode == inLine {
		others, byOthers := e.table.Others(p.now, "llm")
		e.line.Update(line.Room{Capacity: slots, Free: float64(max(free, 0)), FreedPerSecond: slots / answer.Seconds()}, e.demand(p.now), others, e.byWorkspace(), byOthers)
	}
	for _, r := range append([]*queue.Request(nil), e.queue.Waiting(p.now)...) {
		if free <= 0 {
			return
		}
		lr := line.Request{Rank: r.Rank, Late: p.now.After(r.StartBy), Workspace: uint64(r.Workspace), Cost: r.Cost}
		if p.mode == inLine && !e.queue.Starved(r.Rank) && e.line.Admit(p.now, lr).Leave {
			continue
		}
		if p.total() >= slots {
			e.fullUntil = p.now.Add(20 * time.Millisecond) // the reservation is refused
			return
		}
		free--
		e.line.Start(lr)
		e.queue.Start(r)
		started := p.all[r]
		started.end = p.now.Add(started.end.Sub(time.Time{}))
		e.running = append(e.running, started)
		one := outcome{onTime: 1}
		if lr.Late {
			one = outcome{late: 1}
		}
		for _, o := range []*outcome{&p.byRank[r.Rank], &p.byBoth[r.Workspace-1][r.Rank]} {
			o.onTime += one.onTime
			o.late += one.late
		}
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
			var worth, busy [3]float64
			var byRank [3]outcome
			seeds := 4.0
			if entries == 300 {
				seeds = 1 // a play takes seconds
			}
			for seed := range uint64(seeds) {
				for _, m := range []mode{inLine, local, oneQueue} {
					p := newPlay(m, entries, seed)
					p.run()
					worth[m] += p.worth() / seeds
					busy[m] += p.busy / p.steps / seeds
					if m == inLine {
						for r, o := range p.byRank {
							byRank[r].calls += o.calls
							byRank[r].onTime += o.onTime
							byRank[r].late += o.late
						}
					}
				}
			}
			t.Logf("worth %.3f, room used %.3f (in line, local, one queue)", worth, busy)
			mean := (byRank[0].worth() + byRank[1].worth() + byRank[2].worth()) / 3
			for rank := range byRank {
				assert.GreaterOrEqual(t, byRank[rank].worth(), mean/4, "rank %d", rank)
			}
			assert.GreaterOrEqual(t, worth[inLine], 0.95*worth[oneQueue])
			assert.GreaterOrEqual(t, busy[inLine], 0.97*busy[oneQueue])
			assert.GreaterOrEqual(t, worth[inLine], worth[local])
		})
	}
}
