package standin

import (
	"io"
	"net/http"
	"strings"
)

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
	Model  string
}

// EngineRun is an attempt that an engine is running.
type EngineRun struct {
	AttemptID string
	// Tokens is its memory in tokens, Events the number of events made so far.
	Tokens, Events int
}

// EngineMemory is what an engine has in memory. Its cached parts yield to new runs.
type EngineMemory struct {
	Stage    string
	Runs     []EngineRun
	Cached   []PromptPart
	Capacity int
}

// defaultPriority is the priority of all runs.
const defaultPriority = 5

// ServeEngineAPI answers calls of the engine API as an engine with free memory. It returns false,
// without an answer, for other requests.
func ServeEngineAPI(w http.ResponseWriter, r *http.Request, m EngineMemory) bool {
	switch {
	case r.URL.Path == "/api/hold-take":
		_, _ = io.WriteString(w, `{"hold":"h"}`)
	case r.URL.Path == "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": "1", "next": 1, "held": m.held()})
	case r.URL.Path == "/api/report":
		writeJSON(w, m.report())
	default:
		return strings.HasPrefix(r.URL.Path, "/api/")
	}
	return true
}

// held lists the cached parts.
func (m EngineMemory) held() [][]any {
	held := make([][]any, 0, len(m.Cached))
	for _, p := range m.Cached {
		held = append(held, []any{"", p.ID, p.Tokens, p.Model})
	}
	return held
}

func (m EngineMemory) report() map[string]any {
	runs, used := make([][]any, 0, len(m.Runs)), 0
	for _, run := range m.Runs {
		runs = append(runs, []any{run.AttemptID, run.Tokens, run.Events, defaultPriority})
		used += run.Tokens
	}
	return map[string]any{
		"stage": m.Stage, "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": len(runs),
		"kv_used": used, "kv_total": m.Capacity, "kv_handles": 0, "state": "ready", "next": 0, "runs": runs,
	}
}
