package router

import (
	"time"

	"ebonypulley/quota"
)

// quotaRetrySpread is the time over which retries are spread when callers are refused
// together because their workspace is at its limit.
const quotaRetrySpread = 250 * time.Millisecond

// errQuota is returned for a call whose workspace is at its limit.
var errQuota = ErrNotRun.NewSubtype("quota")

// Quotas returns the ledger of workspace and endpoint limits.
func (r *Router) Quotas() *quota.Ledger { return r.quotas }

// charge counts a call's tokens against the limit of its workspace, or refuses the call.
func (r *Router) charge(c *Call) *Failure {
	if c.Workspace == nil {
		return nil
	}
	v := r.quotas.Take(time.Now(), c.Workspace.ID, c.Tokens)
	if v.OK {
		return nil
	}
	r.metrics.Add("quota_refused."+c.Workspace.Name, 1)
	why := OverQuota
	if v.Share == 0 {
		why = NotRun // this process has no share of the limit, and the workspace may be far below it
	}
	return &Failure{
		Reason:     why,
		RetryAfter: min(r.jitter(v.Wait, quotaRetrySpread), time.Duration(maxRetryFraction*float64(c.Timeout))),
		Cause:      errQuota.New("workspace %s is at its limit: %d tokens requested, level %.0f, share of the limit %.2f", c.Workspace.Name, c.Tokens, v.Level, v.Share),
	}
}

// refund returns the tokens of a call that did not run.
func (r *Router) refund(c *Call, f *Failure) {
	if c.Workspace != nil && f != nil && f.Reason == NotRun {
		r.quotas.Return(time.Now(), c.Workspace.ID, c.Tokens)
	}
}
