package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/attempt"
	"ebonypulley/engine"
	"ebonypulley/internal/answerhead"
	"ebonypulley/wire"
)

// service is a client of the plain service beside the agent.
type service struct {
	base string
	http *http.Client
}

// maxAnswerBytes is the maximum length of a service's answer, which is sent in
// one frame.
const maxAnswerBytes = 2 << 20

// newService returns a client that uses each connection for one call only.
//
// A pooled connection that has gone silent loses the next call, so that an
// idempotent call never ends. Also, net/http retries a request by itself when a
// pooled connection breaks before the answer and the request counts as
// repeatable, as a POST with an Idempotency-Key does, so that a non-idempotent
// call that was started once runs twice. It does not retry a request on a new
// connection.
func newService(base string, dial ebonypulley.Dialer) service {
	client := dial.HTTPClient(true)
	// Redirects are returned to the caller, not followed.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return service{base: strings.TrimSuffix(base, "/"), http: client}
}

// call runs one call. If it returns an error, sent reports whether the service
// may have received the call; it is false only if no connection could be made.
func (s service) call(ctx context.Context, o *wire.Offer, m *wire.Start) (answer attempt.Answer, sent bool, err error) {
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			select {
			case written <- w.Err:
			default: // only one call is made
			}
		},
	}
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer, true, engine.ErrUnreachable.Wrap(err, "answer")
	}
	if answerhead.EndsWithConnection(resp) {
		if err := resetError(written); err != nil {
			return answer, true, engine.ErrUnreachable.Wrap(err, "answer")
		}
	}
	if len(body) > maxAnswerBytes {
		return answer, true, engine.ErrRefused.New("answer is longer than %d bytes", maxAnswerBytes)
	}
	return attempt.Answer{Status: resp.StatusCode, Headers: wire.EndToEndHeaders(resp.Header), Body: body}, true, nil
}

// resetReportTime is how long the writer of a request takes to tell of an error.
const resetReportTime = 100 * time.Millisecond

// resetError returns the error of the writer of a request, nil if it has written all or still writes.
// The kernel reports a reset once; if the writer has the report, the answer seems to end properly.
func resetError(written <-chan error) error {
	select {
	case err := <-written:
		return err
	case <-time.After(resetReportTime):
		return nil
	}
}
