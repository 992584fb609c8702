package fleet

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/agent"
	"ebonypulley/config"
	"ebonypulley/entry"
	"ebonypulley/event"
	"ebonypulley/standin"
)

// Network is the network of a fleet. Listeners and dialers carry the name of their process, so
// that a test's network can tell processes apart.
type Network interface {
	Listen(process, addr string) (net.Listener, error)
	Dialer(process string) ebonypulley.Dialer
}

// TCP is the network of the host.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(_, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dialer implements Network.
func (TCP) Dialer(string) ebonypulley.Dialer { return nil }

// Fleet is a deployment that runs in one operating-system process. Each daemon and stand-in is
// a named process of the fleet, which can be started, killed and drained on its own, also
// concurrently. The exported maps may be read while none is being started.
type Fleet struct {
	Plan     *Plan
	Config   *standin.ConfigService
	Engines  map[string]*standin.Engine
	Services map[string]*standin.PlainService
	Agents   map[string]*agent.Agent
	Entries  map[string]*entry.Entry
	network  Network
	group    *ebonypulley.Group
	log      *event.Log
	mu       sync.Mutex // guards Agents, Entries and running
	running  map[string]*process
}

// process is a running daemon or stand-in.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// StartTCP starts a fleet from a document in a free loopback network.
func StartTCP(ctx context.Context, doc *config.Document, log *event.Log) (*Fleet, error) {
	return StartTCPWith(ctx, doc, log, func(*standin.Settings) {})
}

// StartTCPWith is StartTCP with a function that may change the settings of each stand-in.
func StartTCPWith(ctx context.Context, doc *config.Document, log *event.Log, adjust func(*standin.Settings)) (*Fleet, error) {
	network, err := freeNetwork(doc)
	if err != nil {
		return nil, err
	}
	doc, text, err := Rebase(doc, network)
	if err != nil {
		return nil, err
	}
	plan, err := NewPlan(doc, text)
	if err != nil {
		return nil, err
	}
	for i := range plan.Standins {
		adjust(&plan.Standins[i].Settings)
	}
	return start(ctx, TCP{}, plan, log)
}

// Start starts a fleet over a network.
func Start(ctx context.Context, network Network, doc *config.Document, text []byte, log *event.Log) (*Fleet, error) {
	plan, err := NewPlan(doc, text)
	if err != nil {
		return nil, err
	}
	return start(ctx, network, plan, log)
}

func start(ctx context.Context, network Network, plan *Plan, log *event.Log) (*Fleet, error) {
	f := &Fleet{
		Plan:     plan,
		Engines:  make(map[string]*standin.Engine),
		Services: make(map[string]*standin.PlainService),
		Agents:   make(map[string]*agent.Agent),
		Entries:  make(map[string]*entry.Entry),
		network:  network,
		group:    ebonypulley.NewGroup(ctx),
		log:      log,
		running:  make(map[string]*process),
	}
	for _, s := range plan.Standins {
		if err := f.startStandin(s); err != nil {
			_ = f.Stop() // err is the cause
			return nil, err
		}
	}
	for _, s := range plan.Agents {
		f.StartAgent(s.Name)
	}
	for _, s := range plan.Entries {
		f.StartEntry(s.Name)
	}
	return f, nil
}

// freeNetwork finds a loopback network in which the first entry's address is free. The search
// starts at a number derived from the process ID, so that two fleets started at the same time
// do not race for the same network.
func freeNetwork(doc *config.Document) (string, error) {
	const span = lastLoopbackNetwork - firstLoopbackNetwork
	for i := range span {
		network := networkName(firstLoopbackNetwork + (os.Getpid()+i)%span)
		ln, err := net.Listen("tcp", rebaseAddr(doc.Entries[0].HTTP, network))
		if err == nil {
			return network, ln.Close()
		}
	}
	return "", errorx.ExternalError.New("no loopback network is free")
}

