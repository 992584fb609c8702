// Package agent implements the daemon beside one endpoint, through which all
// work for that endpoint passes. It grants leases on the endpoint's capacity,
// starts and cancels calls, drains the endpoint, and sends engines their
// orders. Entries may act on stale views; the agent's decision is
// authoritative.
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

// Settings configures an agent process.
type Settings struct {
	// Name is the name of the declared endpoint.
	Name string `json:"name"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"data_centre"`
	// Listen is the IP:port that entries connect to.
	Listen string `json:"listen"`
	// Debug is the IP:port that serves expvar; empty disables it.
	Debug string `json:"debug"`
	// ConfigService is the URL of the configuration service, which is read when
	// no entry has sent a heartbeat for a while; empty disables this.
	ConfigService string `json:"config_service"`
}

// Timings and limits of the agent's connections and its tick loop.
const (
	tickInterval = 25 * time.Millisecond
	// pauseThreshold is the longest gap between ticks that is not reported as a
	// pause of the process.
	pauseThreshold = time.Second
	// pauseGrace is the time allowed after a pause for reading the heartbeats
	// that arrived during it.
	pauseGrace   = time.Second
	helloTimeout = 5 * time.Second
	// sessionIdleTimeout is after how long without a message a connection
	// counts as abandoned by its entry and is closed.
	sessionIdleTimeout = 10 * time.Second
	maxSessions        = 4096
)

// worker performs the work of the endpoint's role. All methods are called with
// the agent's lock held and must not block.
type worker interface {
	// handle processes a message of an attempt.
	handle(s *session, m wire.AttemptMessage)
	// granted is called when a waiting attempt gets its lease.
	granted(id wire.ID)
	// waitEnded is called when a waiting attempt is refused.
	waitEnded(id wire.ID, reason wire.Reason)
	// expired is called when a lease ends because its holder sent no heartbeat
	// in time or its deadline passed. The worker frees the endpoint's
	// resources, then releases the lease.
	expired(id wire.ID)
	// tick performs the work that depends on time.
	tick(now time.Time)
	// backlog returns the number of prompt tokens of the prefills that have not
	// ended.
	backlog() int
	// idle reports whether no result or answer is left to deliver.
	idle() bool
	// pending describes the work that is left, for the log.
	pending() string
}

var _ ebonypulley.Daemon = (*Agent)(nil)

// Agent is the agent daemon. Create it with New.
type Agent struct {
	settings    Settings
	log         *event.Log
	incarnation wire.Incarnation
	// fence is the fencing number of all orders that this incarnation sends.
	fence uint64
	store *config.Store
	// configFetch chooses the entry to request a newer configuration document
	// from.
	configFetch config.FetchTracker
	dial        ebonypulley.Dialer
	group       *ebonypulley.Group

	mu       sync.Mutex
	leases   *lease.Table
	worker   worker
	endpoint config.Endpoint
	pool     config.Pool
	model    string
	sessions map[*session]struct{}
	// holders maps the incarnation of each entry to its latest session.
	holders  map[wire.Incarnation]*session
	health   health
	removed  bool
	draining bool
	// drainLogged is when DrainWaits was last logged.
	drainLogged   time.Time
	drained       chan struct{}
	lastHeartbeat time.Time
}

var agentErrors = errorx.NewNamespace("agent")

// ErrListen is returned by Run when it can't listen on the address.
var ErrListen = agentErrors.NewType("listen")

// New returns an agent that serves once Run or Serve is called. It uses dial to
// reach the endpoint and the platform's services; nil uses TCP.
func New(settings Settings, log *event.Log, dial ebonypulley.Dialer) *Agent {
	return &Agent{
		settings:    settings,
		log:         log.With(zap.String("agent", settings.Name)),
		incarnation: wire.NewID(),
		fence:       uint64(time.Now().UnixNano()),
		store:       new(config.Store),
		sessions:    make(map[*session]struct{}),
		holders:     make(map[wire.Incarnation]*session),
		dial:        dial,
		health:      newHealth(dial.HTTPClient(false)),
		drained:     make(chan struct{}),
	}
}

// Store returns the store of the agent's configuration document.
func (a *Agent) Store() *config.Store { return a.store }

// Run listens on Settings.Listen and serves until ctx ends or Drain completes.
//
// The process holds the listening port as long as it exists. A paused predecessor
// on the same VM therefore keeps its successor from starting, so that two
// agents never send orders to one endpoint.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "agent %s", a.settings.Name)
	}
	return a.Serve(ctx, ln)
}

// Serve is Run on an existing listener, which it closes.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	a.group = ebonypulley.NewGroup(ctx)
	a.log.Emit(event.Started, zap.String("listen", ln.Addr().String()), zap.Stringer("incarnation", a.incarnation))
	a.group.Go(func(ctx context.Context) error { return a.accept(ctx, ln) })
	a.group.Go(a.tickLoop)
	a.group.Go(a.configLoop)
	a.group.Go(a.healthLoop)
	if a.settings.ConfigService != "" {
		a.group.Go(a.watchConfigService)
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

// Drain refuses new work, waits until work in progress has completed and was
// delivered, and then ends Run.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	if !a.draining {
		a.draining = true
		a.drainLogged = time.Now()
		a.log.Emit(event.DrainBegan)
		a.drainLeases()
		a.broadcastLoad()
	}
	a.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.drained:
		a.log.Emit(event.DrainEnded)
		a.group.Stop()
		return nil
	}
}

