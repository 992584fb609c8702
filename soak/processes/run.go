// Package processes is a soak test of the real program: entries of the users'
// platform run as separate processes on loopback, with a simulated store and
// simulated workers, and with faults injected from outside. Signals kill, pause,
// stop and reload the processes; proxies reset, silence, delay and cut
// connections; the store goes down and forgets its history; workers crash, hang
// and drain. Faults are random, determined by a seed, and overlap. The invariants
// are checked by what callers and workers observe.
package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ebonypulley/standin"
)

// Settings are the settings of a run.
type Settings struct {
	// Program is the path of the program to run.
	Program string
	Seed    uint64
	Entries int
	// For is how long faults are injected.
	For time.Duration
	// BadPart adds requests with a prompt part that crashes engines, after the other faults;
	// BadPartEvents is how many events an engine writes before it crashes, BadPartInterval the time
	// between two such requests, zero for the usual. BadPartKill kills all entries once the part is
	// blocked, BadPartFaults lets workers fail beside it.
	BadPart         bool
	BadPartEvents   int
	BadPartInterval time.Duration
	BadPartKill     bool
	BadPartFaults   bool
	// Deadly adds requests that crash each worker that runs them, after the other faults.
	Deadly bool
	// RestartAll adds releases of another software version, and restarts of all entries at once.
	RestartAll bool
	// ClaimFirstStart makes the settings of entries say at each start, also at restarts, that no
	// process has run before.
	ClaimFirstStart bool
	// Failing makes all workers fail a part of their requests while faults are injected, so that
	// the retry budget is used up.
	Failing bool
	// Restarts adds pauses of all entries, and restarts of all, one by one and at once.
	Restarts bool
	// LateArrivals replaces the random faults by those that make requests arrive late at workers.
	LateArrivals bool
	// Streams replaces the random faults by those that may lose, double or reorder events, and lets
	// some callers read slowly.
	Streams bool
	// OutOfStep replaces the random faults by entries that miss what is published; nil for none.
	OutOfStep *OutOfStep
	// Fleet describes the fleet and its load; nil for the usual ones.
	Fleet *Profile
}

// hasReleases reports whether workers of other software versions join.
func (s Settings) hasReleases() bool { return s.RestartAll || s.OutOfStep != nil }

// Report is the result of a run.
type Report struct {
	Requests, Answered, Refused, Other, Cut int64
	Faults                                  int64
	// PeakMemoryMB is the most memory that an entry used.
	PeakMemoryMB int
	// WorstWindows tells for each service how near to the retry budget its worst window came.
	WorstWindows string
	// Deadly tells how many of the requests that crash their workers reached one later than they
	// may, of how many that may.
	Deadly string
	// Streams tells how many attempts began and resumed streams, of how many that were to, and how
	// many streams hold events of two software versions.
	Streams string
	// Violations are the invariants violated. Dir holds the logs of the processes;
	// it is removed if there are no violations.
	Violations []string
	Dir        string
}

type run struct {
	set        Settings
	dir        string
	store      *standin.Store
	storeAddr  string
	entries    []*entry
	workers    []*worker
	executions *executionLog
	badPart    badPartLog
	deadly     deadlyLog
	arrivals   *arrivalLog
	lengths    lengthLog
	wg         sync.WaitGroup
	faults     atomic.Int64
	// activeFaults is the number of faults in progress, without the harmless ones;
	// lastFaultEnd is when the last of them ended, in nanoseconds of Unix time.
	activeFaults atomic.Int64
	lastFaultEnd atomic.Int64
	version      atomic.Int64
	// storeDown is the number of outages of the store in progress, storeBack when the last one ended,
	// in nanoseconds of Unix time.
	storeDown, storeBack atomic.Int64
	// joined counts streams with events of two software versions.
	joined atomic.Int64
	// begun, resumed and carriedOver count the attempts to begin streams, to resume them, and to
	// resume those that began before all entries were killed, which happened last at allKilled.
	begun, resumed, carriedOver progress
	allKilled                   time.Time

	mu sync.Mutex
	// resumeAt are the entries out of step, at which callers resume their streams.
	resumeAt   []*entry
	rnd        *rand.Rand
	report     Report
	violations []string
	// revokedKeys are the revoked keys, the most recent last.
	revokedKeys []revokedKey
	// notRun are the attempts that were reported to a caller as not run.
	notRun []string
	// atMostOnce are the attempts that may run at most once.
	atMostOnce  []string
	began       time.Time
	faultsBegan time.Time // when the first fault was injected
	history     *os.File
}

