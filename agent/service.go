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
	base       string
	idempotent *http.Client
	once       *http.Client
}

// maxAnswer bounds an answer of the service; it travels in one frame.
const maxAnswer = 2 << 20

// newService returns two clients.
//
// Failure guarded against: net/http repeats a request by itself when a kept
// connection breaks before the answer, if it counts the request as
// repeatable; a POST with an Idempotency-Key header counts. It shows as a
// booking that ran twice although it was started once. The guard holds
// because the client for non-idempotent calls keeps no connections: a
// request on a fresh connection is never repeated.
func newService(base string, dial ebonypulley.Dialer) service {
	client := func(fresh bool) *http.Client {
		c := dial.HTTPClient(fresh)
		// A redirect is the caller's to follow.
		c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		return c
	}
	return service{base: strings.TrimSuffix(base, "/"), idempotent: client(false), once: client(true)}
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
	client := s.once
	if o.Idempotent {
		client = s.idempotent
	}
	resp, err := client.Do(req)
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