func (a *Agent) drainLeases() {
	if a.leases != nil {
		a.applyChanges(a.leases.Drain())
	}
}

// broadcastLoad sends the current load to all entries without waiting for their
// next ping.
func (a *Agent) broadcastLoad() {
	for s := range a.sessions {
		s.send(a.pong(0))
	}
}

func (a *Agent) tickLoop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	detector := ebonypulley.NewPauseDetector(pauseThreshold)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if pause := detector.Tick(now); pause > 0 {
			a.log.Emit(event.Paused, zap.Duration("pause", pause))
			a.graceAfterPause(now)
		}
		a.tick(now)
	}
}

// graceAfterPause extends the leases after a pause of this process, whose
// holders' heartbeats may still be in the socket buffers. Leases of holders
// that did fail expire a second later.
func (a *Agent) graceAfterPause(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leases != nil {
		a.leases.ExtendHolders(now, pauseGrace)
	}
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.sessions {
		if s.conn.IdleTime(now) > sessionIdleTimeout {
			s.conn.Close()
		}
	}
	if a.worker != nil {
		a.applyChanges(a.leases.Tick(now))
		a.worker.tick(now)
	}
	a.switchRole()
	if a.draining {
		a.checkDrained(now)
	}
}

// drainLogInterval is the interval at which a drain that still waits is logged.
const drainLogInterval = 5 * time.Second

// checkDrained completes the drain if no work is left; otherwise it logs, every
// drainLogInterval, what is left.
func (a *Agent) checkDrained(now time.Time) {
	if !a.idle() {
		if now.Sub(a.drainLogged) >= drainLogInterval {
			a.drainLogged = now
			a.log.Emit(event.DrainWaits, zap.Int("active", a.leases.Active()), zap.Int("waiting", a.leases.Waiting()), zap.String("work", a.worker.pending()))
		}
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}

func (a *Agent) idle() bool {
	return a.worker == nil || a.leases.Idle() && a.worker.idle()
}

// applyChanges passes lease changes to the worker.
func (a *Agent) applyChanges(changes []lease.Change) {
	for _, c := range changes {
		switch c.Kind {
		case lease.WasGranted:
			a.worker.granted(c.ID)
		case lease.WaitEnded:
			a.worker.waitEnded(c.ID, c.Reason)
		case lease.Expired:
			a.log.Emit(event.LeaseExpired, zap.Stringer("attempt", c.ID))
			a.worker.expired(c.ID)
		}
	}
}

// release ends a lease and grants the freed capacity to waiting attempts.
func (a *Agent) release(id wire.ID) {
	now := time.Now()
	a.leases.Release(now, id)
	a.applyChanges(a.leases.Tick(now))
}

// load returns the load report that is part of every reply.
func (a *Agent) load() wire.Load {
	l := wire.Load{
		CacheEpoch: a.health.epoch,
		Draining:   a.draining,
		Down:       a.health.down || a.removed || a.worker == nil || a.roleChangePending(),
	}
	if a.worker == nil {
		return l
	}
	l.Active = a.leases.Active()
	l.Waiting = a.leases.Waiting()
	l.Capacity = a.leases.MaxLeases()
	l.Backlog = a.worker.backlog()
	return l
}

// refusalReason returns why the agent accepts no new attempts, or "" if it
// does.
func (a *Agent) refusalReason() wire.Reason {
	switch {
	case a.draining || a.removed:
		return wire.ReasonDraining
	case a.worker == nil:
		return wire.ReasonNoConfig
	case a.roleChangePending():
		return wire.ReasonWrongRole
	case a.health.down:
		return wire.ReasonEndpointDown
	default:
		return ""
	}
}

// engineRefusalReason is refusalReason for work that needs the given model.
func (a *Agent) engineRefusalReason(model string) wire.Reason {
	if reason := a.refusalReason(); reason != "" {
		return reason
	}
	if model != a.model {
		return wire.ReasonWrongRole
	}
	return ""
}

// Stats is the state of an agent that expvar publishes.
type Stats struct {
	Active     int    `json:"active"`
	Waiting    int    `json:"waiting"`
	Tokens     int    `json:"tokens"`
	Sessions   int    `json:"sessions"`
	Generation uint64 `json:"generation"`
	Draining   bool   `json:"draining"`
	Down       bool   `json:"down"`
}

// Stats returns the agent's current statistics.
func (a *Agent) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{Sessions: len(a.sessions), Generation: a.store.Generation(), Draining: a.draining, Down: a.health.down}
	if a.leases != nil {
		s.Active = a.leases.Active()
		s.Waiting = a.leases.Waiting()
		s.Tokens = a.leases.Tokens()
	}
	return s
}

// Incarnation returns the ID of this run of the agent.
func (a *Agent) Incarnation() wire.Incarnation { return a.incarnation }
