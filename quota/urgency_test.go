package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/quota"
)

// kind is one kind of requests in a mix, with its share of the tokens asked for.
type kind struct {
	class  quota.Class
	tokens int
	share  float64
}

const (
	plainKind = iota
	urgentKind
	middleKind
	otherKind
)

// mix is the load of a workspace with small plain calls and drafts of three ranks.
func mix() []kind {
	return []kind{
		plainKind:  {quota.Class{Classes: 3, FixedCost: true}, 200, 0.14},
		urgentKind: {quota.Class{Classes: 3}, 4800, 0.21},
		middleKind: {quota.Class{Urgency: 1, Classes: 3}, 4800, 0.37},
		otherKind:  {quota.Class{Urgency: 2, Classes: 3}, 4800, 0.28},
	}
}

// mixedLoad sends a mix to the entries of a fleet.
type mixedLoad struct {
	*fleet
	kinds []kind
	// factor is the demand as a multiple of the limit, lost the fraction of reports lost.
	factor, lost float64
	rnd          *rand.Rand
	// kill says when every third entry is restarted.
	kill func(time.Duration) bool
}

func newMixedLoad(entries int, l quota.Limit, factor float64, kinds []kind) *mixedLoad {
	return &mixedLoad{fleet: newFleet(entries, l), kinds: kinds, factor: factor, rnd: rand.New(rand.NewPCG(5, 5))}
}

// run returns the tokens asked for and admitted of each kind from some time on. What entries
// know of each other is 150 ms old on average.
func (m *mixedLoad) run(from, to time.Duration) (asked, admitted []float64) {
	const step, interval, delay = 5 * time.Millisecond, 150 * time.Millisecond, 75 * time.Millisecond
	asked, admitted = make([]float64, len(m.kinds)), make([]float64, len(m.kinds))
	rate := m.limits[workspace].Rate
	m.exchangeUse(start)
	var sent []useReport
	for d := time.Duration(0); d < to; d += step {
		switch d % interval {
		case 0:
			sent = m.reports(at(d))
		case delay:
			m.deliver(at(d), sent)
		}
		if m.kill != nil && m.kill(d) {
			for i := 0; i < len(m.entries); i += 3 {
				m.restart(i, true)
				m.entries[i].SetFleetSize(len(m.entries))
			}
		}
		for i, k := range m.kinds {
			for range poisson(m.rnd, rate*m.factor*k.share*step.Seconds()/float64(k.tokens)) {
				ok := m.entries[m.rnd.IntN(len(m.entries))].TakeClass(at(d), workspace, k.tokens, k.class).OK
				if ok {
					m.admitted = append(m.admitted, admission{at(d), k.tokens})
				}
				if d < from {
					continue
				}
				asked[i] += float64(k.tokens)
				if ok {
					admitted[i] += float64(k.tokens)
				}
			}
		}
	}
	return asked, admitted
}

// useReport is a report on its way.
type useReport struct {
	from        string
	incarnation quota.Incarnation
	uses        []quota.Use
}

func (m *mixedLoad) reports(now time.Time) (sent []useReport) {
	for _, e := range m.entries {
		sent = append(sent, useReport{e.name, quota.Incarnation{byte(e.incarnation)}, e.OwnUse(now)})
	}
	return sent
}

func (m *mixedLoad) deliver(now time.Time, sent []useReport) {
	for _, r := range sent {
		for _, to := range m.entries {
			if to.name != r.from && m.rnd.Float64() >= m.lost {
				to.MergeUse(now, r.from, r.incarnation, r.uses)
			}
		}
	}
}

// TestUrgencyFarAboveLimit: a workspace sends four times its limit, and what entries know of
// each other is 150 ms old, one report in twenty lost. Plain calls and the most urgent drafts
// get nearly all tokens.
func TestUrgencyFarAboveLimit(t *testing.T) {
	const nearlyAll = 0.9
	for _, entries := range []int{5, 24, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			m := newMixedLoad(entries, limit, 4, mix())
			m.lost = 0.05
			asked, admitted := m.run(4*time.Second, 12*time.Second)
			total := 0.0
			for i := range asked {
				total += admitted[i]
				t.Logf("kind %d: %.3f served", i, admitted[i]/asked[i])
			}
			allowed := limit.Rate * 8
			t.Logf("%.3f of the limit used, %.2f of what is tolerated", total/allowed, float64(m.maxAdmitted(tolerance.Window))/tolerated(limit))
			assert.GreaterOrEqual(t, admitted[plainKind]/asked[plainKind], 0.95)
			assert.GreaterOrEqual(t, (admitted[plainKind]+admitted[urgentKind])/total, nearlyAll)
			assert.InEpsilon(t, allowed, total, 0.1)
			assert.LessOrEqual(t, float64(m.maxAdmitted(tolerance.Window)), tolerated(limit))
		})
	}
}

