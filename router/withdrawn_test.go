package router_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestRefusalReadAsAttemptIsAbandoned guards against an arrival that is not charged because the
// endpoint's refusal is read at the moment the watchdog ends the attempt.
func TestRefusalReadAsAttemptIsAbandoned(t *testing.T) {
	t.Run("prefill", func(t *testing.T) { testRefusalReadLate(t, "p", "prefill") })
	t.Run("generate", func(t *testing.T) { testRefusalReadLate(t, "d", "generate") })
}

// testRefusalReadLate has two endpoints whose IDs begin with stage refuse a step as soon as the
// attempt ends. The third one answers probes.
func testRefusalReadLate(t *testing.T, stage, step string) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(ctx context.Context, e *router.Endpoint) error {
			if !strings.HasPrefix(e.ID, stage) {
				return nil
			}
			<-ctx.Done()
			return router.ErrNotRun.New("full")
		}
		f := &fakeEndpoints{prefill: refuse, connect: refuse, alive: func(_ context.Context, e *router.Endpoint) error {
			if e.ID == stage+"1" || e.ID == stage+"2" {
				return router.ErrUnreachable.New("no answer")
			}
			return nil
		}}
		r := newRouter(f, engine("p1", router.Prefill), engine("p2", router.Prefill), engine("p3", router.Prefill),
			engine("d1", router.Decode), engine("d2", router.Decode), engine("d3", router.Decode))
		r.SetRetryBudget(0, 10*time.Second, 0)
		trainEstimates(r, 1)
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), new(fakeSink))
		assert.NotNil(t, fail)
		assert.Equal(t, 1, count(f.recorded(), step), "arrivals without a budget for repeats")
	})
}
