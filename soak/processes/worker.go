package processes

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypulley/standin"
)

// streamEvents is the number of events of a complete generation, eventGap the
// time before each of them, callTime the duration of a plain call.
const (
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
	callTime     = 20 * time.Millisecond
	// workerSlots is how many requests a worker serves at a time.
	workerSlots = 16
)

// executionLog records what workers ran, by the ID of the caller's attempt.
type executionLog struct {
	mu   sync.Mutex
	runs map[string]int
	// inProgress are the attempts that a worker is running.
	inProgress map[string]bool
	// usage lists the cost of the attempts of each workspace that ran, each
	// attempt once.
	usage map[string][]usage
}

func newExecutionLog() *executionLog {
	return &executionLog{runs: make(map[string]int), inProgress: make(map[string]bool), usage: make(map[string][]usage)}
}

func (l *executionLog) begin(id, workspace string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id] == 0 {
		l.usage[workspace] = append(l.usage[workspace], usage{time.Now(), tokens})
	}
	l.runs[id]++
	l.inProgress[id] = true
}

func (l *executionLog) usageOf(workspace string) []usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.usage[workspace])
}

func (l *executionLog) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inProgress, id)
}

func (l *executionLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *executionLog) isRunning(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inProgress[id]
}

// workerKind is what a worker is for.
type workerKind struct {
	service, stage, dataCentre string
	pace
}

// worker simulates a worker at one address. It has one incarnation after
// another, each with its own instance ID.
type worker struct {
	workerKind
	number     int
	proxy      *proxy
	server     *http.Server
	executions *executionLog
	hanging    atomic.Bool
	// failing makes the worker fail a part of its requests, refusalDelay is how long it takes to
	// refuse one, in nanoseconds.
	failing      atomic.Bool
	refusalDelay atomic.Int64
	// asksToWait makes the worker refuse all requests and ask their entries to wait.
	asksToWait atomic.Bool
	arrivals   *arrivalLog
	lengths    *lengthLog
	// breaksEvents makes the worker end its streams in the middle of an event.
	breaksEvents atomic.Bool
	// endless makes the worker answer with bytes that don't end; endlessAnswers counts these answers.
	endless        atomic.Bool
	endlessAnswers atomic.Int64
	// breaksAfter is after how many events the worker ends its streams, 0 for never.
	breaksAfter atomic.Int64
	// largeEvents makes the worker write large events, extraAnswers an answer that nobody asked for
	// after others. idle are connections on which one is about to follow.
	largeEvents, extraAnswers atomic.Bool
	idle                      sync.Map
	// badPart records requests with the bad part, deadly those that crash their worker. crash crashes the worker and returns at once;
	// crashing says that it has not restarted yet.
	badPart *badPartLog
	deadly  *deadlyLog
	// badPartEvents is how many events the worker writes to a request with the bad part.
	badPartEvents int
	crash         func()
	crashing      atomic.Bool
	// onViolation reports a request that must not reach a worker.
	onViolation func(format string, args ...any)

	mu           sync.Mutex
	id           string
	incarnations int
	// runs is the number of runs that have begun.
	runs int
	// release is the number of the installed release, 0 if each start installs another one of two.
	release int
	// state is what the store says of the worker, empty if the worker is down or isn't listed.
	state string
	// spare says that the worker is not in service: it has left, or waits for its first release.
	spare         bool
	memory        *memory   // of the current incarnation
	drainingSince time.Time // when it was published as draining, zero if it was not
	lastStart     time.Time // when it last began to run a request
	lastAttempt   string    // the attempt that it then began to run
}

func newWorker(number int, kind workerKind, executions *executionLog, onViolation func(string, ...any)) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{number: number, workerKind: kind, executions: executions, onViolation: onViolation}
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Minute, ConnState: k.onConnState}
	go func() { _ = k.server.Serve(ln) }() // runs until tearDown closes the server
	if k.proxy, err = newProxy(loopbackIP(firstWorkerIP+number)+":0", ln.Addr().String()); err != nil {
		return nil, err
	}
	k.newIncarnation()
	return k, nil
}

