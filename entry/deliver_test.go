package entry

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/config"
	"ebonypulley/event"
	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/wire"
)

// listSink keeps what the caller sees.
type listSink struct{ seen []string }

func (s *listSink) tokens(list []string) error       { s.seen = append(s.seen, list...); return nil }
func (s *listSink) finish(string, answerUsage) error { return nil }
func (s *listSink) begun() bool                      { return len(s.seen) > 0 }
func (s *listSink) breakOff(*failure)                {}

// Story: an entry sleeps for five seconds with many drafts under way, all of
// whose leases end. Its retry budget is far too small for them; the drafts are
// begun again all the same, a few times each, while attempts that an endpoint
// lost still draw on the budget.
func TestLostLeasesAreNotRetries(t *testing.T) {
	e := New(Settings{Name: "e"}, event.Nop(), nil)
	for e.retries.Retry() {
		continue
	}
	g := &generation{q: &request{e: e}}
	lease := errLost.New("lease").WithProperty(reasonProperty, wire.LeaseLost)
	engine := errLost.New("engine").WithProperty(reasonProperty, wire.EngineLost)
	assert.False(t, g.mayContinue(0, engine))
	for range freeLeaseLosses {
		assert.True(t, g.mayContinue(0, lease))
	}
	assert.False(t, g.mayContinue(0, lease))
}

// Story: connections are replaced in the middle of an answer; chunks of the
// old and the new one arrive late, again and with overlaps. The caller sees
// each token once and in order.
func TestChunksAreDeliveredOnce(t *testing.T) {
	e := New(Settings{Name: "e"}, event.Nop(), nil)
	rapid.Check(t, func(t *rapid.T) {
		q := &request{e: e, tier: &config.Tier{Name: "paid"}, began: time.Now(), w: httptest.NewRecorder()}
		seen := new(listSink)
		g := &generation{q: q, service: &config.Service{Name: "s"}, sink: seen}
		for range rapid.IntRange(0, 20).Draw(t, "chunks") {
			from := rapid.IntRange(0, len(g.delivered)).Draw(t, "from")
			var tokens []string
			for i := range rapid.IntRange(0, 4).Draw(t, "length") {
				tokens = append(tokens, strconv.Itoa(from+i))
			}
			if from+len(tokens) >= ackEvery {
				break // beyond it an Ack needs a connection
			}
			assert.NoError(t, g.deliver(nil, &wire.Chunk{From: from, Tokens: tokens}, 0))
		}
		for i, token := range seen.seen {
			assert.Equal(t, strconv.Itoa(i), token)
		}
	})
}
