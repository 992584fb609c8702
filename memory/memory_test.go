package memory_test

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"

	"ebonypulley/memory"
)

// All shares are full at the same moment, and together they exceed what the VM has.
func TestSharesLeaveRoomForTheProcess(t *testing.T) {
	const limit, ownUse = 88e6, 20e6
	b := memory.NewBudget(limit)
	total := int64(0)
	for s := memory.Connections; s <= memory.Peers; s++ {
		for b.Take(s, 1e6) {
			total += 1e6
		}
		assert.LessOrEqual(t, b.Used(s), b.Limit(s))
	}
	assert.LessOrEqual(t, total, int64(limit-ownUse))
}

// A share that is full for a while is reported for each refusal, and its events hide others.
func TestFullShareIsReportedOnce(t *testing.T) {
	b := memory.NewBudget(100e6)
	var full []memory.Share
	b.OnFull = func(s memory.Share) { full = append(full, s) }
	all := b.Limit(memory.Bodies)
	assert.True(t, b.Take(memory.Bodies, all))
	assert.False(t, b.Take(memory.Bodies, 1))
	assert.False(t, b.Take(memory.Bodies, 1))
	assert.Equal(t, []memory.Share{memory.Bodies}, full)
	b.Release(memory.Bodies, all)
	assert.True(t, b.Take(memory.Bodies, all))
	assert.False(t, b.Take(memory.Bodies, 1))
	assert.Len(t, full, 2)
}

// Large requests that stall take the last of a share, and small ones are refused for long.
func TestReserveIsLeft(t *testing.T) {
	b := memory.NewBudget(100e6)
	all := b.Limit(memory.Bodies)
	assert.False(t, b.TakeLeaving(memory.Bodies, all, 1))
	assert.True(t, b.TakeLeaving(memory.Bodies, all-1, 1))
	assert.True(t, b.Take(memory.Bodies, 1))
	assert.Equal(t, memory.Use{Used: all, Limit: all}, b.Uses()["bodies"])
}

// The size of the VM is not known: nothing may be refused, nor the collector hurried.
func TestUnknownLimitBoundsNothing(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	b := memory.NewBudget(0)
	assert.True(t, b.TakeLeaving(memory.Bodies, 1<<40, 1<<40))
	memory.LimitRuntime(0)
	assert.Equal(t, before, debug.SetMemoryLimit(-1))
	var none *memory.Budget
	assert.True(t, none.Take(memory.Peers, 1))
	none.Release(memory.Peers, 1)
	assert.Zero(t, none.Limit(memory.Peers))
}
