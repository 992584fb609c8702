package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/config"
)

// TestDocumentFetches: the peer that was asked for a new document is gone, and the old
// document would stay current. Another peer is asked when the connection is closed, or
// after a timeout. A version that was found invalid is not requested again.
func TestDocumentFetches(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	next := config.Version{Generation: 2}
	var a config.Ask
	assert.True(t, a.Begin(at(0), "a", next))
	assert.False(t, a.Begin(at(time.Second), "a", next))
	assert.False(t, a.Begin(at(time.Second), "b", next))
	a.Lost("b")
	assert.False(t, a.Begin(at(time.Second), "b", next))
	a.Lost("a")
	assert.True(t, a.Begin(at(time.Second), "b", next))
	assert.True(t, a.Begin(at(4*time.Second), "a", next), "b does not answer")
	a.Came("a", config.Stale)
	assert.True(t, a.Begin(at(4*time.Second), "b", next))
	a.Came("b", config.Invalid)
	assert.False(t, a.Begin(at(10*time.Second), "a", next))
	assert.True(t, a.Begin(at(10*time.Second), "a", config.Version{Generation: 3}))
}
