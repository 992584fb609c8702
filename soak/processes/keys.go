package processes

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"ebonypulley/standin"
)

// The workspaces of a run. The school has no limit, one permanent key, and one
// key that is replaced repeatedly. The office has a limit, which its callers
// exceed several times over.
const (
	school, schoolKey = "school", "key-of-the-school"
	office, officeKey = "office", "key-of-the-office"
	unknownKey        = "key-that-nobody-gave-out"
)

// The office's limit, what is tolerated beyond it in any window, and the cost of
// requests, all in tokens; quotaOverrun is a fraction.
const (
	officeRate, officeBurst = 3000, 3000
	quotaWindow             = 8 * time.Second
	quotaOverrun            = 0.25
	quotaSlack              = 20_000
	promptTokens            = 500
	outputTokens            = 400
	plainTokens             = 200
)

// statusInvalidKey is the status for a caller whose key is not published.
const statusInvalidKey = http.StatusUnauthorized

// applyTimeout is how long entries may take to apply a published configuration.
const applyTimeout = 5 * time.Second

// revokedKey is a revoked key and the time of its revocation.
type revokedKey struct {
	key       string
	revokedAt time.Time
}

// identity is the key that a caller sends, and whose it is.
type identity struct {
	key string
	// workspace is the owner of the key, empty for an unknown key.
	workspace string
	// permanent keys are never revoked.
	permanent bool
	// revokedAt is when the key was revoked, zero if it is valid.
	revokedAt time.Time
}

// pickIdentity picks a random identity.
func (r *run) pickIdentity() identity {
	draw := r.randomInt(100)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case draw < 5:
		return identity{key: unknownKey}
	case draw < 15 && len(r.revokedKeys) > 0:
		old := r.revokedKeys[len(r.revokedKeys)-1]
		return identity{key: old.key, workspace: school, revokedAt: old.revokedAt}
	case draw < 25:
		return identity{key: r.rotatingKey(), workspace: school}
	case draw < 45:
		return identity{key: officeKey, workspace: office, permanent: true}
	}
	return identity{key: schoolKey, workspace: school, permanent: true}
}

// attemptID returns an attempt ID that includes the workspace, so that a worker
// can check that the attempt reached it as one of that workspace.
func attemptID(n string, caller identity) string { return n + "-" + caller.workspace }

// workspaceOf returns the workspace in an attempt ID.
func workspaceOf(id string) string { return id[strings.LastIndexByte(id, '-')+1:] }

// rotatingKey returns the school's current second key. The caller holds r.mu.
func (r *run) rotatingKey() string { return fmt.Sprintf("key-%d-of-the-school", len(r.revokedKeys)) }

// rotateKey revokes the school's second key and publishes a new one.
func (r *run) rotateKey() {
	r.mu.Lock()
	r.revokedKeys = append(r.revokedKeys, revokedKey{r.rotatingKey(), time.Now()})
	r.mu.Unlock()
	r.publish()
}

// workspaceEntries returns the workspaces of the next configuration.
func (r *run) workspaceEntries() []standin.WorkspaceEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	limited := standin.NewWorkspaceEntry(office, plainTokens, officeKey)
	limited.Rate, limited.Burst = officeRate, officeBurst
	return []standin.WorkspaceEntry{standin.NewWorkspaceEntry(school, plainTokens, schoolKey, r.rotatingKey()), limited}
}

// checkIdentity checks that a request was treated as its key requires.
func (r *run) checkIdentity(e *entry, id string, caller identity, status int, began time.Time, process int) {
	ran := r.executions.count(id) > 0
	switch {
	case caller.workspace == "" && ran:
		r.violation("request %s ran with an unknown key", id)
	case caller.permanent && status == statusInvalidKey:
		r.violation("%s refused a valid key of request %s", e.name, id)
	case ran && !caller.revokedAt.IsZero() && began.Sub(caller.revokedAt) > applyTimeout && e.undisturbedSince(caller.revokedAt, process) && r.faultFreeSince(caller.revokedAt.Add(-faultAftermath)):
		r.violation("%s served request %s with a key that was revoked %s before", e.name, id, began.Sub(caller.revokedAt))
	}
}

// usage is the cost of a request, and when a worker began to run it.
type usage struct {
	at     time.Time
	tokens int
}

// checkQuota checks, after the run, that the requests of the office that workers
// ran stayed within its limit and the tolerance in every window.
func (r *run) checkQuota() {
	const tolerated = (officeRate*float64(quotaWindow/time.Second)+officeBurst)*(1+quotaOverrun) + quotaSlack
	list := r.executions.usageOf(office)
	slices.SortFunc(list, func(a, b usage) int { return a.at.Compare(b.at) })
	sum, first := 0, 0
	for _, u := range list {
		sum += u.tokens
		for u.at.Sub(list[first].at) >= quotaWindow {
			sum -= list[first].tokens
			first++
		}
		if float64(sum) > tolerated {
			r.violation("the office used %d tokens in %s up to %.3f s, %.0f are tolerated", sum, quotaWindow, u.at.Sub(r.began).Seconds(), tolerated)
			return
		}
	}
}
