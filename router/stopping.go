package router

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// isStopping reports whether a call's context has ended because this process stops.
func isStopping(ctx context.Context) bool {
	return ctx.Err() != nil && errorx.IsOfType(context.Cause(ctx), ErrStopping)
}

// callerGone reports whether a call's context has ended because its caller has disconnected.
func callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isStopping(ctx)
}

// UsualDuration returns how long calls of this kind usually last at their service, zero if that is
// unknown, or no matter because a stream that is cut goes on elsewhere.
func (r *Router) UsualDuration(c *Call) time.Duration {
	switch {
	case c.Route.Kind != Generation:
		return r.loads.CallTime(c.Service.Name, c.Route.LatencyTarget).Mean
	case c.Route.Resumable:
		return 0
	}
	m := r.loads.EngineModel(c.Service)
	if m.MeanTokens() == 0 {
		return 0
	}
	return m.AnswerDuration(c.Timeout)
}
