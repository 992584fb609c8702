package router

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/quota"
	"ebonypulley/returns"
)

// quotaRetrySpread is the time over which retries are spread when callers are refused
// together because this process has no share of the limit.
const quotaRetrySpread = 250 * time.Millisecond

// errQuota is returned for a call whose workspace is at its limit.
var errQuota = ErrNotRun.NewSubtype("quota")

// Quotas returns the ledger of workspace and endpoint limits.
func (r *Router) Quotas() *quota.Ledger { return r.quotas }

// quotaClass returns how urgent a call is among those of its workspace: ranks of routes are
// compared among the routes of one service only, and a rank of the workspace applies to all its
// calls alike.
func (r *Router) quotaClass(c *Call) quota.Class {
	class := quota.Class{FixedCost: c.Service.Engine == nil}
	class.Urgency, class.Classes = r.Directory().Urgency(c.Route, c.Service.Name)
	return class
}

// charge counts a call's tokens against the limit of its workspace, or refuses the call.
func (r *Router) charge(c *Call) *Failure {
	r.recordTimeout(c)
	if c.Workspace == nil {
		return nil
	}
	class := r.quotaClass(c)
	limiter := returns.Limiter{Ledger: r.quotas, Calendar: r.calendar}
	v := limiter.Take(time.Now(), returns.Attempt{
		Workspace: c.Workspace.ID, Tokens: c.Tokens, Class: class,
		Waited: r.waited(c), Latest: c.maxRetryDelay(), FirstLatest: maxRetryDelay(r.firstTimeout(c)),
	})
	if v.OK {
		if v.OnTime {
			r.metrics.Add("returns_on_time", 1)
		}
		return nil
	}
	r.recordQuotaRefusal(c, class, v.Decision)
	f := &Failure{
		Reason:     OverQuota,
		RetryAfter: v.Delay,
		Cause:      errQuota.New("workspace %s is at its limit: %d tokens requested, level %.0f, share of the limit %.2f", c.Workspace.Name, c.Tokens, v.Level, v.Share),
	}
	if v.Share == 0 {
		// This process has no share of the limit, and the workspace may be far below it.
		f.Reason, f.RetryAfter = NotRun, min(r.jitter(v.Wait, quotaRetrySpread), c.maxRetryDelay())
		return f
	}
	r.recordReturn(c, "workspace "+c.Workspace.Name, v.Return, v.Delay, v.Booked)
	return f
}

func (r *Router) recordQuotaRefusal(c *Call, class quota.Class, v quota.Decision) {
	r.metrics.Add("quota_refused."+c.Workspace.Name, 1)
	r.metrics.Add(fmt.Sprintf("quota_refused_class.%d", class.Urgency), 1)
	r.log.Emit(event.QuotaRefused, zap.String("request", c.ID), zap.String("workspace", c.Workspace.Name), zap.String("route", c.Route.Name),
		zap.Int("class", class.Urgency), zap.Int("classes", class.Classes), zap.Int("tokens", c.Tokens),
		zap.Float64("level", v.Level), zap.Float64("threshold", v.Threshold), zap.Float64("admitted", v.Admitted), zap.Float64("share", v.Share), zap.Duration("wait", v.Wait))
}

// refund returns the tokens of a call that did not run.
func (r *Router) refund(c *Call, f *Failure) {
	if c.Workspace != nil && f != nil && f.Reason == NotRun {
		r.quotas.Return(time.Now(), c.Workspace.ID, c.Tokens)
	}
}
