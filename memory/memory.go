// Package memory divides the memory of a process among its parts, so that none of them
// alone, and not all of them together, can exceed the memory limit of the VM.
//
// What the kernel ends for its memory loses all that it has in hand. Each part therefore
// takes memory from its share before it accepts work, and refuses work that does not fit. It
// does no I/O.
package memory

import (
	"runtime/debug"
	"sync"
)

// Share is a part of the process that takes memory.
type Share uint8

const (
	// Connections are the connections of callers, with their goroutines and buffers.
	Connections Share = iota
	// Bodies are the bodies of requests, from their first byte until their answer has ended.
	Bodies
	// Answers are buffered answers.
	Answers
	// Peers are the frames that are queued for other processes.
	Peers
	shares
)

var shareNames = [shares]string{"connections", "bodies", "answers", "peers"}

// String returns the name of the share, as in metrics and logs.
func (s Share) String() string { return shareNames[s] }

// fractions is the part of the memory limit that each share may take. The rest is for the
// process itself, the published configuration and the garbage that is not collected yet.
var fractions = [shares]float64{Connections: 0.25, Bodies: 0.12, Answers: 0.08, Peers: 0.08}

// largeFraction is the part of a share that large requests may use, so that those which
// stall don't keep out ordinary ones.
const largeFraction = 0.75

// runtimeFraction is the part of the memory limit from which on the garbage collector works
// harder rather than let the process grow. The rest is for the memory that the Go runtime
// does not account for: the binary, and what the kernel holds for sockets.
const runtimeFraction = 0.75

// LimitRuntime makes the garbage collector keep a process within its memory limit in bytes;
// zero changes nothing. It returns the previous setting.
func LimitRuntime(limit int64) int64 {
	soft := int64(-1) // only reads the setting
	if limit > 0 {
		soft = int64(runtimeFraction * float64(limit))
	}
	return debug.SetMemoryLimit(soft)
}

// Budget holds what the shares use. It is safe for concurrent use; a nil Budget has no limits.
type Budget struct {
	// OnFull, if set, is called when a share refuses memory after it had room.
	OnFull func(s Share)

	mu     sync.Mutex
	limits [shares]int64
	used   [shares]int64
	full   [shares]bool
}

// NewBudget returns a budget for a process with a memory limit in bytes; zero means no limit.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	for s, f := range fractions {
		b.limits[s] = int64(f * float64(limit))
	}
	return b
}

// LimitUnknown limits a share to n bytes if it has no limit. It must not be called once the
// budget is in use.
func (b *Budget) LimitUnknown(s Share, n int64) {
	if b.limits[s] == 0 {
		b.limits[s] = n
	}
}

// Take takes n bytes for a share. It returns false, and takes nothing, if they don't fit.
func (b *Budget) Take(s Share, n int64) bool { return b.take(s, n, 1) }

// TakeLarge takes n bytes for a share if some of it is left for small requests then.
func (b *Budget) TakeLarge(s Share, n int64) bool { return b.take(s, n, largeFraction) }

// TakeAlways takes n bytes for a share, whether or not they fit: for what has arrived already.
func (b *Budget) TakeAlways(s Share, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.used[s] += n
	first := b.note(s, b.limits[s] <= 0 || b.used[s] <= b.limits[s])
	b.mu.Unlock()
	b.report(s, first)
}

// Exceeded reports whether a share uses more than its limit.
func (b *Budget) Exceeded(s Share) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits[s] > 0 && b.used[s] > b.limits[s]
}

// take takes n bytes for a share if it uses no more than a fraction of its limit then.
func (b *Budget) take(s Share, n int64, fraction float64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	limit := b.limits[s]
	ok := limit <= 0 || b.used[s]+n <= int64(fraction*float64(limit))
	if ok {
		b.used[s] += n
	}
	first := b.note(s, ok)
	b.mu.Unlock()
	b.report(s, first)
	return ok
}

// note notes whether a share had room, and reports whether it has none for the first time. The
// caller holds b.mu.
func (b *Budget) note(s Share, room bool) bool {
	first := !room && !b.full[s]
	b.full[s] = !room
	return first
}

func (b *Budget) report(s Share, first bool) {
	if first && b.OnFull != nil {
		b.OnFull(s)
	}
}

// Release returns n bytes that were taken for a share.
func (b *Budget) Release(s Share, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[s] -= n
}

// Used returns the bytes that a share has taken.
func (b *Budget) Used(s Share) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[s]
}

// Limit returns the bytes that a share may take; zero means no limit.
func (b *Budget) Limit(s Share) int64 {
	if b == nil {
		return 0
	}
	return b.limits[s]
}

// Use is what a share uses, in bytes; a Limit of zero means none.
type Use struct {
	Used  int64 `json:"used"`
	Limit int64 `json:"limit"`
}

// Uses returns what each share uses, by name.
func (b *Budget) Uses() map[string]Use {
	uses := make(map[string]Use, shares)
	for s := range shares {
		uses[s.String()] = Use{Used: b.Used(s), Limit: b.Limit(s)}
	}
	return uses
}
