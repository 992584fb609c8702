package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/attempt"
	"ebonypulley/engine"
	"ebonypulley/wire"
)

// service calls the plain service beside the agent.
type service struct {
	base string
	http *http.Client
}

// maxAnswer bounds an answer of the service; it travels in one frame.
const maxAnswer = 2 << 20

// newService returns a client that uses a connection for one call only.
//
// Failures guarded against: a kept connection that went silent swallows the
// next call, which shows as a lookup that never ends; and net/http by itself
// repeats a request whose kept connection breaks before the answer, if it
// counts as repeatable, as a POST with an Idempotency-Key does, which shows as
// a booking that ran twice although it was started once. The guard holds
// because a connection is used once: a request on a fresh one is not repeated.
func newService(base string, dial ebonypulley.Dialer) service {
	client := dial.HTTPClient(true)
	// A redirect is the caller's to follow.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return service{base: strings.TrimSuffix(base, "/"), http: client}
}

// call runs one call. Without an answer, sent tells whether the service may
// have seen the call: it is false only when no connection was had.
func (s service) call(ctx context.Context, o *wire.Offer, m *wire.Start) (answer attempt.Answer, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	target := s.base + o.Path
	if m.Query != "" {
		target += "?" + m.Query
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), o.Method, target, bytes.NewReader(m.Body))
	if err != nil {
		return answer, false, errorx.IllegalArgument.Wrap(err, "call")
	}
	for _, h := range m.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return answer, sent, engine.ErrUnreachable.Wrap(err, "call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return answer, true, engine.ErrUnreachable.Wrap(err, "answer")
	}
	if len(body) > maxAnswer {
		return answer, true, engine.ErrRefused.New("answer is longer than %d bytes", maxAnswer)
	}
	return attempt.Answer{Status: resp.StatusCode, Headers: wire.Headers(resp.Header), Body: body}, true, nil
}
