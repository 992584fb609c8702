package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ebonypulley/config"
)

// Workspaces applies each workspace's limits at one entry. The entry's share
// is the limit divided by the number of declared entries, so that all
// entries together never admit more than the limit plus their bursts,
// whatever they can see of each other.
type Workspaces struct {
	mu      sync.Mutex
	entries int
	states  map[string]*workspaceState
}

type workspaceState struct {
	bucket  *rate.Limiter
	running int
	used    time.Time
}

// idleTime is how long an unused workspace's state is kept.
const idleTime = time.Minute

// NewWorkspaces returns limits without state.
func NewWorkspaces() *Workspaces {
	return &Workspaces{entries: 1, states: make(map[string]*workspaceState)}
}

// SetEntries tells how many entries share each limit.
func (w *Workspaces) SetEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(n, 1)
}

// Admission is the answer to Admit.
type Admission struct {
	OK bool
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
}

// concurrencyRetry is the advice to a caller whose own requests are still
// running.
const concurrencyRetry = time.Second

// Admit counts a request against its workspace; after an OK the caller must
// call Done once.
func (w *Workspaces) Admit(now time.Time, ws *config.Workspace) Admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state(ws)
	s.used = now
	if ws.Concurrent > 0 && s.running >= max(1, ws.Concurrent/w.entries) {
		return Admission{RetryAfter: concurrencyRetry}
	}
	if ws.RequestsPerSecond > 0 {
		if wait := s.take(now, ws.RequestsPerSecond/float64(w.entries)); wait > 0 {
			return Admission{RetryAfter: wait}
		}
	}
	s.running++
	return Admission{OK: true}
}

// Done ends a request that was admitted.
func (w *Workspaces) Done(ws *config.Workspace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.states[ws.Name]; ok && s.running > 0 {
		s.running--
	}
}

// Tick forgets idle workspaces, so that memory follows use and not the
// number of workspaces declared.
func (w *Workspaces) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, s := range w.states {
		if s.running == 0 && now.Sub(s.used) > idleTime {
			delete(w.states, name)
		}
	}
}

func (w *Workspaces) state(ws *config.Workspace) *workspaceState {
	s, ok := w.states[ws.Name]
	if !ok {
		s = new(workspaceState)
		w.states[ws.Name] = s
	}
	return s
}

// take uses one token of the bucket, or tells how long until there is one.
func (s *workspaceState) take(now time.Time, share float64) time.Duration {
	burst := max(1, int(share))
	if s.bucket == nil {
		s.bucket = rate.NewLimiter(rate.Limit(share), burst)
	}
	if s.bucket.Limit() != rate.Limit(share) {
		s.bucket.SetLimitAt(now, rate.Limit(share))
		s.bucket.SetBurstAt(now, burst)
	}
	r := s.bucket.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
