package wire

import (
	"sync/atomic"

	"ebonypulley/memory"
)

const (
	// ownBuffer is the part of each buffer of a connection, in bytes, that belongs to the
	// connection itself and takes nothing from the budget, so that small frames are never
	// refused.
	ownBuffer = 4 << 10
	// largeBuffer is the size in bytes above which a buffer may only take from the first
	// largeShare of the budget's share. The rest is for small frames: an entry that gets no
	// reports of work overloads engines.
	largeBuffer = 64 << 10
	largeShare  = 0.5
)

// account is what the buffers of one direction of a connection have taken from a budget. Only
// one goroutine at a time may call resize.
type account struct {
	budget *memory.Budget
	taken  atomic.Int64
}

// resize makes the account follow the capacity of the buffers. It returns false, and changes
// nothing, if that does not fit.
func (a *account) resize(capacity int) bool {
	more := int64(max(capacity-ownBuffer, 0)) - a.taken.Load()
	switch {
	case more > 0 && capacity > largeBuffer && !HasRoomForLarge(a.budget, more):
		return false
	case more > 0 && !a.budget.Take(memory.Peers, more):
		return false
	case more < 0:
		a.budget.Release(memory.Peers, -more)
	}
	a.taken.Add(more)
	return true
}

// HasRoomForLarge reports whether a budget has room for more bytes of large frames.
func HasRoomForLarge(b *memory.Budget, more int64) bool {
	limit := b.Limit(memory.Peers)
	return limit <= 0 || float64(b.Used(memory.Peers)+more) <= largeShare*float64(limit)
}

// maxKept returns the size in bytes of the largest buffer to keep for the next frame.
func (a *account) maxKept() int {
	if a.budget == nil {
		return maxKeptBuffer
	}
	return ownBuffer
}
