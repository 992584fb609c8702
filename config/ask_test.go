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
	var a config.FetchTracker
	assert.True(t, a.TryStart(at(0), "a", next))
	assert.False(t, a.TryStart(at(time.Second), "a", next))
	assert.False(t, a.TryStart(at(time.Second), "b", next))
	a.PeerLost("b")
	assert.False(t, a.TryStart(at(time.Second), "b", next))
	a.PeerLost("a")
	assert.True(t, a.TryStart(at(time.Second), "b", next))
	assert.True(t, a.TryStart(at(4*time.Second), "a", next), "b does not answer")
	a.Received("a", config.Stale)
	assert.True(t, a.TryStart(at(4*time.Second), "b", next))
	a.Received("b", config.Invalid)
	assert.False(t, a.TryStart(at(10*time.Second), "a", next))
	assert.True(t, a.TryStart(at(10*time.Second), "a", config.Version{Generation: 3}))
}
