// Package load generates mixed load against entries and verifies every answer: that
// of a generation against the simulated engine's answer to the prompt, and that of a
// plain call against the number of times that the simulated service ran it.
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

// Caller sends requests to entries and verifies the answers.
type Caller struct {
	Client *http.Client
	// Balancer chooses the entry of each request.
	Balancer *Balancer
	// Model is the model service's model.
	Model string
	// Route is the plain service's route. NonIdempotentPath and IdempotentPath
	// are the paths of its non-idempotent and its idempotent call.
	Route             string
	NonIdempotentPath string
	IdempotentPath    string
}

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// KindGeneration is a generation by the model service, streamed or not.
	KindGeneration Kind = "draft"
	// KindNonIdempotent is a non-idempotent call, with or without an Idempotency-Key.
	KindNonIdempotent Kind = "booking"
	// KindIdempotent is an idempotent call.
	KindIdempotent Kind = "lookup"
)

// Result is the result of one request as its caller sees it.
type Result struct {
	Kind    Kind
	Trial   bool
	Outcome entry.Outcome
	// Cancelled reports that the caller disconnected on purpose.
	Cancelled bool
	// Aborted reports that the answer was aborted: it visibly ended before it was
	// complete.
	Aborted bool
	// Mismatch says how a complete answer differs from the expected one.
	Mismatch string
	Status   int
	// Reason is the message of the error response or of the connection error.
	Reason string
	// CallID is the ID by which the plain service counts the call.
	CallID string
	// TTFT is the time to the first event of a streamed answer, TBT the times
	// between its events.
	TTFT time.Duration
	TBT  []time.Duration
	// Latency is the time to the complete answer.
	Latency time.Duration
}

type chatRequest struct {
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

// GenerationSpec describes a generation.
type GenerationSpec struct {
	Key       string
	Trial     bool
	Prompt    string
	MaxTokens int
	Stream    bool
	// CancelAfter makes the caller disconnect after this number of events; 0 means
	// never.
	CancelAfter int
}

// Generate sends a generation and verifies its answer.
func (c *Caller) Generate(ctx context.Context, rnd *rand.Rand, d GenerationSpec) Result {
	res := Result{Kind: KindGeneration, Trial: d.Trial}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, _ := json.Marshal(chatRequest{
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
		res.setConnectionError(err)
		return res
	}
	defer resp.Body.Close()
	res.setHead(resp)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		res.Reason = errorMessage(text)
		return res
	}
	var text string
	if d.Stream {
		text = res.readStream(resp.Body, began, d.CancelAfter)
	} else {
		text = res.readResponse(resp.Body)
	}
	if res.Cancelled || res.Aborted {
		return res
	}
	res.Latency = time.Since(began)
	want, _ := standin.GenerateAnswer(entry.ChatPrompt([]string{"user"}, []string{d.Prompt}), d.MaxTokens)
	if text != strings.Join(want, "") {
		res.Mismatch = "answer of " + strconv.Itoa(len(text)) + " bytes differs from the expected answer of length " + strconv.Itoa(len(strings.Join(want, "")))
	}
	return res
}

func (r *Result) setHead(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Outcome = entry.Outcome(resp.Header.Get(entry.HeaderOutcome))
}

func (r *Result) readResponse(body io.Reader) string {
	var a chatAnswer
	if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) != 1 {
		r.Aborted = true
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
	r.Aborted = true
	return ""
}

// CallSpec describes a call to the plain service.
type CallSpec struct {
	Key   string
	Trial bool
	Kind  Kind
	// IdempotencyKey is sent with the call if it is not empty.
	IdempotencyKey string
	// ID identifies the call at the service; if it is empty, a new one is created.
	ID string
}

// Call sends a call to the plain service and verifies its answer.
func (c *Caller) Call(ctx context.Context, rnd *rand.Rand, s CallSpec) Result {
	if s.ID == "" {
		s.ID = uuid.Must(uuid.NewV7()).String()
	}
	res := Result{Kind: s.Kind, Trial: s.Trial, CallID: s.ID}
	method, path := http.MethodGet, c.IdempotentPath
	var body []byte
	if s.Kind == KindNonIdempotent {
		method, path, body = http.MethodPost, c.NonIdempotentPath, []byte("{\"call\":\""+s.ID+"\"}")
	}
	began := time.Now()
	resp, err := c.Balancer.send(rnd, func(base string) (*http.Response, error) {
		return c.call(ctx, method, base+"/app/"+c.Route+path, s, body)
	})
	if err != nil {
		res.setConnectionError(err)
		return res
	}
	defer resp.Body.Close()
	res.setHead(resp)
	text, err := io.ReadAll(resp.Body)
	res.Latency = time.Since(began)
	if err != nil {
		res.Aborted = true
		return res
	}
	switch {
	case res.Outcome != entry.OutcomeAnswered:
		res.Reason = errorMessage(text)
	case resp.StatusCode == http.StatusOK:
		res.Mismatch = checkCallAnswer(text, s.ID, string(body))
	}
	return res
}

// setConnectionError records that a request got no response. If it was sent, the caller can't
// tell whether it ran, so that its outcome is unknown.
func (r *Result) setConnectionError(err error) {
	r.Outcome = entry.OutcomeUnknown
	r.Reason = "connection to the entry failed: " + err.Error()
	if isDial(err) {
		r.Outcome = entry.OutcomeNotRun
		r.Reason = "no entry accepts connections"
	}
}

// isDial reports whether err arose while connecting, so that the request was not sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func errorMessage(text []byte) string {
	var a chatAnswer
	if json.Unmarshal(text, &a) != nil || a.Error == nil {
		return "no error message in the response"
	}
	return a.Error.Message
}

func checkCallAnswer(text []byte, call, body string) string {
	var a standin.PlainAnswer
	switch err := json.Unmarshal(text, &a); {
	case err != nil:
		return "cannot decode the answer of a call: " + err.Error()
	case a.CallID != call:
		return "answer belongs to call " + a.CallID + ", not " + call
	case a.Body != body:
		return "the service received a different body"
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
	return c.Client.Do(req)
}

// call sends one call. If its connection breaks, its outcome is unknown, so net/http must
// not send it again on its own; without GetBody it can't.
func (c *Caller) call(ctx context.Context, method, target string, s CallSpec, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set(standin.CallHeader, s.ID)
	if s.IdempotencyKey != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, s.IdempotencyKey)
	}
	return c.Client.Do(req)
}

// errNoURLs is returned if the balancer has no entries.
var errNoURLs = errors.New("load: no entries to call")