// run starts a process of the fleet.
func (f *Fleet) run(name, addr string, serve func(ctx context.Context, ln net.Listener) error) {
	ctx, stop := context.WithCancel(f.group.Context())
	p := &process{cancel: stop, done: make(chan struct{})}
	f.mu.Lock()
	f.running[name] = p
	f.mu.Unlock()
	f.group.Go(func(context.Context) error {
		defer close(p.done)
		ln, err := f.network.Listen(name, addr)
		if err != nil {
			return errorx.ExternalError.Wrap(err, "process %s", name)
		}
		err = serve(ctx, ln)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
}

// Kill stops a process without a drain and waits for its end. Open connections are left to the
// fleet's network.
func (f *Fleet) Kill(name string) {
	p := f.process(name)
	p.cancel()
	<-p.done
}

func (f *Fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

func (f *Fleet) daemonOf(name string) ebonypulley.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.Agents[name]; ok {
		return a
	}
	return f.Entries[name]
}

// Drain drains an agent or an entry and waits for the end of its process.
func (f *Fleet) Drain(ctx context.Context, name string) error {
	p := f.process(name)
	if err := f.daemonOf(name).Drain(ctx); err != nil {
		return err
	}
	<-p.done
	return nil
}

func (f *Fleet) startStandin(s Standin) error {
	h, err := standin.New(s.Settings, f.network.Dialer(s.Name))
	if err != nil {
		return err
	}
	switch h := h.(type) {
	case *standin.ConfigService:
		h.Publish(f.Plan.Text)
		f.Config = h
	case *standin.Engine:
		f.Engines[s.Name] = h
	case *standin.PlainService:
		f.Services[s.Name] = h
	}
	server := &standin.Server{Handler: h}
	f.run(s.Name, s.Settings.Listen, server.Serve)
	return nil
}

// StartAgent starts the agent of an endpoint. After Kill or Drain it starts a new incarnation.
func (f *Fleet) StartAgent(name string) {
	for _, s := range f.Plan.Agents {
		if s.Name == name {
			a := agent.New(s, f.log, f.network.Dialer(name))
			f.mu.Lock()
			f.Agents[name] = a
			f.mu.Unlock()
			f.run(name, s.Listen, a.Serve)
		}
	}
}

// StartEntry starts an entry, or a new incarnation of it after Kill or Drain.
func (f *Fleet) StartEntry(name string) {
	for _, s := range f.Plan.Entries {
		if s.Name == name {
			e := entry.New(s, f.log, f.network.Dialer(name))
			f.mu.Lock()
			f.Entries[name] = e
			f.mu.Unlock()
			f.run(name, s.Listen, e.Serve)
		}
	}
}

const readyPollInterval = 20 * time.Millisecond

// Ready waits until each entry is connected to the agents of all endpoints and these endpoints
// are up.
func (f *Fleet) Ready(ctx context.Context) error {
	for !f.allConnected() {
		select {
		case <-ctx.Done():
			return errorx.TimeoutElapsed.Wrap(ctx.Err(), "the fleet is not ready")
		case <-f.group.Context().Done():
			return f.group.Wait()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (f *Fleet) allConnected() bool {
	for _, e := range f.Entries {
		if e.ReadyEndpoints() < len(f.Plan.Document.Endpoints) {
			return false
		}
	}
	return true
}

// HeldRequests returns the number of requests in the memory of all engines.
func (f *Fleet) HeldRequests() int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().HeldRequests
	}
	return n
}

// RunCounts returns how often each call ran at the plain services.
func (f *Fleet) RunCounts() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.Services {
		for call, n := range s.RunCounts() {
			runs[call] += n
		}
	}
	return runs
}

// Stop stops all processes. If one of them has failed before, which stops the others too, Stop
// logs and returns its error.
func (f *Fleet) Stop() error {
	f.group.Stop()
	err := f.group.Wait()
	if err != nil {
		f.log.Emit(event.Stopped, event.Err(err))
	}
	return err
}