// newIncarnation replaces the worker by its next incarnation, which knows nothing of the former.
func (k *worker) newIncarnation() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.incarnations++
	k.id = fmt.Sprintf("i-%s%s-%s-%d", k.service, k.stage, k.proxy.addr(), k.incarnations)
	k.drainingSince, k.memory = time.Time{}, newMemory()
}

// softwareVersion returns the version of the worker's software. The caller holds k.mu.
func (k *worker) softwareVersion() string {
	if k.release > 0 {
		return fmt.Sprintf("v%d", k.release)
	}
	return fmt.Sprintf("v%d", 1+(k.number+k.incarnations)%2)
}

// publish writes the worker's entry to the store, unless it is a spare.
func (k *worker) publish(store *standin.Store, state string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spare {
		return
	}
	k.state = state
	if state == "draining" {
		k.drainingSince = time.Now()
	}
	e := standin.NewWorkerEntry(k.service, k.proxy.addr(), k.stage)
	e.Zone, e.Slots, e.State, e.Version = k.dataCentre, k.slots, state, k.softwareVersion()
	store.Put(k.storeKey(), e)
}

// setDown records that the worker no longer serves. It returns the key of its entry in the store.
func (k *worker) setDown(spare bool) (key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state, k.spare = "", k.spare || spare
	return k.storeKey()
}

// storeKey returns the key of the worker's entry in the store. The caller holds k.mu.
func (k *worker) storeKey() string { return "servers/" + k.id }

func (k *worker) instanceID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	c := standin.ReadWorkerHeaders(r)
	k.arrivals.recordReceived(k, c)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case c.ExpectedIncarnation != k.instanceID():
		if c.AttemptID != "" {
			k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
		}
		standin.SetAnswerHeaders(w.Header(), c.AttemptID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case standin.ServeEngineAPI(w, r, k.currentMemory().state(k.stage, k.memoryTokens)):
	case c.Key != "" || c.Workspace != workspaceOf(c.AttemptID):
		k.onViolation("request %s reached %s as one of %q, with key %q", c.AttemptID, k.instanceID(), c.Workspace, c.Key)
	case k.serveBadPart(w, c), k.serveDeadly(string(body), c):
		panic(http.ErrAbortHandler)
	case k.hanging.Load():
		k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
		<-r.Context().Done()
	case k.endless.Load():
		k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
		k.writeWithoutEnd(w)
	case k.askToWait(w, c):
	case k.serveFailing(w, c):
	case c.Prefill:
		k.arrivals.recordPrefill(k.service, c.AttemptID, k.instanceID())
		time.Sleep(k.prefillTime)
		k.currentMemory().cache(c.PromptParts)
		standin.SetAnswerHeaders(w.Header(), c.AttemptID)
		standin.WritePrefillAnswer(w)
	default:
		k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
		k.serveRequest(w, r, c)
	}
}

// endlessAnswers are the begins and the repeated rest of answers without end: bytes that are no answer, a
// head, a body.
var endlessAnswers = []struct{ begin, rest string }{
	{"", strings.Repeat("x", 64<<10)},
	{"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Field: value\r\n", 4<<10)},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
}

// writeWithoutEnd answers until the connection is closed.
func (k *worker) writeWithoutEnd(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		k.onViolation("%s can't take its connection over: %v", k.instanceID(), err)
		return
	}
	defer func() { _ = nc.Close() }()
	a := endlessAnswers[int(k.endlessAnswers.Add(1))%len(endlessAnswers)]
	for text := a.begin; err == nil; text = a.rest {
		_, err = io.WriteString(nc, text)
	}
}

