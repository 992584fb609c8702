package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"ebonypulley/engine"
)

// completionRequest is the part of OpenAI completion and chat completion
// requests that the entry uses. Other fields are accepted and ignored, as
// OpenAI clients expect.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              promptText      `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Tools               json.RawMessage `json:"tools"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// promptText is a prompt given as a string or as a list of one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*p = promptText(one)
		return nil
	}
	var many []string
	if err := json.Unmarshal(b, &many); err != nil || len(many) != 1 {
		return errPrompt
	}
	*p = promptText(many[0])
	return nil
}

var errPrompt = entryErrors.NewType("prompt").New("prompt must be a string or a list of one string")

// contentText is the content of a message, given as a string or as a list of
// text parts.
type contentText string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *contentText) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*c = contentText(one)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(b, &parts); err != nil {
		return errContent
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errContent
		}
		text.WriteString(p.Text)
	}
	*c = contentText(text.String())
	return nil
}

var errContent = entryErrors.NewType("content").New("content must be a string or a list of text parts")

// ChatPrompt renders chat messages as the prompt to prefill: a line for each
// message, then the start of the assistant's.
func ChatPrompt(roles, contents []string) string {
	var b strings.Builder
	for i := range roles {
		b.WriteString(roles[i])
		b.WriteString(": ")
		b.WriteString(contents[i])
		b.WriteString("\n")
	}
	b.WriteString("assistant:")
	return b.String()
}

func (c *completionRequest) chatPrompt() string {
	roles := make([]string, len(c.Messages))
	contents := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		roles[i] = m.Role
		contents[i] = string(m.Content)
	}
	return ChatPrompt(roles, contents)
}

// maxTokens returns the maximum number of output tokens, or -1 if the request
// asks for none or fewer.
func (c *completionRequest) maxTokens(limit int) int {
	n := c.MaxTokens
	if c.MaxCompletionTokens != nil {
		n = c.MaxCompletionTokens
	}
	if n == nil {
		return limit
	}
	if *n <= 0 {
		return -1
	}
	return min(*n, limit)
}

// completionResponse is a complete answer or one event of a stream.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *responseUsage   `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type responseUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// responseFormat builds the response objects of a completion or chat
// completion.
type responseFormat struct {
	chat    bool
	id      string
	created int64
	model   string
}

func newResponseFormat(q *request, c *completionRequest, chat bool) responseFormat {
	prefix := "cmpl-"
	if chat {
		prefix = "chatcmpl-"
	}
	return responseFormat{chat: chat, id: prefix + q.id.String(), created: q.began.Unix(), model: c.Model}
}

func (f responseFormat) object(complete bool, choice responseChoice) completionResponse {
	o := completionResponse{ID: f.id, Object: "text_completion", Created: f.created, Model: f.model, Choices: []responseChoice{choice}}
	switch {
	case f.chat && complete:
		o.Object = "chat.completion"
	case f.chat:
		o.Object = "chat.completion.chunk"
	}
	return o
}

func (f responseFormat) completion(text, finishReason string, u responseUsage) completionResponse {
	c := responseChoice{FinishReason: &finishReason}
	if f.chat {
		c.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	o := f.object(true, c)
	o.Usage = &u
	return o
}

func (f responseFormat) chunk(text, role string) completionResponse {
	var c responseChoice
	if f.chat {
		c.Delta = &responseMessage{Role: role, Content: text}
	} else {
		c.Text = &text
	}
	return f.object(false, c)
}

func (f responseFormat) finalChunk(finishReason string) completionResponse {
	o := f.chunk("", "")
	o.Choices[0].FinishReason = &finishReason
	return o
}

func newUsage(prompt string, tokens int) responseUsage {
	p := engine.EstimateTokens(prompt)
	return responseUsage{PromptTokens: p, CompletionTokens: tokens, TotalTokens: p + tokens}
}

// writeTimeout bounds one write to a caller that reads slowly.
const writeTimeout = 30 * time.Second

// sink writes the tokens of one answer to the caller. It gets each token once,
// in order.
type sink interface {
	// writeText writes the text of one or more tokens. An error means that the
	// caller has disconnected.
	writeText(text string) error
	// finish ends a complete answer.
	finish(finishReason string, u responseUsage) error
	// started reports whether a part of the answer was sent.
	started() bool
	// abort ends an incomplete answer so that the caller can't take it for a
	// complete one.
	abort(f *failure)
}

// bufferedSink buffers an answer and sends it when it is complete.
type bufferedSink struct {
	request *request
	format  responseFormat
	text    strings.Builder
}

func (s *bufferedSink) writeText(text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedSink) finish(finishReason string, u responseUsage) error {
	s.request.beginAnswer(OutcomeAnswered)
	s.request.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.request.w).Encode(s.format.completion(s.text.String(), finishReason, u))
}

func (s *bufferedSink) started() bool    { return false }
func (s *bufferedSink) abort(f *failure) { s.request.fail(f) }

// streamSink sends an answer as server-sent events.
type streamSink struct {
	request      *request
	format       responseFormat
	includeUsage bool
	headerSent   bool
}

func (s *streamSink) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.request.beginAnswer(OutcomeAnswered)
	h := s.request.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.request.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) sendEvent(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write("data: " + string(b) + "\n\n")
}

func (s *streamSink) write(text string) error {
	ctl := http.NewResponseController(s.request.w)
	_ = ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.request.w.Write([]byte(text)); err != nil {
		return err
	}
	return ctl.Flush()
}

func (s *streamSink) writeText(text string) error {
	role := ""
	if !s.headerSent {
		role = "assistant"
	}
	s.writeHeader()
	return s.sendEvent(s.format.chunk(text, role))
}

func (s *streamSink) finish(finishReason string, u responseUsage) error {
	s.writeHeader()
	if err := s.sendEvent(s.format.finalChunk(finishReason)); err != nil {
		return err
	}
	if s.includeUsage {
		o := s.format.chunk("", "")
		o.Choices = []responseChoice{}
		o.Usage = &u
		if err := s.sendEvent(o); err != nil {
			return err
		}
	}
	return s.write("data: [DONE]\n\n")
}

func (s *streamSink) started() bool { return s.headerSent }

// abort sends an error event and then cuts the connection, so that neither the
// event stream nor the HTTP body ends as a complete answer does.
func (s *streamSink) abort(f *failure) {
	if !s.headerSent {
		s.request.fail(f)
		return
	}
	_ = s.sendEvent(f.body())
	panic(http.ErrAbortHandler)
}
