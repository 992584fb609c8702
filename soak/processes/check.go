package processes

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ebonypulley/standin"
)

// countOutcome counts how a request ended.
func (r *run) countOutcome(resp *http.Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	switch {
	case err != nil:
		r.report.Cut++
	case resp.StatusCode == http.StatusOK:
		r.report.Answered++
	case resp.StatusCode == http.StatusServiceUnavailable:
		r.report.Refused++
	default:
		r.report.Other++
	}
}

// recordNotRun records that a request was reported to its caller as not run.
func (r *run) recordNotRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun = append(r.notRun, id)
}

// recordAtMostOnce records a request that must not run more than once.
func (r *run) recordAtMostOnce(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.atMostOnce = append(r.atMostOnce, id)
}

// checkExecutions checks, after the run, that no request reported as not run
// ran, and that no request ran more often than it may.
func (r *run) checkExecutions() {
	for _, id := range r.notRun {
		if r.executions.count(id) > 0 {
			r.violation("request %s was reported as not run, but ran", id)
		}
	}
	for _, id := range r.atMostOnce {
		if n := r.executions.count(id); n > 1 {
			r.violation("request %s may run at most once, but ran %d times", id, n)
		}
	}
}

// abortTimeout is how long a worker may continue a request after its caller has
// disconnected.
const abortTimeout = 1500 * time.Millisecond

// checkAborted checks that workers abort a request whose caller has disconnected.
func (r *run) checkAborted(e *entry, id string, disconnectedAt time.Time, process int) {
	r.wg.Go(func() {
		time.Sleep(abortTimeout)
		if r.executions.isRunning(id) && e.undisturbedSince(disconnectedAt.Add(-faultAftermath), process) && r.faultFreeSince(disconnectedAt.Add(-faultAftermath)) {
			r.violation("a worker still runs %s, %s after its caller disconnected from %s", id, abortTimeout, e.name)
		}
	})
}

// checkRecovered checks that every entry serves the newest route once all faults
// are over.
func (r *run) checkRecovered(ctx context.Context) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	path := fmt.Sprintf("/v%d/", r.version.Load())
	for _, e := range r.entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+path, http.NoBody)
		if err != nil {
			r.violation("request: %v", err)
			continue
		}
		req.Host = "app.example"
		standin.SetClientHeaders(req.Header, attemptID("recovered-"+e.name, identity{workspace: school}), callerTimeout)
		standin.SetWorkspaceKey(req.Header, schoolKey)
		resp, err := client.Do(req)
		if err != nil {
			r.violation("%s does not answer %s after the last fault: %v", e.name, recoveryTime, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			r.violation("%s answers %d for the newest route, %s after the last fault", e.name, resp.StatusCode, recoveryTime)
		}
	}
}
