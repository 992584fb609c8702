package membership_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/membership"
	"ebonypulley/wire"
)

func randomState() *rapid.Generator[membership.State] {
	return rapid.Custom(func(t *rapid.T) membership.State {
		return membership.State{
			Incarnation: wire.Incarnation{rapid.Byte().Draw(t, "incarnation") % 4},
			Draining:    rapid.Bool().Draw(t, "draining"),
		}
	})
}

// TestMergeLaws: states that arrive late, repeatedly and in any order yield the same view.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := randomState().Draw(t, "a"), randomState().Draw(t, "b"), randomState().Draw(t, "c")
		assert.Equal(t, membership.Merge(a, b), membership.Merge(b, a), "commutative")
		assert.Equal(t, membership.Merge(a, membership.Merge(b, c)), membership.Merge(membership.Merge(a, b), c), "associative")
		assert.Equal(t, a, membership.Merge(a, a), "idempotent")
		m := membership.Merge(a, b)
		assert.Equal(t, m, membership.Merge(m, a), "monotone")
	})
}

// TestLateStateOfFormerIncarnation guards against a successor that gets no work because the
// last state of its predecessor, which was draining, arrives after the successor's hello.
func TestLateStateOfFormerIncarnation(t *testing.T) {
	v := membership.NewView()
	v.Merge("e", membership.State{Incarnation: wire.Incarnation{1}})
	v.Merge("e", membership.State{Incarnation: wire.Incarnation{2}})
	assert.False(t, v.Merge("e", membership.State{Incarnation: wire.Incarnation{1}, Draining: true}))
	assert.True(t, v.Usable("e"))
	v.SetLeaving([]string{"e"})
	assert.False(t, v.Usable("e"))
}
