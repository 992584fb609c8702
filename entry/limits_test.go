package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ebonypulley/config"
	_ "ebonypulley/internal/fixedseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEntriesLimits returns the limits of n entries that share one workspace.
func newEntriesLimits(n int, w config.Workspace) (all []*limits) {
	doc := &config.Document{Workspaces: []config.Workspace{w}, Entries: make([]config.Entry, n)}
	for range n {
		l := newLimits(epoch)
		l.apply(doc)
		all = append(all, l)
	}
	return all
}

// Guards against entries that together admit more than a workspace's limit over
// the elapsed time, plus one burst and one request per entry, in any order of
// arrivals; and against refusals without a Retry-After.
func TestWorkspaceShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 6
		w := config.Workspace{Name: "w", RequestsPerSecond: 60}
		all := newEntriesLimits(entries, w)
		now, admitted := epoch, 0
		for range rapid.IntRange(100, 2000).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			l := all[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			f := l.admit(now, &w)
			if f == nil {
				admitted++
				l.release(&w)
			} else if f.status != http.StatusTooManyRequests || f.retryAfter <= 0 {
				t.Fatal("refused without a Retry-After")
			}
		}
		assert.LessOrEqual(t, float64(admitted), 60*now.Sub(epoch).Seconds()+60+entries)
	})
}

func TestWorkspaceConcurrency(t *testing.T) {
	w := config.Workspace{Name: "w", MaxConcurrent: 4}
	l := newEntriesLimits(2, w)[0]
	assert.Nil(t, l.admit(epoch, &w))
	assert.Nil(t, l.admit(epoch, &w))
	assert.NotNil(t, l.admit(epoch, &w))
	l.release(&w)
	assert.Nil(t, l.admit(epoch, &w))
}

// Guards against a workspace that generates more tokens than its limit, and
// against generations that did not run but still use the limit up.
func TestWorkspaceTokens(t *testing.T) {
	w := config.Workspace{Name: "w", TokensPerSecond: 1000}
	l := newEntriesLimits(1, w)[0]
	for range 100 {
		require.Nil(t, l.spend(epoch, &w, 900))
		l.refund(epoch, &w, 900)
	}
	admitted := 0
	for ms := range 10_000 {
		if l.spend(epoch.Add(time.Duration(ms)*time.Millisecond), &w, 100) == nil {
			admitted += 100
		}
	}
	assert.LessOrEqual(t, admitted, 11_000+100)
	assert.GreaterOrEqual(t, admitted, 9_500)
}
