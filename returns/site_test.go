package returns_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ebonypulley/quota"
	"ebonypulley/returns"
)

// site is a workspace's callers before a fleet of entries.
type site struct {
	t       *testing.T
	entries []*entry
	rnd     *rand.Rand
	// withoutCalendar lets callers come back at random instead.
	withoutCalendar bool
	// arrive returns which entries hear a report that is sent, and how often.
	arrive func(from, to int) int
	delay  time.Duration
	kill   time.Duration
	agenda map[time.Duration][]caller
	// beside is called in each step with a random entry.
	beside func(time.Duration, *entry)
	// demand is the demand as a multiple of the limit.
	demand func(time.Duration) float64
	// abusers is the fraction of callers that repeat at once.
	abusers float64
	kinds   [len(classes)]tally
	abuse   tally
	// admitted holds the tokens admitted in each second.
	admitted map[time.Duration]int
}

// mostAdmitted returns the most tokens admitted in the window of the tolerance.
func (s *site) mostAdmitted() (most int) {
	for from := time.Duration(0); from < lasting; from += time.Second {
		sum := 0
		for d := from; d < from+tolerance.Window; d += time.Second {
			sum += s.admitted[d]
		}
		most = max(most, sum)
	}
	return most
}

// tolerated is what may be admitted in that window.
var tolerated = (limit.Rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Overrun) + tolerance.Slack

type tally struct{ first, served, back, backServed int }

// share returns the fraction of callers that were served in the end.
func (t tally) share() float64 { return float64(t.served) / float64(t.first) }

type entry struct {
	returns.Limiter
	incarnation byte
}

type caller struct {
	class           int
	first           time.Duration
	attempt         int
	booked, abusive bool
}

const (
	lasting = 20 * time.Second
	tokens  = 1200
	timeout = 14 * time.Second
	step    = 10 * time.Millisecond
)

// classes holds the share of each class in the demand.
var classes = [...]float64{0.25, 0.4, 0.35}

func newSite(t *testing.T, entries int, demand func(time.Duration) float64) *site {
	s := &site{t: t, rnd: rand.New(rand.NewPCG(9, 9)), demand: demand, agenda: make(map[time.Duration][]caller), admitted: make(map[time.Duration]int), arrive: func(int, int) int { return 1 }, delay: 70 * time.Millisecond}
	for i := range entries {
		s.entries = append(s.entries, new(entry))
		s.start(i, false)
	}
	return s
}

func (s *site) start(i int, restarted bool) {
	e := s.entries[i]
	e.incarnation++
	e.Ledger = quota.NewLedger(quota.Settings{Tolerance: tolerance, Restarted: restarted, Seed: uint64(i)})
	e.Ledger.SetLimits(map[quota.ID]quota.Limit{workspace: limit})
	e.Ledger.SetFleetSize(len(s.entries))
	e.Calendar = returns.NewSeeded(uint64(i))
	e.Calendar.SetFleetSize(len(s.entries))
}

type report struct {
	from     int
	uses     []quota.Use
	promises []returns.Promise
	run      byte
}

func (s *site) run(lasting time.Duration) {
	var sent []report
	for d := time.Duration(0); d < lasting; d += step {
		if d == 0 || d%(150*time.Millisecond) == s.delay/step*step {
			s.deliver(at(d), sent)
		}
		if d%(150*time.Millisecond) == 0 {
			sent = sent[:0]
			for i, e := range s.entries {
				sent = append(sent, report{i, e.Ledger.OwnUse(at(d)), e.Calendar.Own(at(d)), e.incarnation})
			}
			if d == 0 {
				s.deliver(at(d), sent)
			}
		}
		if s.kill > 0 && d == s.kill {
			for i := 0; i < len(s.entries); i += 3 {
				s.start(i, true)
			}
		}
		if s.beside != nil {
			s.beside(d, s.entries[s.rnd.IntN(len(s.entries))])
		}
		s.arrivals(d)
		for _, c := range s.agenda[d] {
			s.attempt(d, c)
		}
		delete(s.agenda, d)
	}
}

func (s *site) deliver(now time.Time, sent []report) {
	for _, r := range sent {
		for j, to := range s.entries {
			for range s.arrive(r.from, j) {
				if r.from != j {
					to.Ledger.MergeUse(now, fmt.Sprint(r.from), quota.Incarnation{r.run}, r.uses)
					to.Calendar.Merge(now, fmt.Sprint(r.from), r.promises)
				}
			}
		}
	}
}

func (s *site) arrivals(d time.Duration) {
	for class, share := range classes {
		mean := limit.Rate * s.demand(d) * share * step.Seconds() / tokens
		for n := mean + s.rnd.Float64(); n >= 1; n-- {
			s.attempt(d, caller{class: class, first: d, abusive: s.rnd.Float64() < s.abusers})
		}
	}
}

func (s *site) tallyOf(c caller) *tally {
	if c.abusive {
		return &s.abuse
	}
	return &s.kinds[c.class]
}

func (s *site) attempt(d time.Duration, c caller) {
	count := s.tallyOf(c)
	if c.attempt == 0 {
		count.first++
	}
	e := s.entries[s.rnd.IntN(len(s.entries))]
	a := returns.Attempt{Workspace: workspace, Tokens: tokens, Class: quota.Class{Urgency: c.class, Classes: len(classes)}, Waited: d - c.first, Latest: (timeout - (d - c.first)) * 32 / 100, FirstLatest: timeout * 32 / 100}
	var v returns.Decision
	if s.withoutCalendar {
		v.Decision = e.Ledger.TakeClass(at(d), workspace, tokens, a.Class)
	} else {
		v = e.Take(at(d), a)
	}
	if c.booked {
		count.back++
	}
	if v.OK {
		count.served++
		s.admitted[d.Truncate(time.Second)] += tokens
		if c.booked {
			count.backServed++
		}
		return
	}
	if c.attempt > 0 && !c.abusive || c.attempt > 3 {
		return
	}
	wait := v.Delay
	if s.withoutCalendar {
		wait = v.Wait + time.Duration(s.rnd.Float64()*float64(250*time.Millisecond))
	}
	if c.abusive {
		wait = 0
	}
	c.booked, c.attempt = v.Booked && !c.abusive, c.attempt+1
	back := (d + wait + step).Truncate(step)
	s.agenda[back] = append(s.agenda[back], c)
}

// total returns the sum over all classes.
func (s *site) total() (sum tally) {
	for _, k := range s.kinds {
		sum.first, sum.served = sum.first+k.first, sum.served+k.served
		sum.back, sum.backServed = sum.back+k.back, sum.backServed+k.backServed
	}
	return sum
}
