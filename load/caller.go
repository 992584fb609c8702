// Package load drives entries with mixed work and judges every answer: model
// answers against what the engine stand-in yields for the prompt, calls
// against how often the service ran them.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"ebonypulley/entry"
	"ebonypulley/standin"
)

// Caller sends requests as the clients of the two deployments do.
type Caller struct {
	HTTP *http.Client
	// Balancer chooses the entry of each request.
	Balancer *Balancer
	// Model is the model service's model.
	Model string
	// Route is the plain service's route; Book and Look are its paths.
	Route string
	Book  string
	Look  string
}

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// Draft is a model request, whole or streamed.
	Draft Kind = "draft"
	// Booking is a non-idempotent call, some with an Idempotency-Key.
	Booking Kind = "booking"
	// Lookup is an idempotent call.
	Lookup Kind = "lookup"
)

// Result is what became of one request.
type Result struct {
	Kind    Kind
	Trial   bool
	Outcome entry.Outcome
	// Cancelled: the caller went away on purpose.
	Cancelled bool
	// Broken: the answer ended visibly incomplete.
	Broken bool
	// Mismatch says how a whole answer differs from the right one.
	Mismatch string
	Status   int
	// Reason is the error's message, or that of the broken connection.
	Reason string
	// Call is the ID under which the plain service counts the call.
	Call  string
	TTFT  time.Duration
	TBT   []time.Duration
	Whole time.Duration
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// DraftSpec describes one model request.
type DraftSpec struct {
	Key       string
	Trial     bool
	Prompt    string
	MaxTokens int
	Stream    bool
	// CancelAfter makes the caller go away after so many tokens' events;
	// 0 for never.
	CancelAfter int
}

// Draft sends a model request and checks its answer.
func (c *Caller) Draft(ctx context.Context, rnd *rand.Rand, d DraftSpec) Result {
	res := Result{Kind: Draft, Trial: d.Trial}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, _ := json.Marshal(chatBody{
		Model:     c.Model,
		Messages:  []chatMessage{{Role: "user", Content: d.Prompt}},
		MaxTokens: d.MaxTokens,
		Stream:    d.Stream,
	})
	began := time.Now()
	resp, err := c.Balancer.send(rnd, func(base string) (*http.Response, error) {
		return c.post(ctx, base+"/v1/chat/completions", d.Key, body)
	})
	if err != nil {
		res.lost(err)
		return res
	}
	defer resp.Body.Close()
	res.note(resp)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		res.Reason = reasonOf(text)
		return res
	}
	var text string
	if d.Stream {
		text = res.readStream(resp.Body, began, d.CancelAfter)
	} else {
		text = res.readWhole(resp.Body)
	}
	if res.Cancelled || res.Broken {
		return res
	}
	res.Whole = time.Since(began)
	want, _ := standin.Answer(entry.ChatPrompt([]string{"user"}, []string{d.Prompt}), d.MaxTokens)
	if text != strings.Join(want, "") {
		res.Mismatch = "answer of " + strconv.Itoa(len(text)) + " bytes differs from the right one of " + strconv.Itoa(len(strings.Join(want, "")))
	}
	return res
}

func (r *Result) note(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Outcome = entry.Outcome(resp.Header.Get(entry.HeaderOutcome))
}

func (r *Result) readWhole(body io.Reader) string {
	var a chatAnswer
	if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) != 1 {
		r.Broken = true
		return ""
	}
	return a.Choices[0].Message.Content
}

func (r *Result) readStream(body io.Reader, began time.Time, cancelAfter int) string {
	var text strings.Builder
	last := began
	events := 0
	scan := bufio.NewScanner(body)
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String()
		}
		var a chatAnswer
		if json.Unmarshal([]byte(data), &a) != nil || a.Error != nil {
			break
		}
		now := time.Now()
		if events == 0 {
			r.TTFT = now.Sub(began)
		} else {
			r.TBT = append(r.TBT, now.Sub(last))
		}
		last = now
		events++
		for _, choice := range a.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if cancelAfter > 0 && events >= cancelAfter {
			r.Cancelled = true
			return ""
		}
	}
	r.Broken = true
	return ""
}

// CallSpec describes one call to the plain service.
type CallSpec struct {
	Key   string
	Trial bool
	Kind  Kind
	// IdempotencyKey is sent with a booking, if not empty.
	IdempotencyKey string
	// ID names the call at the service; empty for a new one.
	ID string
}

// Call sends a booking or a lookup and checks its answer.
func (c *Caller) Call(ctx context.Context, rnd *rand.Rand, s CallSpec) Result {
	if s.ID == "" {
		s.ID = uuid.Must(uuid.NewV7()).String()
	}
	res := Result{Kind: s.Kind, Trial: s.Trial, Call: s.ID}
	method, path := http.MethodGet, c.Look
	var body []byte
	if s.Kind == Booking {
		method, path, body = http.MethodPost, c.Book, []byte("{\"call\":\""+s.ID+"\"}")
	}
	began := time.Now()
	resp, err := c.Balancer.send(rnd, func(base string) (*http.Response, error) {
		return c.call(ctx, method, base+"/app/"+c.Route+path, s, body)
	})
	if err != nil {
		res.lost(err)
		return res
	}
	defer resp.Body.Close()
	res.note(resp)
	text, err := io.ReadAll(resp.Body)
	res.Whole = time.Since(began)
	if err != nil {
		res.Broken = true
		return res
	}
	switch {
	case res.Outcome != entry.Answered:
		res.Reason = reasonOf(text)
	case resp.StatusCode == http.StatusOK:
		res.Mismatch = checkCall(text, s.ID, string(body))
	}
	return res
}

// lost notes a request whose connection broke: only the caller's own view of
// it, so unknown.
func (r *Result) lost(err error) {
	r.Outcome = entry.Unknown
	r.Reason = "connection to the entry broke: " + err.Error()
	if isDial(err) {
		r.Outcome = entry.NotRun
		r.Reason = "no entry takes connections"
	}
}

// isDial reports whether a request was never sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func reasonOf(text []byte) string {
	var a chatAnswer
	if json.Unmarshal(text, &a) != nil || a.Error == nil {
		return "no reason given"
	}
	return a.Error.Message
}

func checkCall(text []byte, call, body string) string {
	var a standin.PlainAnswer
	switch err := json.Unmarshal(text, &a); {
	case err != nil:
		return "answer of a call is not readable: " + err.Error()
	case a.Call != call:
		return "answer belongs to call " + a.Call + ", not " + call
	case a.Body != body:
		return "the service got another body"
	default:
		return ""
	}
}

func (c *Caller) post(ctx context.Context, target, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return c.HTTP.Do(req)
}

// call sends one call. A broken connection leaves its outcome open, so
// net/http must not repeat it by itself: without GetBody it can't.
func (c *Caller) call(ctx context.Context, method, target string, s CallSpec, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set(standin.CallHeader, s.ID)
	if s.IdempotencyKey != "" {
		req.Header.Set(entry.HeaderKey, s.IdempotencyKey)
	}
	return c.HTTP.Do(req)
}

// errNoURLs is returned for a caller without entries.
var errNoURLs = errors.New("load: no entries to call")
