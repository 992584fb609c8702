package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"ebonypulley/engine"
)

// completionRequest is the part of the OpenAI completion and chat requests
// that the router acts on. Fields that it does not know are accepted, as such
// clients expect, and have no effect.
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

// contentText is a message's content given as a string or as text parts.
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

// ChatPrompt renders messages as the text that is prefilled: a line for each
// message and the beginning of the assistant's.
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

// maxTokens returns the longest answer wanted, or a negative number if the
// request asks for nonsense.
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

// answerObject is a whole completion or one event of a stream.
type answerObject struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// form writes an answer in the form that the caller asked for.
type form struct {
	chat    bool
	id      string
	created int64
	model   string
}

func newForm(q *request, c *completionRequest, chat bool) form {
	prefix := "cmpl-"
	if chat {
		prefix = "chatcmpl-"
	}
	return form{chat: chat, id: prefix + q.id.String(), created: q.began.Unix(), model: c.Model}
}

func (f form) object(whole bool, choice answerChoice) answerObject {
	o := answerObject{ID: f.id, Object: "text_completion", Created: f.created, Model: f.model, Choices: []answerChoice{choice}}
	switch {
	case f.chat && whole:
		o.Object = "chat.completion"
	case f.chat:
		o.Object = "chat.completion.chunk"
	}
	return o
}

func (f form) whole(text, why string, u answerUsage) answerObject {
	c := answerChoice{FinishReason: &why}
	if f.chat {
		c.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	o := f.object(true, c)
	o.Usage = &u
	return o
}

func (f form) event(text, role string) answerObject {
	var c answerChoice
	if f.chat {
		c.Delta = &answerMessage{Role: role, Content: text}
	} else {
		c.Text = &text
	}
	return f.object(false, c)
}

func (f form) final(why string) answerObject {
	o := f.event("", "")
	o.Choices[0].FinishReason = &why
	return o
}

func usageOf(prompt string, tokens int) answerUsage {
	p := engine.CountTokens(prompt)
	return answerUsage{PromptTokens: p, CompletionTokens: tokens, TotalTokens: p + tokens}
}

// writeTimeout bounds one write to a caller who reads slowly.
const writeTimeout = 30 * time.Second

// sink receives the tokens of one answer, in order and once.
type sink interface {
	// tokens delivers the text of some; an error means that the caller is gone.
	tokens(text string) error
	// finish ends a whole answer.
	finish(why string, u answerUsage) error
	// begun reports whether the caller has seen a part of the answer.
	begun() bool
	// breakOff ends an answer so that it can't be taken for a whole one.
	breakOff(f *failure)
}

// wholeSink collects an answer and writes it at its end.
type wholeSink struct {
	q    *request
	form form
	text strings.Builder
}

func (s *wholeSink) tokens(text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *wholeSink) finish(why string, u answerUsage) error {
	s.q.answering(Answered)
	s.q.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.q.w).Encode(s.form.whole(s.text.String(), why, u))
}

func (s *wholeSink) begun() bool         { return false }
func (s *wholeSink) breakOff(f *failure) { s.q.fail(f) }

// streamSink writes server-sent events.
type streamSink struct {
	q     *request
	form  form
	usage bool
	open  bool
}

func (s *streamSink) start() {
	if s.open {
		return
	}
	s.open = true
	s.q.answering(Answered)
	h := s.q.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.q.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) send(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write("data: " + string(b) + "\n\n")
}

func (s *streamSink) write(text string) error {
	ctl := http.NewResponseController(s.q.w)
	_ = ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.q.w.Write([]byte(text)); err != nil {
		return err
	}
	return ctl.Flush()
}

func (s *streamSink) tokens(text string) error {
	role := ""
	if !s.open {
		role = "assistant"
	}
	s.start()
	return s.send(s.form.event(text, role))
}

func (s *streamSink) finish(why string, u answerUsage) error {
	s.start()
	if err := s.send(s.form.final(why)); err != nil {
		return err
	}
	if s.usage {
		o := s.form.event("", "")
		o.Choices = []answerChoice{}
		o.Usage = &u
		if err := s.send(o); err != nil {
			return err
		}
	}
	return s.write("data: [DONE]\n\n")
}

func (s *streamSink) begun() bool { return s.open }

// breakOff sends an error event and then cuts the connection, so that neither
// the events nor the HTTP body end as those of a whole answer do.
func (s *streamSink) breakOff(f *failure) {
	if !s.open {
		s.q.fail(f)
		return
	}
	_ = s.send(f.body())
	panic(http.ErrAbortHandler)
}
