package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/config"
)

// TestAsk: a document of an hour ago stays in force because the one peer that was
// asked for the new one is gone. The next one is asked when its connection ends,
// or after a while; a document that can't be put in force here is asked for once.
func TestAsk(t *testing.T) {
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
