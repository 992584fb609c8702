package processes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonypulley"
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
	// body is the body of all requests, empty for one of each request's own.
	body string
	// breaks says that connections of callers may break in the middle of a stream.
	breaks bool
	// profile is the description of the kind, nil for the usual kinds.
	profile *RequestProfile
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
	if r.set.Fleet != nil {
		r.startProfileCallers(ctx)
		return
	}
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

const (
	// maxResumes is how often a caller resumes a stream.
	maxResumes = 3
	// maxResumePause is the longest pause before it does, unless it is asked to wait.
	maxResumePause = 5 * time.Second
)

// call sends a request, and resumes its stream if that breaks off.
func (r *run) call(ctx context.Context, client *http.Client, k requestKind, name string, caller identity) {
	s := r.streamOf(k)
	if k.breaks && r.randomFloat() < brokenConnFraction {
		s.breaksAfter = 1 + r.randomInt(s.events-1)
	}
	r.request(ctx, client, r.callEntry(k, false), k, attemptID(name, caller), caller, s)
	for n := 1; n <= k.repeats() && (s.broken && !k.atMostOnce || s.repeatable) && r.waitToResume(ctx, s); n++ {
		r.request(ctx, client, r.callEntry(k, true), k, attemptID(fmt.Sprintf("%sr%d", name, n), caller), caller, s)
	}
	r.recordVersions(s)
}

// recordVersions counts a stream that holds events of several software versions.
func (r *run) recordVersions(s *stream) {
	if len(s.versions) > 1 {
		r.note("stream %s holds events of %v", s.firstAttempt, slices.Collect(maps.Keys(s.versions)))
		r.joined.Add(1)
	}
}

// waitToResume waits for as long as the last answer asks, up to a third of the time left, or for
// a random time. It reports whether time is left.
func (r *run) waitToResume(ctx context.Context, s *stream) bool {
	wait := min(s.retryAfter, time.Until(s.deadline)/3)
	switch o := r.set.OutOfStep; {
	case o != nil && !o.Anywhere:
		wait = max(wait, resumePause)
	case s.retryAfter == 0:
		wait = r.randomMilliseconds(50, int(maxResumePause/time.Millisecond))
	}
	return ebonypulley.Sleep(ctx, wait) && time.Now().Before(s.deadline)
}

func (r *run) pickEntry() *entry {
	if r.set.Fleet != nil {
		return r.balancedEntry()
	}
	return r.entries[r.randomInt(len(r.entries))]
}

// request sends one request and checks how it ends.
func (r *run) request(ctx context.Context, client *http.Client, e *entry, k requestKind, id string, caller identity, s *stream) {
	began, process := time.Now(), e.processNumber()
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	disconnects := r.set.OutOfStep == nil && r.randomFloat() < disconnectFraction
	if disconnects {
		time.AfterFunc(time.Duration(r.randomInt(600))*time.Millisecond, cancel)
	}
	body := k.body
	if body == "" {
		body = "body of " + id
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+k.path, strings.NewReader(body))
	if err != nil {
		r.violation("request: %v", err)
		return
	}
	if k.atMostOnce {
		r.recordAtMostOnce(id)
	}
	req.Host = "app.example"
	standin.SetClientHeaders(req.Header, id, s.deadline.Sub(began))
	standin.SetWorkspaceKey(req.Header, caller.key)
	if k.stream {
		standin.SetPromptHeaders(req.Header, k.promptLength(), outputTokens, s.prompt)
	}
	if k.part != "" {
		standin.InsertPromptPart(req.Header, k.part)
	}
	unnamed := false
	if s.next > 1 {
		standin.SetResumeHeaders(req.Header, s.next-1, s.firstAttempt)
		if unnamed = k.profile != nil && r.randomFloat() < k.profile.Unnamed; unnamed {
			standin.OmitResumed(req.Header)
		}
	}
	seen, version := s.next, s.version
	compared := comparable(k, caller) && !disconnects && !unnamed && e.settled() && r.storeStable() && r.serves(version)
	r.arrivals.recordRequest(k.service())
	r.arrivals.sent.record(id, sentRequest{began, s.deadline.Sub(began), e, process, k.stream})
	resp, err := client.Do(req)
	if err == nil {
		err = r.checkAnswer(resp, k, id, s)
		_ = resp.Body.Close()
		r.checkIdentity(e, id, caller, resp.StatusCode, began, process)
	}
	r.countOutcome(resp, err)
	s.broken = s.next > 1 && s.next <= s.events && ctx.Err() == nil && mayRetry(resp, err)
	s.repeatable = s.next == 1 && ctx.Err() == nil && k.repeatable(resp, err)
	s.retryAfter = retryAfter(resp)
	if compared && e.settled() && r.storeStable() && e.processNumber() == process && r.serves(version) {
		r.recordProgress(s, seen)
	}
	if disconnects && ctx.Err() != nil {
		r.checkAborted(e, id, time.Now(), process)
		return
	}
	if err != nil && !errors.Is(err, errBrokenConn) && ctx.Err() == nil && time.Until(s.deadline) > timeoutResolution && r.executions.count(id) > 0 && e.undisturbedSince(began, process) && r.faultFreeSince(began.Add(-faultAftermath)) {
		r.violation("%s: request %s to %s was cut without a recent fault: %v", e.name, id, k.path, err)
	}
}

// callerTimeout is how long a caller waits for a complete answer, over all its attempts.
const callerTimeout = 10 * time.Second

// timeoutResolution is the resolution of the timeout that callers state: an entry may end an
// attempt that much before the caller gives up.
const timeoutResolution = time.Millisecond

var (
	errWrongAnswer = errors.New("another request's answer")
	errBrokenConn  = errors.New("the caller's connection broke")
)

// checkAnswer reads and checks an answer. It returns an error if the answer is
// wrong or visibly aborted.
func (r *run) checkAnswer(resp *http.Response, k requestKind, id string, s *stream) error {
	switch {
	case resp.StatusCode == http.StatusOK && k.stream:
		return r.checkStream(resp, k, id, s)
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

// mayRetry reports whether a caller may repeat a request after an answer or an error.
func mayRetry(resp *http.Response, err error) bool {
	switch {
	case errors.Is(err, errWrongAnswer):
		return false
	case resp == nil || resp.StatusCode == http.StatusOK:
		return true
	}
	notRun := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests}
	return resp.StatusCode >= http.StatusInternalServerError || slices.Contains(notRun, resp.StatusCode)
}

// retryAfter returns how long an answer asks the caller to wait, 0 if it doesn't.
func retryAfter(resp *http.Response) time.Duration {
	if resp == nil {
		return 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkStream reads the answer to an attempt of a stream and checks its events.
func (r *run) checkStream(resp *http.Response, k requestKind, id string, s *stream) error {
	err := s.read(resp.Body, id, !k.atMostOnce)
	if errors.Is(err, errWrongAnswer) {
		r.violation("stream %s: %v", id, err)
	}
	return err
}
