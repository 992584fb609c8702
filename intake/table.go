// Package intake bounds the connections that a process accepts from its callers, by number
// and by how far the process is behind with its work.
package intake

import "container/list"

// Table knows which connections are open and which of them are idle. It does no I/O and is
// not safe for concurrent use.
type Table[K comparable] struct {
	max  int
	open map[K]*list.Element // nil unless the connection is idle
	idle *list.List          // of K, the one that has been idle longest first
}

// NewTable returns a table of at most max connections; zero means no limit.
func NewTable[K comparable](max int) *Table[K] {
	return &Table[K]{max: max, open: make(map[K]*list.Element), idle: list.New()}
}

// Full reports whether the table has as many connections as it may have.
func (t *Table[K]) Full() bool { return t.max > 0 && len(t.open) >= t.max }

// Add adds a new connection, which is not idle before its first request.
func (t *Table[K]) Add(k K) { t.open[k] = nil }

// Evict removes the connection that has been idle longest and returns it. It returns false
// if none is idle.
func (t *Table[K]) Evict() (k K, ok bool) {
	oldest := t.idle.Front()
	if oldest == nil {
		return k, false
	}
	k = oldest.Value.(K)
	t.Remove(k)
	return k, true
}

// SetIdle marks a connection as idle from now on, or as busy. It ignores a connection that
// is not in the table.
func (t *Table[K]) SetIdle(k K, idle bool) {
	e, ok := t.open[k]
	switch {
	case ok && idle && e == nil:
		t.open[k] = t.idle.PushBack(k)
	case ok && !idle && e != nil:
		t.idle.Remove(e)
		t.open[k] = nil
	}
}

// Remove removes a connection and reports whether it was in the table.
func (t *Table[K]) Remove(k K) bool {
	e, ok := t.open[k]
	if e != nil {
		t.idle.Remove(e)
	}
	delete(t.open, k)
	return ok
}

// Len returns the number of connections.
func (t *Table[K]) Len() int { return len(t.open) }
