package router

import (
	"time"

	"ebonypulley/limit"
	"ebonypulley/quota"
)

// SetRetryBudget changes the parameters of the retry budget.
func (r *Router) SetRetryBudget(ratio float64, window time.Duration, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set.RetryRatio == ratio && r.set.RetryWindow == window && r.set.RetrySlack == slack {
		return
	}
	r.set.RetryRatio, r.set.RetryWindow, r.set.RetrySlack = ratio, window, slack
	for _, b := range r.budgets {
		b.SetRatio(ratio, window)
	}
}

func (r *Router) budget(service string) *limit.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = limit.NewRetryBudget(r.set.RetryRatio, r.set.RetryWindow)
		r.budgets[service] = b
	}
	now := time.Now()
	share := r.quotas.FixedShare(now, r.set.RetrySlack, r.set.RetryWindow)
	if last := r.former.lastArrival(now, service); now.Before(last.Add(r.set.RetryWindow)) {
		share = quota.FixedShare{}
	}
	b.SetShare(share.Amount, share.Sole)
	r.showSlack(service, share.Amount)
	return b
}

// showSlack sets the gauge of this entry's share of the slack, in thousandths of a retry. The
// caller holds r.mu.
func (r *Router) showSlack(service string, share float64) {
	value := int64(1000 * share)
	r.metrics.Add("retry_slack_share."+service, value-r.shownSlack[service])
	r.shownSlack[service] = value
}

// chargeRetry charges a service's retry budget for one arrival beyond the first. It returns
// nil if the budget doesn't allow it.
func (r *Router) chargeRetry(service string) *limit.Charge {
	c := r.budget(service).Charge(time.Now())
	if c == nil {
		r.metrics.Add("retries_refused."+service, 1)
		return nil
	}
	r.metrics.Add("retries_charged."+service, 1)
	return c
}

// takeRetry charges a service's retry budget for a retry that arrives at once. It reports
// whether the budget allows it.
func (r *Router) takeRetry(service string) bool {
	c := r.chargeRetry(service)
	c.Arrived(time.Now())
	return c != nil
}

// returnRetry returns the charge of an arrival that did not happen; c may be nil.
func (r *Router) returnRetry(service string, c *limit.Charge) {
	if c == nil {
		return
	}
	c.Return()
	r.metrics.Add("retries_charged."+service, -1)
	r.metrics.Add("retries_returned."+service, 1)
}
