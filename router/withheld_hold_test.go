package router_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// holdingEndpoints records for how long a reservation was asked for, and when it was used.
type holdingEndpoints struct {
	*fakeEndpoints
	hold           time.Duration
	reserved, used time.Time
	resultBy       time.Time
}

func (h *holdingEndpoints) Reserve(_ context.Context, e *router.Endpoint, _ *router.Call, ask router.ReserveRequest) (*router.Reservation, error) {
	h.hold, h.reserved = ask.Hold, time.Now()
	return &router.Reservation{Endpoint: e}, nil
}

func (h *holdingEndpoints) Generate(ctx context.Context, e *router.Endpoint, c *router.Call, s router.Start) (router.Stream, error) {
	h.used = time.Now()
	if s.Result != nil {
		h.resultBy = s.Result.Expiry
	}
	return h.fakeEndpoints.Generate(ctx, e, c, s)
}

// TestReservationOutlastsTheWaitUntilAllHaveHeard guards against memory that is reserved for less time
// than the stream may wait until all entries have heard of it: the engine gives it to others, and the
// prompt was prefilled in vain.
func TestReservationOutlastsTheWaitUntilAllHaveHeard(t *testing.T) {
	const heard = 390 * time.Millisecond
	for name, prefills := range map[string]bool{"alone": false, "prefilled elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := engine("a", router.Decode), engine("b", router.Decode)
				own.SoftwareVersion, other.SoftwareVersion = "v1", "v2"
				endpoints := []*router.Endpoint{own, other}
				if prefills {
					endpoints = append(endpoints, engine("p", router.Prefill))
				}
				f := &holdingEndpoints{fakeEndpoints: new(fakeEndpoints)}
				f.setDefaults()
				r := newRouterOf(f, endpoints...)
				r.Releases().ExpectOthers()
				r.Loads().Begin("a", router.Load{KVTokens: llm.Engine.KVCapacity})
				r.Loads().Begin("b", router.Load{KVTokens: llm.Engine.KVCapacity * 6 / 10})
				time.AfterFunc(heard, func() { r.Releases().SetHeard(r.Releases().LatestSeq()) })
				call := newCall(resumableRoute, llm)
				call.PromptTokens = 100
				trainEstimates(r, 1)
				for n := 0; r.Releases().Preferred("llm", call.ID) != "v1"; n++ {
					call.ID = fmt.Sprint(n)
				}
				_, fail := r.Generate(t.Context(), call, new(fakeSink))
				assert.Nil(t, fail)
				t.Logf("reserved for %v, used after %v; result left %v", f.hold, f.used.Sub(f.reserved), f.resultBy.Sub(f.used))
				assert.False(t, f.reserved.IsZero())
				assert.LessOrEqual(t, f.used.Sub(f.reserved), f.hold)
				time.Sleep(time.Hour)
			})
		})
	}
}
