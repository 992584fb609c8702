package wire

import "ebonypulley/memory"

// ownBuffer is the part of each buffer of a connection, in bytes, that belongs to the
// connection itself and takes nothing from the budget, so that small frames are never refused.
const ownBuffer = 4 << 10

// account is what the buffers of one direction of a connection have taken from a budget. It
// is not safe for concurrent use.
type account struct {
	budget *memory.Budget
	taken  int64
}

// resize makes the account follow the capacity of the buffers. It returns false, and changes
// nothing, if that does not fit.
func (a *account) resize(capacity int) bool {
	more := int64(max(capacity-ownBuffer, 0)) - a.taken
	if more > 0 && !a.budget.Take(memory.Peers, more) {
		return false
	}
	if more < 0 {
		a.budget.Release(memory.Peers, -more)
	}
	a.taken += more
	return true
}

// maxKept returns the size in bytes of the largest buffer to keep for the next frame.
func (a *account) maxKept() int {
	if a.budget == nil {
		return maxKeptBuffer
	}
	return ownBuffer
}
