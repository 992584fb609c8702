package processes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ebonypulley/standin"
)

// requestKind is a kind of request that callers send.
type requestKind struct {
	path   string
	stream bool
	// atMostOnce requests must not run more than once.
	atMostOnce bool
	// part is the second part of the prompt, empty for none.
	part string
}

var requestKinds = []requestKind{
	{path: "/look/"},
	{path: "/book/", atMostOnce: true},
	{path: "/draft/", stream: true},
	{path: "/letter/", stream: true, atMostOnce: true},
}

// disconnectFraction is the fraction of requests whose caller disconnects,
// possibly before the answer is complete.
const disconnectFraction = 0.1

// startCallers starts callers that send requests to all entries until ctx ends.
// Each caller reuses its connections as long as they are up.
func (r *run) startCallers(ctx context.Context) {
	for i := range callerCount {
		r.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				caller := r.pickIdentity()
				r.call(ctx, client, requestKinds[r.randomInt(len(requestKinds))], fmt.Sprintf("%d-%d-%d", r.set.Seed, i, n), caller)
				time.Sleep(time.Duration(r.randomInt(40)) * time.Millisecond)
			}
		})
	}
}

// callerCount is the number of concurrent callers.
const callerCount = 12

// call sends a request, and resumes its stream once if that breaks off.
func (r *run) call(ctx context.Context, client *http.Client, k requestKind, name string, caller identity) {
	s := &stream{next: 1, versions: make(map[string]bool)}
	r.request(ctx, client, r.pickEntry(), k, attemptID(name, caller), caller, s)
	if s.broken && !k.atMostOnce {
		r.request(ctx, client, r.pickEntry(), k, attemptID(name+"r", caller), caller, s)
	}
	if len(s.versions) > 1 {
		r.joined.Add(1)
	}
}

func (r *run) pickEntry() *entry { return r.entries[r.randomInt(len(r.entries))] }

// request sends one request and checks how it ends.
func (r *run) request(ctx context.Context, client *http.Client, e *entry, k requestKind, id string, caller identity, s *stream) {
	began, process := time.Now(), e.processNumber()
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	disconnects := r.randomFloat() < disconnectFraction
	if disconnects {
		time.AfterFunc(time.Duration(r.randomInt(600))*time.Millisecond, cancel)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+k.path, strings.NewReader("body of "+id))
	if err != nil {
		r.violation("request: %v", err)
		return
	}
	if k.atMostOnce {
		r.recordAtMostOnce(id)
	}
	req.Host = "app.example"
	standin.SetClientHeaders(req.Header, id, callerTimeout)
	standin.SetWorkspaceKey(req.Header, caller.key)
	if k.stream {
		standin.SetPromptHeaders(req.Header, promptTokens, outputTokens, r.randomInt(1<<20))
	}
	if k.part != "" {
		standin.InsertPromptPart(req.Header, k.part)
	}
	if s.next > 1 {
		standin.SetResumeHeaders(req.Header, s.next-1, s.firstAttempt)
	}
	service := "app"
	if k.stream {
		service = "llm"
	}
	r.arrivals.recordRequest(service)
	resp, err := client.Do(req)
	if err == nil {
		err = r.checkAnswer(resp, k, id, s)
		_ = resp.Body.Close()
		r.checkIdentity(e, id, caller, resp.StatusCode, began, process)
	}
	r.countOutcome(resp, err)
	s.broken = errors.Is(err, errBrokenStream) && s.next > 1 && ctx.Err() == nil
	if disconnects && ctx.Err() != nil {
		r.checkAborted(e, id, time.Now(), process)
		return
	}
	if err != nil && ctx.Err() == nil && r.executions.count(id) > 0 && e.undisturbedSince(began, process) && r.faultFreeSince(began.Add(-faultAftermath)) {
		r.violation("%s: request %s to %s was cut without a recent fault: %v", e.name, id, k.path, err)
	}
}

// callerTimeout is how long a caller waits for a complete answer.
const callerTimeout = 6 * time.Second

var (
	errWrongAnswer  = errors.New("another request's answer")
	errBrokenStream = errors.New("cut")
)

// checkAnswer reads and checks an answer. It returns an error if the answer is
// wrong or visibly aborted.
func (r *run) checkAnswer(resp *http.Response, k requestKind, id string, s *stream) error {
	switch {
	case resp.StatusCode == http.StatusOK && k.stream:
		return r.checkStream(resp, id, s)
	case resp.StatusCode == http.StatusOK:
		body, err := io.ReadAll(resp.Body)
		if err == nil && string(body) != "answer to "+id {
			r.violation("request %s got %q", id, body)
			return errWrongAnswer
		}
		return err
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		if k.atMostOnce {
			r.recordNotRun(id)
		}
	case resp.StatusCode == http.StatusNotFound:
		r.violation("request %s to %s got 404", id, k.path)
	}
	return nil
}

// stream is what a caller has of a stream.
type stream struct {
	// next is the number of the next event, firstAttempt the ID of the attempt that brought the
	// first one.
	next         int
	firstAttempt string
	// versions are the software versions of the workers that wrote the events.
	versions map[string]bool
	// broken says that the last attempt ended in the middle of the stream.
	broken bool
}

// maxJoinedStreams is how many streams may hold events of two software versions.
const maxJoinedStreams = 2

func (r *run) checkStream(resp *http.Response, id string, s *stream) error {
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		version, ok := strings.CutPrefix(data, fmt.Sprintf("%s %d ", id, s.next))
		if !ok {
			r.violation("stream %s: event %d is %q", id, s.next, data)
			return errWrongAnswer
		}
		if s.next == 1 {
			s.firstAttempt = id
		}
		s.versions[version] = true
		s.next++
	}
	if err := lines.Err(); err != nil {
		return errors.Join(errBrokenStream, err)
	}
	if s.next <= streamEvents {
		r.violation("stream %s ended without an error after %d of %d events", id, s.next-1, streamEvents)
	}
	return nil
}
