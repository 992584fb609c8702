// Package entry implements the daemon on an entry VM. It accepts the HTTP
// requests of callers, authenticates workspaces and enforces their limits,
// chooses endpoints, and delivers each answer complete and once.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/internal/http10"
	"ebonypulley/membership"
	"ebonypulley/metrics"
	"ebonypulley/peer"
	"ebonypulley/router"
	"ebonypulley/source"
	"ebonypulley/wire"
)

// Settings configures an entry process.
type Settings struct {
	// Name is the name under which the configuration document declares this
	// entry.
	Name string `json:"name"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"data_centre"`
	// Listen is the IP:port that callers connect to.
	Listen string `json:"listen"`
	// Debug is the IP:port that serves expvar; empty disables it.
	Debug string `json:"debug"`
	// ConfigService and VMList are URLs of the platform's services.
	ConfigService string `json:"config_service"`
	VMList        string `json:"vm_list"`
	// Seeds are the addresses (IP:port) of agents to fetch the configuration
	// document from while this entry has none and the configuration service
	// does not answer.
	Seeds []string `json:"seeds"`
	// DrainNotice is how long a draining entry keeps accepting requests while
	// its health check already answers 503. Default 2s.
	DrainNotice config.Duration `json:"drain_notice"`
}

const (
	tickInterval      = time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// pauseThreshold is the longest gap between ticks that is not reported as
	// a pause of the process.
	pauseThreshold     = 3 * time.Second
	defaultDrainNotice = 2 * time.Second
	// initialRetryRatio applies until the first configuration document.
	initialRetryRatio = 0.1
	// retryWindow is the period over which retries are limited to a ratio of
	// the requests. It is long enough for an entry under low load to have a
	// retry left when an engine dies. retrySlack is the number of retries
	// allowed in it beyond that ratio.
	retryWindow = time.Minute
	retrySlack  = 1
	// startupWait is the longest time that a new entry leaves connections in
	// the listen backlog because no endpoint is ready.
	startupWait = 5 * time.Second
	// seedInterval is the pause before each request to a seed. It lets the
	// configuration service, when it is up, deliver the document first.
	seedInterval = 250 * time.Millisecond
)

var _ ebonypulley.Daemon = (*Entry)(nil)

// Entry is the entry daemon. Create it with New.
type Entry struct {
	settings    Settings
	log         *event.Log
	incarnation wire.Incarnation
	self        peer.Self
	dial        ebonypulley.Dialer
	store       *config.Store
	view        *membership.View
	peers       *peer.Manager
	limits      *limits
	router      *router.Router
	profiles    profileCache
	prefixes    *prefixIndex
	metrics     *metrics.Set
	server      *http.Server
	group       *ebonypulley.Group
	draining    atomic.Bool

	randomMu sync.Mutex
	random   *rand.Rand
}

var entryErrors = errorx.NewNamespace("entry")

// ErrListen is returned by Run and Serve when the listener can't be opened or
// fails.
var ErrListen = entryErrors.NewType("listen")

// New returns an entry that serves once Run or Serve is called. A nil dial uses
// TCP.
func New(settings Settings, log *event.Log, dial ebonypulley.Dialer) *Entry {
	if settings.DrainNotice == 0 {
		settings.DrainNotice = config.Duration(defaultDrainNotice)
	}
	e := &Entry{
		settings:    settings,
		log:         log.With(zap.String("entry", settings.Name)),
		incarnation: wire.NewID(),
		store:       new(config.Store),
		view:        membership.NewView(),
		limits:      newLimits(time.Now()),
		prefixes:    newPrefixIndex(),
		metrics:     metrics.NewSet(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.self = peer.Self{Name: settings.Name, DataCentre: settings.DataCentre, Incarnation: e.incarnation}
	e.dial = dial
	e.peers = peer.NewManager(e.self, e.store, e.view, e.log, dial)
	e.peers.OnFreed = e.metrics.Histogram("cancel_to_freed").Record
	e.router = router.New(router.Settings{
		DataCentre:  settings.DataCentre,
		RetryRatio:  initialRetryRatio,
		RetryWindow: retryWindow,
		RetrySlack:  retrySlack,
		Restarted:   true,
		SingleEntry: true, // the retry slack is per entry
		Chooser:     chooser{e},
	}, agentEndpoints{e}, e.log, e.metrics)
	e.server = newServer(e.routes())
	return e
}

// newServer returns a server for callers.
func newServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	http10.ResetAborted(s)
	return s
}

// Store returns the store of the entry's configuration document.
func (e *Entry) Store() *config.Store { return e.store }

// Metrics returns the entry's counters and histograms.
func (e *Entry) Metrics() *metrics.Set { return e.metrics }

// Run listens on Settings.Listen and serves until ctx ends or Drain completes.
func (e *Entry) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "entry %s", e.settings.Name)
	}
	return e.Serve(ctx, ln)
}