// recoveryTime is how long the fleet may take to recover after the last fault.
const recoveryTime = 5 * time.Second

// Run runs one seed.
func Run(ctx context.Context, set Settings) (Report, error) {
	r := &run{set: set, store: standin.NewStore(), executions: newExecutionLog(), began: time.Now(), rnd: rand.New(rand.NewPCG(set.Seed, 0))}
	r.arrivals = newArrivalLog(r.note)
	if set.Fleet != nil {
		r.set.Entries, r.arrivals.slack = set.Fleet.entryCount(), set.Fleet.RetrySlack
	}
	var err error
	if r.dir, err = os.MkdirTemp("", "soak-processes-"); err != nil {
		return Report{}, err
	}
	if r.history, err = os.Create(r.dir + "/history.log"); err != nil {
		return Report{}, err
	}
	defer func() { _ = r.history.Close() }()
	if err := r.startFleet(); err != nil {
		return Report{}, err
	}
	defer r.tearDown()
	time.Sleep(recoveryTime / 2)
	if set.Failing || set.LateArrivals {
		time.Sleep(slackAfter)
	}
	faultCtx, stop := context.WithTimeout(ctx, set.For)
	defer stop()
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	if !set.LateArrivals && (set.OutOfStep == nil || set.Fleet != nil) {
		r.startCallers(callerCtx)
	}
	r.wg.Go(func() { r.watchMemory(callerCtx) })
	r.faultsBegan = time.Now()
	if set.Failing {
		r.failWorkers(faultCtx)
	}
	if set.RestartAll {
		r.wg.Go(func() { r.releaseRepeatedly(faultCtx) })
	}
	if set.Restarts {
		r.restartRepeatedly(faultCtx)
	}
	switch {
	case set.LateArrivals:
		r.delayArrivals(faultCtx)
	case set.OutOfStep != nil:
		r.playOutOfStep(faultCtx)
	case set.Streams:
		r.disturbStreams(faultCtx)
	default:
		r.injectFaults(faultCtx)
	}
	for r.disturbed() && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(recoveryTime)
	r.checkRecovered(callerCtx)
	if set.BadPart {
		r.playBadPart(callerCtx)
	}
	if set.Deadly {
		r.playDeadly(callerCtx)
	}
	stopCallers()
	r.wg.Wait()
	r.checkExecutions()
	r.checkQuota()
	r.checkBudget()
	r.checkAttempts()
	r.checkTimeouts()
	r.checkBackoffs()
	r.checkVersions()
	r.report.Violations, r.report.Dir, r.report.Faults = r.violations, r.dir, r.faults.Load()
	if len(r.violations) == 0 {
		_ = os.RemoveAll(r.dir) // a failure only leaves logs behind
	}
	return r.report, nil
}

// startFleet starts the simulated store and workers, and the entries.
func (r *run) startFleet() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, r.store.Handler()) }() // runs until the program exits
	fleet := r.set.fleet()
	for i, w := range fleet {
		k, err := newWorker(i, w, r.executions, r.violation)
		if err != nil {
			return err
		}
		k.arrivals, k.lengths = r.arrivals, &r.lengths
		if r.set.hasReleases() {
			k.release, k.spare = 1, i >= len(fleet)-r.set.releaseSize()
		}
		k.deadly = &r.deadly
		k.badPart, k.badPartEvents, k.crash = &r.badPart, r.set.BadPartEvents, func() {
			r.wg.Go(func() {
				defer k.crashing.Store(false)
				r.crashWorker(k, badPartDown)
			})
		}
		r.workers = append(r.workers, k)
		k.publish(r.store, "ready")
	}
	r.publish()
	return r.startEntries()
}

