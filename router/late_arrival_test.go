package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ebonypulley/router"
)

// TestBudgetWhenEngineStopsLongerThanWindow guards against repeats of several windows that arrive
// in one, because an engine whose process was stopped reads the requests that its kernel accepted.
func TestBudgetWhenEngineStopsLongerThanWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stopped = 25 * time.Second
		f := newMovingFleet(t, 5, 8)
		stopsAt := time.Now().Add(2 * movingWindow)
		continuesAt := stopsAt.Add(stopped)
		runs := func(e *router.Endpoint) bool {
			return e.ID == "d4" || time.Now().Before(stopsAt) || !time.Now().Before(continuesAt)
		}
		f.endpoints.generateAt = func(ctx context.Context, e *router.Endpoint, c *router.Call) error {
			if runs(e) {
				return f.arrive(c)
			}
			time.AfterFunc(time.Until(continuesAt), func() { _ = f.arrive(c) })
			<-ctx.Done()
			return router.ErrBroken.Wrap(ctx.Err(), "no answer")
		}
		f.endpoints.alive = func(_ context.Context, e *router.Endpoint) error {
			if runs(e) {
				return nil
			}
			return router.ErrUnreachable.New("no answer")
		}
		f.run(2*movingWindow + stopped)
		f.setFailing(true)
		f.run(2 * movingWindow)
		f.check()
	})
}
