package revision_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/revision"
)

// TestOrderAcrossEras guards against a count that is assigned again and taken for the earlier
// one, and against fencing numbers that decrease when the store is restored from a backup, so
// that orders are refused.
func TestOrderAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) revision.Revision {
			return revision.Revision{Era: rapid.Uint64Range(0, 3).Draw(t, name+" era"), Count: rapid.Uint64Range(0, 1<<31).Draw(t, name+" count")}
		}
		a, b := draw("a"), draw("b")
		assert.Equal(t, a.Compare(b), -b.Compare(a))
		assert.Equal(t, a.Era > b.Era || a.Era == b.Era && a.Count > b.Count, a.After(b))
		assert.Equal(t, a.After(b), a.Ordinal() > b.Ordinal())
		assert.False(t, a.After(revision.Max(a, b)))
	})
}