// The last numbers of the loopback addresses of entries and of workers begin here.
const (
	firstEntryIP  = 10
	firstWorkerIP = 100
)

// loopbackIP returns a loopback address of this process, with a last number. No connection goes out from it,
// so that a port there stays free while the one who listened is down.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&0x3f, pid&0xff, n)
}

func (r *run) startEntries() error {
	seeds := []string{loopbackIP(firstEntryIP) + ":8082", loopbackIP(firstEntryIP+1) + ":8082"}[:min(r.set.Entries, 2)]
	for i := range r.set.Entries {
		e, err := newEntry(r, i)
		if err != nil {
			return err
		}
		if err := e.writeSettings(loopbackIP(firstEntryIP+i), r.set.entryDataCentre(i), seeds); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// publish writes the next configuration to the store. Each one adds a route and
// removes none.
func (r *run) publish() {
	v := r.version.Add(1)
	route := func(path, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": path, "host": "app.example", "path_prefix": path, "kind": kind, "service": service,
			"timeout_ms": 5000, "target_latency_ms": 900, "target_gap_ms": 300, "max_attempts": maxAttempts, "resumable": resumable,
		}
	}
	routes := []any{
		route("/look/", "idempotent", "app", false), route("/book/", "non_idempotent", "app", false),
		route("/draft/", "streaming", "llm", true), route("/letter/", "streaming", "llm", false),
	}
	services := []any{
		map[string]any{"name": "app"},
		map[string]any{"name": "llm", "engine": map[string]any{"slots": 64, "kv_capacity": memoryTokens, "kv_hold_s": 0.5, "stride": 1}},
	}
	plain := "app"
	if p := r.set.Fleet; p != nil {
		routes, services, plain = p.routes(), p.serviceEntries(), p.plainService()
	}
	for i := range v {
		routes = append(routes, route(fmt.Sprintf("/v%d/", i+1), "idempotent", plain, false))
	}
	r.store.Put("op/config", map[string]any{"version": 10 * v, "routes": routes, "services": services, "tenants": r.workspaceEntries()})
}

func (r *run) tearDown() {
	for _, e := range r.entries {
		e.mu.Lock()
		e.exitExpected = true
		e.mu.Unlock()
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		<-e.exited
		_ = e.log.Close()
		e.store.stop()
	}
	for _, k := range r.workers {
		_ = k.server.Close()
		k.proxy.stop()
	}
}

// disturbed reports whether a fault or the restart of an entry is in progress.
func (r *run) disturbed() bool {
	return r.activeFaults.Load() > 0 || slices.ContainsFunc(r.entries, func(e *entry) bool { return e.replacing.Load() })
}

// storeStable reports whether the store has been up for as long as a settled entry has run. Entries that
// are all restarted while it is down know no configuration, and refuse all requests.
func (r *run) storeStable() bool {
	return r.storeDown.Load() == 0 && time.Since(time.Unix(0, r.storeBack.Load())) >= settledTime
}

// faultFreeSince reports whether no fault, other than harmless ones, has been in
// progress since at.
func (r *run) faultFreeSince(at time.Time) bool {
	return r.activeFaults.Load() == 0 && r.lastFaultEnd.Load() < at.UnixNano()
}

func (r *run) randomEntry() *entry   { return r.entries[r.randomInt(len(r.entries))] }
func (r *run) randomWorker() *worker { return r.workers[r.randomInt(len(r.workers))] }

func (r *run) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

func (r *run) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64()
}

// randomMilliseconds returns a random duration from one number of milliseconds
// up to another.
func (r *run) randomMilliseconds(from, to int) time.Duration {
	return time.Duration(from+r.randomInt(to-from)) * time.Millisecond
}

// note adds a line to the run's history.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.history, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records a violation of an invariant.
func (r *run) violation(format string, args ...any) {
	r.note("VIOLATION "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%.3f s: ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}
