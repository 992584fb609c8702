package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestEventArrivesDuringProbe guards against a watchdog that reads the time of the last event while
// another one changes it. Only the race detector sees it, and only in real time.
func TestEventArrivesDuringProbe(t *testing.T) {
	f := &fakeEndpoints{events: 6, pause: 350 * time.Millisecond, alive: func(ctx context.Context, _ *router.Endpoint) error {
		<-ctx.Done()
		return router.ErrUnreachable.New("no answer")
	}}
	r := newRouter(f, engine("d1", router.Decode), engine("d2", router.Decode))
	s := new(fakeSink)
	_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), s)
	assert.Nil(t, fail)
	assert.Equal(t, allEvents, s.got)
}
