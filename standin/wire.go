package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// SetClientHeaders sets the headers that a client of the platform sends with each
// request: its ID for the attempt, and its timeout.
func SetClientHeaders(h http.Header, id string, wait time.Duration) {
	h.Set("Attempt-Id", id)
	h.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
}

// SetResumeHeaders sets the headers with which a client resumes a stream after an event; first is
// the ID of the attempt that brought its first event.
func SetResumeHeaders(h http.Header, after int, first string) {
	h.Set("Last-Event-Id", strconv.Itoa(after))
	h.Set("Resumes", first)
}

// OmitResumed leaves out which attempt brought the first event of a resumed stream.
func OmitResumed(h http.Header) { h.Del("Resumes") }

// SetPromptHeaders sets the headers that a client sends with a generation: the
// number of prompt tokens, the maximum number of output tokens, and the prefixes
// of the prompt. The first 100 tokens are common to all sessions; the rest belongs
// to the session.
func SetPromptHeaders(h http.Header, prompt, output, session int) {
	h.Set("Token-Count", fmt.Sprintf("%d,%d", prompt, output))
	h.Set("Prompt-Prefix", fmt.Sprintf("c0:100,%x:%d", session, prompt-100))
}

// InsertPromptPart makes a part of 50 tokens the second one of a prompt set with
// SetPromptHeaders.
func InsertPromptPart(h http.Header, part string) {
	first, rest, _ := strings.Cut(h.Get("Prompt-Prefix"), ",")
	h.Set("Prompt-Prefix", first+","+part+":50,"+rest)
}

// SetWorkspaceKey sets the workspace key that a client presents.
func SetWorkspaceKey(h http.Header, key string) { h.Set("Authorization", "Token "+key) }

// WorkspaceEntry is the store entry of a workspace, as published by the operators.
type WorkspaceEntry struct {
	Name        string   `json:"name"`
	Keys        []string `json:"api_keys"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plain_tokens"`
	// Rate and Burst are the workspace's limit in tokens a second and in tokens;
	// zero means no limit.
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
}

// NewWorkspaceEntry returns the entry of a workspace without a limit, in which a plain
// call counts as plainTokens tokens.
func NewWorkspaceEntry(name string, plainTokens int, keys ...string) WorkspaceEntry {
	return WorkspaceEntry{Name: name, Keys: keys, Unit: "tokens", PlainTokens: plainTokens}
}

// WorkerHeaders holds the headers of a request that a worker of the platform reads.
type WorkerHeaders struct {
	// AttemptID is the ID of the attempt.
	AttemptID string
	// ExpectedIncarnation is the incarnation of the worker that the request is meant for.
	ExpectedIncarnation string
	// Workspace is the workspace that the router states. Key is the client's key, which
	// the router must not forward.
	Workspace, Key string
	// Prefill asks for the prefill only.
	Prefill bool
	// Timeout is how long the router says that the client waits; zero if it says nothing.
	Timeout time.Duration
	// LastEvent is the number of the last event that the client has received, 0 if none.
	LastEvent int
	// PromptParts are the parts of the prompt, the last one that of the request alone.
	PromptParts []PromptPart
}

// ReadWorkerHeaders reads the headers of a request.
func ReadWorkerHeaders(r *http.Request) WorkerHeaders {
	c := WorkerHeaders{
		AttemptID:           r.Header.Get("Attempt-Id"),
		ExpectedIncarnation: r.Header.Get("Expect-Instance"),
		Prefill:             r.Header.Get("Stage") == "prefill",

		Workspace: r.Header.Get("Tenant"),
		Key:       r.Header.Get("Authorization"),
	}
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		c.LastEvent = n
	}
	if ms, err := strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	for part := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		id, text, _ := strings.Cut(strings.TrimSpace(part), ":")
		if tokens, err := strconv.Atoi(text); err == nil {
			c.PromptParts = append(c.PromptParts, PromptPart{ID: id, Tokens: tokens, Model: r.Header.Get("Model")})
		}
	}
	return c
}

// SetRouterHeaders sets the headers that a router adds to a request for one incarnation of a worker.
func SetRouterHeaders(h http.Header, incarnation, workspace string) {
	h.Set("Expect-Instance", incarnation)
	h.Set("Tenant", workspace)
}

// SetAnswerHeaders sets the headers of a worker's answer to a client's request,
// including its signature.
func SetAnswerHeaders(h http.Header, id string) {
	h.Set("Attempt-Id", id)
	h.Set("Response-Signature", "signed")
}

// SetRefusalHeaders sets the headers of a refusal of an attempt that was not executed.
func SetRefusalHeaders(h http.Header, id string) {
	h.Set("Attempt-Id", id)
	h.Set("Not-Executed", "1")
}

// SetRetryAfter sets the header of a refusal that asks the router to send nothing for a time.
func SetRetryAfter(h http.Header, wait time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
}

// WritePrefillAnswer writes the answer to a prefill.
func WritePrefillAnswer(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"kv_handle":"kv"}`) }