// Serve is Run on an existing listener, which it closes.
func (e *Entry) Serve(ctx context.Context, ln net.Listener) error {
	e.group = ebonypulley.NewGroup(ctx)
	e.log.Emit(event.Started, zap.String("listen", ln.Addr().String()), zap.Stringer("incarnation", e.incarnation))
	e.log.Emit(event.EarlierRuns, zap.Bool("assumed", true))
	e.group.Go(e.peers.Run)
	e.group.Go(e.configLoop)
	e.group.Go(e.tickLoop)
	e.group.Go(e.bootstrap)
	e.watchPlatform()
	e.group.Go(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = e.server.Close() })
		defer stop()
		e.awaitReadyEndpoint(ctx)
		if err := e.server.Serve(ln); err != http.ErrServerClosed {
			return ErrListen.Wrap(err, "serve")
		}
		return nil
	})
	err := e.group.Wait()
	e.log.Emit(event.Stopped)
	return err
}

// awaitReadyEndpoint returns when an endpoint is ready, or after startupWait.
// Until then new connections wait in the listen backlog, so that a starting
// entry does not refuse requests only because the configuration document has
// not arrived yet.
func (e *Entry) awaitReadyEndpoint(ctx context.Context) {
	until := time.Now().Add(startupWait)
	for e.ReadyEndpoints() == 0 && time.Now().Before(until) {
		if !ebonypulley.Sleep(ctx, readyPollInterval) {
			return
		}
	}
}

// bootstrap fetches the configuration document from the seeds, in turn, until
// this entry has one.
//
// An entry VM that is replaced while the configuration service is down would
// otherwise refuse all requests until the service is back. Each agent keeps the
// active document and sends it to any peer that has an older one.
func (e *Entry) bootstrap(ctx context.Context) error {
	if len(e.settings.Seeds) == 0 {
		return nil
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(seedInterval):
		}
		if e.store.Current() != nil {
			return nil
		}
		addr := e.settings.Seeds[i%len(e.settings.Seeds)]
		text, err := peer.FetchConfig(ctx, e.self, e.dial, addr)
		if err != nil {
			e.log.Emit(event.SeedHasNoConfig, zap.String("seed", addr), event.Err(err))
			continue
		}
		result, findings := e.store.Offer("seed "+addr, text)
		config.LogOfferResult(e.log, result, e.store.Generation(), findings)
	}
}

func (e *Entry) watchPlatform() {
	client := e.dial.HTTPClient(false)
	if e.settings.ConfigService != "" {
		w := source.ConfigWatcher{URL: e.settings.ConfigService, Store: e.store, Log: e.log, HTTP: client}
		e.group.Go(w.Run)
	}
	if e.settings.VMList != "" {
		w := source.VMWatcher{URL: e.settings.VMList, View: e.view, Log: e.log, HTTP: client}
		e.group.Go(w.Run)
	}
	e.group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		client.CloseIdleConnections()
		return nil
	})
}

// Drain answers health checks with 503 so that the load balancer stops sending
// requests, keeps serving for DrainNotice, then closes the listener, waits for
// requests in progress and ends Run.
//
// A caller that sends a request on a keep-alive connection at the moment the
// server closes it loses that request. Each answer during DrainNotice therefore
// carries "Connection: close", so that the caller closes the connection and
// none is in use when the server shuts down.
func (e *Entry) Drain(ctx context.Context) error {
	if !e.draining.CompareAndSwap(false, true) {
		<-e.group.Context().Done()
		return nil
	}
	e.log.Emit(event.DrainBegan)
	t := time.NewTimer(e.settings.DrainNotice.D())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	if err := e.server.Shutdown(ctx); err != nil {
		return err
	}
	e.log.Emit(event.DrainEnded)
	e.group.Stop()
	return nil
}

func (e *Entry) configLoop(ctx context.Context) error {
	changed := e.store.Watch()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			doc := e.store.Current().Document
			e.limits.apply(doc)
			e.router.SetDirectory(directory(doc))
			e.router.SetRetryBudget(doc.Limits.RetryRatio, retryWindow, retrySlack)
		}
	}
}

func (e *Entry) tickLoop(ctx context.Context) error {
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
			e.log.Emit(event.Paused, zap.Duration("pause", pause))
		}
		e.peers.Tick(now)
	}
}

// directory lists the declared endpoints, so that the router drops what it has
// learned about all others. The chooser reads the configuration document
// itself.
func directory(doc *config.Document) *router.Directory {
	endpoints := make([]*router.Endpoint, 0, len(doc.Endpoints))
	for _, m := range doc.Endpoints {
		endpoints = append(endpoints, routerEndpoint(m))
	}
	return router.NewDirectory(doc.Generation, doc.Limits.MaxBodyBytes, nil, nil, endpoints)
}
