package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/quota"
)

var endpoint = quota.EndpointID("e")

func counted(l *quota.Ledger, now time.Time) bool { return l.Take(now, endpoint, 0).Counted }

// TestLimitIsNotEndedByAnOlderAnswer: an answer that was under way before an endpoint named its
// limit comes after the one that names it, and ends the limit.
func TestLimitIsNotEndedByAnOlderAnswer(t *testing.T) {
	l := quota.NewLedger(quota.Settings{})
	l.SetEntries(1)
	l.State(at(time.Second), at(900*time.Millisecond), quota.Statement{Endpoint: endpoint, Named: true, PerSecond: 2})
	l.State(at(1100*time.Millisecond), at(950*time.Millisecond), quota.Statement{Endpoint: endpoint})
	assert.True(t, counted(l, at(1200*time.Millisecond)))
	l.State(at(1300*time.Millisecond), at(1200*time.Millisecond), quota.Statement{Endpoint: endpoint})
	assert.False(t, counted(l, at(1400*time.Millisecond)))
}

// TestStatementsInAnyOrder: what endpoints said is told late, twice and in any order. The newest
// statement holds.
func TestStatementsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quota.NewLedger(quota.Settings{})
		l.SetEntries(2)
		newest, named := -1, false
		now := at(time.Minute)
		for _, second := range rapid.SliceOfN(rapid.IntRange(0, 30), 1, 40).Draw(t, "seconds") {
			s := quota.Statement{Endpoint: endpoint, Named: second%3 != 0, PerSecond: float64(second), Age: time.Minute - time.Duration(second)*time.Second}
			l.HearStatements(now, []quota.Statement{s})
			if second > newest {
				newest, named = second, s.Named
			}
		}
		assert.Equal(t, named, counted(l, now))
	})
}

// TestLimitOfNothing: an endpoint takes nothing at all, and nobody learns when that is over.
func TestLimitOfNothing(t *testing.T) {
	l := quota.NewLedger(quota.Settings{})
	l.SetEntries(1)
	l.State(start, start, quota.Statement{Endpoint: endpoint, Named: true})
	sent := 0
	for d := time.Duration(0); d < time.Minute; d += 50 * time.Millisecond {
		if l.Take(at(d), endpoint, 1).OK {
			sent++
		}
	}
	assert.Positive(t, sent)
	assert.LessOrEqual(t, sent, 12, "one in 4 s is far below what is tolerated")
}

// TestUnheardKeepsALimit: an entry that was restarted and hears nobody must not send an endpoint
// that names a limit anything, for as many as there are may do the same; it sends to others, and
// to this one as soon as it hears of anybody.
func TestUnheardKeepsALimit(t *testing.T) {
	l := quota.NewLedger(quota.Settings{EndpointTolerance: quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5}, Restarted: true})
	limited, other := quota.EndpointID("limited"), quota.EndpointID("other")
	l.HearStatements(start, []quota.Statement{{Endpoint: limited, Named: true, PerSecond: 2}})
	assert.False(t, l.Take(start, limited, 1).OK)
	assert.True(t, l.Take(start, other, 1).OK)
	l.SetEntries(2)
	assert.True(t, l.Take(start, limited, 1).OK)
}
