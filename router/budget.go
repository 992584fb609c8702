package router

import (
	"time"

	"ebonypulley/limit"
)

// SetRetryBudget changes the parameters of the retry budget.
func (r *Router) SetRetryBudget(ratio float64, window time.Duration, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set.RetryRatio == ratio && r.set.RetryWindow == window && r.set.RetrySlack == slack {
		return
	}
	r.set.RetryRatio, r.set.RetryWindow, r.set.RetrySlack = ratio, window, slack
	for service := range r.budgets {
		r.budgets[service] = r.newBudget()
	}
}

func (r *Router) newBudget() *limit.RetryBudget {
	return limit.NewRetryBudget(r.set.RetryRatio, r.set.RetryWindow)
}

func (r *Router) budget(service string) *limit.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = r.newBudget()
		r.budgets[service] = b
	}
	b.SetSlack(r.quotas.FixedShare(time.Now(), r.set.RetrySlack, r.set.RetryWindow))
	return b
}

// takeRetry charges a service's retry budget for one arrival beyond the first. It reports
// whether the budget allows it.
func (r *Router) takeRetry(service string) bool {
	if !r.budget(service).TakeRetry(time.Now()) {
		r.metrics.Add("retries_refused."+service, 1)
		return false
	}
	r.metrics.Add("retries_charged."+service, 1)
	return true
}

// returnRetry returns a charge for an arrival that did not happen.
func (r *Router) returnRetry(service string) {
	r.metrics.Add("retries_charged."+service, -1)
	r.budget(service).ReturnRetry(time.Now())
}
