package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"ebonypulley/config"
	"ebonypulley/quota"
)

// concurrencyRetryAfter is the Retry-After for a caller whose workspace has too
// many requests in progress.
const concurrencyRetryAfter = time.Second

// limits enforces the limits of workspaces. Entries do not report to each other
// what they admit, so each declared entry gets an equal share of a limit.
type limits struct {
	quotas *quota.Ledger

	mu      sync.Mutex
	entries int
	running map[string]int
}

func newLimits(now time.Time) *limits {
	return &limits{
		quotas:  quota.NewLedger(quota.Settings{Started: now, Restarted: true, SingleEntry: true, Seed: rand.Uint64()}),
		entries: 1, running: make(map[string]int),
	}
}

// requestsID and tokensID return the quota IDs of a workspace's requests and
// tokens.
func requestsID(workspace string) quota.ID { return quota.NewID("requests of " + workspace) }

func tokensID(workspace string) quota.ID { return quota.NewID("tokens of " + workspace) }

// apply sets the limits of a configuration document. The burst of each limit is
// one second's worth.
func (l *limits) apply(doc *config.Document) {
	known := make(map[quota.ID]quota.Limit)
	for _, w := range doc.Workspaces {
		known[requestsID(w.Name)] = quota.Limit{Rate: w.RequestsPerSecond, Burst: w.RequestsPerSecond}
		known[tokensID(w.Name)] = quota.Limit{Rate: w.TokensPerSecond, Burst: w.TokensPerSecond}
	}
	l.quotas.SetLimits(known)
	l.quotas.SetFleetSize(max(len(doc.Entries), 1))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(len(doc.Entries), 1)
}

// admit counts a request against its workspace's limits. If it returns nil, the
// caller must call release once.
func (l *limits) admit(now time.Time, w *config.Workspace) *failure {
	if !l.acquire(w) {
		return limited(concurrencyRetryAfter)
	}
	if v := l.quotas.Take(now, requestsID(w.Name), 1); !v.OK {
		l.release(w)
		return limited(v.Wait)
	}
	return nil
}

// acquire counts a request in progress and reports whether the workspace may
// have one more.
func (l *limits) acquire(w *config.Workspace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.MaxConcurrent > 0 && l.running[w.Name] >= max(1, w.MaxConcurrent/l.entries) {
		return false
	}
	l.running[w.Name]++
	return true
}

// release ends a request that acquire counted.
func (l *limits) release(w *config.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[w.Name]--
	if l.running[w.Name] <= 0 {
		delete(l.running, w.Name)
	}
}

// spend counts the prompt and output tokens of a generation.
func (l *limits) spend(now time.Time, w *config.Workspace, tokens int) *failure {
	if v := l.quotas.Take(now, tokensID(w.Name), tokens); !v.OK {
		return limited(v.Wait)
	}
	return nil
}

// refund returns the tokens of a generation that did not run.
func (l *limits) refund(now time.Time, w *config.Workspace, tokens int) {
	l.quotas.Return(now, tokensID(w.Name), tokens)
}
