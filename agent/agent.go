// Package agent is the process beside one endpoint and its only gate: it
// grants leases on engine memory, starts calls, cancels, drains and gives
// orders. Entries may hold stale opinions; what the agent says is so.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/lease"
	"ebonypulley/wire"
)

// Settings of an agent process.
type Settings struct {
	// Name is that of the declared endpoint.
	Name string `json:"name"`
	// DataCentre is where the VM stands.
	DataCentre string `json:"data_centre"`
	// Listen is the IP:port that entries connect to.
	Listen string `json:"listen"`
	// Debug is the IP:port of expvar; empty for none.
	Debug string `json:"debug"`
	// ConfigService is read when no entry has connected for a while; empty
	// for never.
	ConfigService string `json:"config_service"`
}

// Timing of the agent's own loop.
const (
	tickInterval = 25 * time.Millisecond
	// pauseAllowed is the longest gap between ticks that is no pause.
	pauseAllowed = time.Second
	// pauseGrace is the time to read the heartbeats that arrived meanwhile.
	pauseGrace = time.Second
	helloWait  = 5 * time.Second
	// sessionSilence ends a connection that its entry does not use any more.
	sessionSilence = 10 * time.Second
	maxSessions    = 4096
)

// worker does the work of the endpoint's role. All methods are called with
// the agent's lock held and must not block.
type worker interface {
	// handle takes an attempt's message.
	handle(s *session, m wire.Attempted)
	// granted tells that a waiting attempt now holds a lease.
	granted(id wire.ID)
	// dropped tells that a waiting attempt was refused.
	dropped(id wire.ID, reason wire.Reason)
	// expired tells that a lease ended without its holder; the worker frees
	// the endpoint and then releases the lease.
	expired(id wire.ID)
	// tick does what time demands.
	tick(now time.Time)
	// backlog returns the queued work in tokens.
	backlog() int
	// idle reports whether nothing is left to deliver.
	idle() bool
	// pending describes what is left, for the log.
	pending() string
}

var _ ebonypulley.Daemon = (*Agent)(nil)

// Agent is the daemon. Create it with New.
type Agent struct {
	set Settings
	log *event.Log
	inc wire.Incarnation
	// fence is the fencing number of all orders of this incarnation.
	fence uint64
	store *config.Store
	// ask chooses the entry that is asked for a newer document.
	ask   config.Ask
	dial  ebonypulley.Dialer
	group *ebonypulley.Group

	mu       sync.Mutex
	gate     *lease.Table
	worker   worker
	endpoint config.Endpoint
	pool     config.Pool
	model    string
	sessions map[*session]struct{}
	// holders has the latest session of each entry's incarnation.
	holders  map[wire.Incarnation]*session
	health   health
	removed  bool
	draining bool
	// drainSaid is when DrainWaits was last logged.
	drainSaid time.Time
	idle      chan struct{}
	peerSeen  time.Time
}

var agentErrors = errorx.NewNamespace("agent")

// ErrListen is returned by Run when the address can't be had.
var ErrListen = agentErrors.NewType("listen")

// New returns an agent; it serves after Run. Dial reaches the endpoint and
// the platform; nil means TCP.
func New(set Settings, log *event.Log, dial ebonypulley.Dialer) *Agent {
	return &Agent{
		set:      set,
		log:      log.With(zap.String("agent", set.Name)),
		inc:      wire.NewID(),
		fence:    uint64(time.Now().UnixNano()),
		store:    new(config.Store),
		sessions: make(map[*session]struct{}),
		holders:  make(map[wire.Incarnation]*session),
		dial:     dial,
		health:   newHealth(dial.HTTPClient(false)),
		idle:     make(chan struct{}),
	}
}

// Store returns the agent's configuration.
func (a *Agent) Store() *config.Store { return a.store }

// Run listens and serves until ctx ends or Drain completes.
//
// The listening port is held for the whole life of the process. A paused
// predecessor on the same VM therefore keeps its successor out, and two
// agents never give orders to one endpoint.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", a.set.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "agent %s", a.set.Name)
	}
	return a.Serve(ctx, ln)
}

// Serve is Run on a listener, which it closes.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	a.group = ebonypulley.NewGroup(ctx)
	a.log.Emit(event.Started, zap.String("listen", ln.Addr().String()), zap.Stringer("incarnation", a.inc))
	a.group.Go(func(ctx context.Context) error { return a.accept(ctx, ln) })
	a.group.Go(a.tickLoop)
	a.group.Go(a.configLoop)
	a.group.Go(a.healthLoop)
	if a.set.ConfigService != "" {
		a.group.Go(a.watchService)
	}
	err := a.group.Wait()
	a.log.Emit(event.Stopped)
	return err
}

func (a *Agent) accept(ctx context.Context, ln net.Listener) error {
	wire.Accept(ctx, ln, a.log, func(nc net.Conn) {
		a.group.Go(func(ctx context.Context) error {
			a.serveSession(ctx, nc)
			return nil
		})
	})
	return nil
}