// serveBadPart records a request with the bad part, and crashes the worker as it writes an answer.
// It reports whether the worker has crashed.
func (k *worker) serveBadPart(w http.ResponseWriter, c standin.WorkerHeaders) bool {
	if !slices.ContainsFunc(c.PromptParts, func(p standin.PromptPart) bool { return p.ID == badPart }) {
		return false
	}
	k.badPart.recordArrival(c.AttemptID)
	if c.Prefill {
		return false
	}
	k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
	k.beginBadAnswer(w, c)
	if k.crashing.CompareAndSwap(false, true) {
		k.badPart.recordCrash()
		k.crash()
	}
	return true
}

// beginBadAnswer writes the events that come before the worker crashes.
func (k *worker) beginBadAnswer(w http.ResponseWriter, c standin.WorkerHeaders) {
	if k.badPartEvents == 0 {
		return
	}
	standin.SetAnswerHeaders(w.Header(), c.AttemptID)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := c.LastEvent + 1; i <= c.LastEvent+k.badPartEvents; i++ {
		time.Sleep(k.eventGap)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", i, eventText(c.AttemptID, i, k.versionNow(), badPart))
		if _, err := io.WriteString(flushWriter{w}, text); err != nil {
			return
		}
	}
}

func (k *worker) versionNow() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.softwareVersion()
}

func (k *worker) serveRequest(w http.ResponseWriter, r *http.Request, c standin.WorkerHeaders) {
	id := c.AttemptID
	tokens := plainTokens
	if k.stage != "" {
		tokens = promptTokens + outputTokens
	}
	k.executions.begin(id, c.Workspace, tokens)
	k.arrivals.runs.record(id, k)
	defer k.executions.end(id)
	k.mu.Lock()
	k.lastStart, k.lastAttempt = time.Now(), id
	k.runs++
	version, run, mem := k.softwareVersion(), fmt.Sprintf("%s/%d", k.id, k.runs), k.memory
	k.mu.Unlock()
	standin.SetAnswerHeaders(w.Header(), id)
	answer, end := openAnswer(w, id, k.stage != "")
	defer end()
	if k.stage == "" {
		time.Sleep(k.callTime)
		_, _ = io.WriteString(answer, "answer to "+id)
		return
	}
	mem.begin(c)
	defer mem.end(id)
	k.stream(r, answer, c, version, run, mem)
}

// stream writes the events that the caller lacks, until it disconnects.
func (k *worker) stream(r *http.Request, answer io.Writer, c standin.WorkerHeaders, version, run string, mem *memory) {
	id, events := c.AttemptID, k.lengths.of(c)
	midway := max((c.LastEvent+events)/2, c.LastEvent+1)
	for i := c.LastEvent + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(k.eventGap):
		}
		mem.setEvents(id, i)
		text := fmt.Sprintf("id: %d\n%sdata: %s\n\n", i, k.padding(), eventText(id, i, version, run))
		if n := int(k.breaksAfter.Load()); n > 0 && i > c.LastEvent+n || k.breaksEvents.Load() || i > midway && k.failureOf(id) == breakOffMidway {
			_, _ = io.WriteString(answer, text[:len(text)/2])
			return
		}
		if _, err := io.WriteString(answer, text); err != nil {
			return
		}
	}
}

// untilCloseFraction is one in how many answers has neither a length nor chunks.
const untilCloseFraction = 4

// openAnswer begins an answer in one of two forms: in chunks or with a length, or until its
// connection ends. The caller must call end.
func openAnswer(w http.ResponseWriter, id string, stream bool) (answer io.Writer, end func()) {
	if xxhash.Sum64String(id)%untilCloseFraction == 0 {
		if u, err := standin.NewUntilClose(w); err == nil {
			return u, u.Close
		}
	}
	if !stream {
		return w, func() {}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	return flushWriter{w}, func() {}
}

// flushWriter sends each write at once.
type flushWriter struct{ w http.ResponseWriter }

func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	return n, errors.Join(err, http.NewResponseController(f.w).Flush())
}

// startedWhileDraining reports whether a request began more than grace after the
// worker was published as draining.
func (k *worker) startedWhileDraining(grace time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.drainingSince.IsZero() && k.lastStart.After(k.drainingSince.Add(grace))
}