// TestMostUrgentAtTwiceTheLimit: a workspace sends drafts of three ranks, twice its limit
// together. The most urgent ones alone are below the limit and nearly all served.
func TestMostUrgentAtTwiceTheLimit(t *testing.T) {
	for _, entries := range []int{5, 24} {
		m := newMixedLoad(entries, limit, 2, mix()[urgentKind:])
		for i, share := range []float64{0.25, 0.4, 0.35} {
			m.kinds[i].share = share
		}
		asked, admitted := m.run(2*time.Second, 22*time.Second)
		t.Logf("%d entries: %.3f, %.3f and %.3f served", entries, admitted[0]/asked[0], admitted[1]/asked[1], admitted[2]/asked[2])
		assert.GreaterOrEqual(t, admitted[0]/asked[0], 0.99)
	}
}

// TestClassesBelowLimit: nobody is refused below the limit, the least urgent drafts included.
func TestClassesBelowLimit(t *testing.T) {
	m := newMixedLoad(24, limit, 0.6, mix())
	asked, admitted := m.run(0, 20*time.Second)
	assert.Equal(t, asked, admitted)
}

// TestClassesWithinTolerance: whichever kind a workspace sends at eight times its limit, all
// entries together stay within what is tolerated, also when they are partitioned halfway, and
// even if all callers return on time.
func TestClassesWithinTolerance(t *testing.T) {
	classes := []quota.Class{{Classes: 3}, {Urgency: 1, Classes: 3}, {Urgency: 2, Classes: 3}, {Urgency: 2, Classes: 3, Returning: true}}
	for _, l := range []quota.Limit{limit, largeLimit} {
		for _, class := range classes {
			for _, partitions := range []int{1, 9} {
				f := runClass(l, class, partitions)
				most := float64(f.maxAdmitted(tolerance.Window)) / tolerated(l)
				t.Logf("%.0f a second, %+v, %d partitions: %.2f of what is tolerated", l.Rate, class, partitions, most)
				assert.LessOrEqual(t, most, 1.0)
				assert.GreaterOrEqual(t, float64(f.total(at(2*time.Second))), 0.9*l.Rate*18)
			}
		}
	}
}

// runClass sends eight times a limit to 27 entries, which are partitioned after ten seconds.
func runClass(l quota.Limit, class quota.Class, partitions int) *fleet {
	f := newFleet(27, l)
	const step, interval, parted = 5 * time.Millisecond, 150 * time.Millisecond, 10 * time.Second
	tokens := int(l.Rate * 8 * step.Seconds())
	for d := time.Duration(0); d < 2*parted; d += step {
		if d%interval == 0 {
			f.exchangeUseWithin(at(d), func(i int) int { return i % partitions * int(d/parted) })
		}
		if f.entries[int(d/step*7)%27].TakeClass(at(d), workspace, tokens, class).OK {
			f.admitted = append(f.admitted, admission{at(d), tokens})
		}
	}
	return f
}

// TestReturningIsRefusedLast: where nothing is tolerated beyond the limit, a less urgent caller
// that returns on time is admitted from a bucket that is almost empty, and less of the rate is
// left to its class than to the more urgent one that emptied it.
func TestReturningIsRefusedLast(t *testing.T) {
	e := newFleetWithTolerance(1, limit, quota.Tolerance{}).entries[0]
	urgent, other := quota.Class{Classes: 3}, quota.Class{Urgency: 2, Classes: 3}
	assert.InDelta(t, limit.Rate, e.TakeClass(start, workspace, 43_000, urgent).Rate, 1)
	refused := e.TakeClass(start, workspace, 200, other)
	assert.False(t, refused.OK)
	assert.Less(t, refused.Rate, limit.Rate/10)
	other.Returning = true
	assert.True(t, e.TakeClass(start, workspace, 200, other).OK)
}

// TestOneClassDecidesAsBefore: requests that are all alike are refused exactly as without
// classes.
func TestOneClassDecidesAsBefore(t *testing.T) {
	with, without := newFleet(1, limit).entries[0], newFleet(1, limit).entries[0]
	for d := time.Duration(0); d < 5*time.Second; d += 10 * time.Millisecond {
		class := quota.Class{Classes: 1, FixedCost: true}
		assert.Equal(t, without.Take(at(d), workspace, 1000), with.TakeClass(at(d), workspace, 1000, class))
	}
}

// TestUrgencyAfterEntriesAreKilled: a third of the entries is killed while a workspace sends
// four times its limit, and starts again with another level than the others. More urgent kinds
// still go first.
func TestUrgencyAfterEntriesAreKilled(t *testing.T) {
	m := newMixedLoad(24, limit, 4, mix())
	m.lost, m.kill = 0.05, func(d time.Duration) bool { return d == 5*time.Second }
	asked, admitted := m.run(6*time.Second, 16*time.Second)
	for i := range asked {
		t.Logf("kind %d: %.3f served", i, admitted[i]/asked[i])
		if i > 0 {
			assert.GreaterOrEqual(t, admitted[i-1]/asked[i-1], admitted[i]/asked[i], i)
		}
	}
	assert.LessOrEqual(t, float64(m.maxAdmitted(tolerance.Window)), tolerated(limit))
}