// Drain refuses new work at once, lets work in progress end whole and be
// delivered, and then ends Run.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	if !a.draining {
		a.draining = true
		a.drainSaid = time.Now()
		a.log.Emit(event.DrainBegan)
		a.closeGate()
		a.tellAll()
	}
	a.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.idle:
		a.log.Emit(event.DrainEnded)
		a.group.Stop()
		return nil
	}
}

func (a *Agent) closeGate() {
	if a.gate != nil {
		a.apply(a.gate.Drain())
	}
}

// tellAll sends the current load, unasked, so that entries learn at once.
func (a *Agent) tellAll() {
	for s := range a.sessions {
		s.send(a.pong(0))
	}
}

func (a *Agent) tickLoop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	detector := ebonypulley.NewPauseDetector(pauseAllowed)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if pause := detector.Tick(now); pause > 0 {
			a.log.Emit(event.Paused, zap.Duration("pause", pause))
			a.afterPause(now)
		}
		a.tick(now)
	}
}

// afterPause keeps a wake-up from ending leases whose heartbeats are still in
// the socket buffers. Holders that are really gone lose theirs a second later.
func (a *Agent) afterPause(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil {
		a.gate.Grace(now, pauseGrace)
	}
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.sessions {
		if s.conn.Silence(now) > sessionSilence {
			s.conn.Close()
		}
	}
	if a.worker != nil {
		a.apply(a.gate.Tick(now))
		a.worker.tick(now)
	}
	a.switchRole()
	if a.draining {
		a.drained(now)
	}
}

// drainReport is the pause between two events about a drain that waits.
const drainReport = 5 * time.Second

// drained ends the drain when nothing is left, and says what is left if not.
func (a *Agent) drained(now time.Time) {
	if !a.quiet() {
		if now.Sub(a.drainSaid) >= drainReport {
			a.drainSaid = now
			a.log.Emit(event.DrainWaits, zap.Int("active", a.gate.Active()), zap.Int("waiting", a.gate.Waiting()), zap.String("work", a.worker.pending()))
		}
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

func (a *Agent) quiet() bool {
	return a.worker == nil || a.gate.Idle() && a.worker.idle()
}

// apply hands the gate's changes to the worker.
func (a *Agent) apply(changes []lease.Change) {
	for _, c := range changes {
		switch c.Kind {
		case lease.WasGranted:
			a.worker.granted(c.ID)
		case lease.WaitEnded:
			a.worker.dropped(c.ID, c.Reason)
		case lease.Expired:
			a.log.Emit(event.LeaseExpired, zap.Stringer("attempt", c.ID))
			a.worker.expired(c.ID)
		}
	}
}

// release ends a lease and hands on what became free.
func (a *Agent) release(id wire.ID) {
	now := time.Now()
	a.gate.Release(now, id)
	a.apply(a.gate.Tick(now))
}

// load is the word about the endpoint that rides on every reply.
func (a *Agent) load() wire.Load {
	l := wire.Load{
		CacheEpoch: a.health.epoch,
		Draining:   a.draining,
		Down:       a.health.down || a.removed || a.worker == nil || a.switching(),
	}
	if a.worker == nil {
		return l
	}
	l.Active = a.gate.Active()
	l.Waiting = a.gate.Waiting()
	l.Capacity = a.gate.Requests()
	l.Backlog = a.worker.backlog()
	return l
}

// refusal tells why no new attempt can be taken at all, or "".
func (a *Agent) refusal() wire.Reason {
	switch {
	case a.draining || a.removed:
		return wire.Draining
	case a.worker == nil:
		return wire.NoConfig
	case a.switching():
		return wire.WrongRole
	case a.health.down:
		return wire.EndpointDown
	default:
		return ""
	}
}

// engineRefusal is refusal for work of a model.
func (a *Agent) engineRefusal(model string) wire.Reason {
	if reason := a.refusal(); reason != "" {
		return reason
	}
	if model != a.model {
		return wire.WrongRole
	}
	return ""
}

// Stats is a snapshot for expvar and tests.
type Stats struct {
	Active     int    `json:"active"`
	Waiting    int    `json:"waiting"`
	Tokens     int    `json:"tokens"`
	Sessions   int    `json:"sessions"`
	Generation uint64 `json:"generation"`
	Draining   bool   `json:"draining"`
	Down       bool   `json:"down"`
}

// Stats returns the current figures.
func (a *Agent) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{Sessions: len(a.sessions), Generation: a.store.Generation(), Draining: a.draining, Down: a.health.down}
	if a.gate != nil {
		s.Active = a.gate.Active()
		s.Waiting = a.gate.Waiting()
		s.Tokens = a.gate.Tokens()
	}
	return s
}

// Incarnation identifies this run of the agent.
func (a *Agent) Incarnation() wire.Incarnation { return a.inc }
