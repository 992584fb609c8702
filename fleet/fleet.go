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

// Network is what a fleet's processes speak over; a process is named, so that
// a test's network can tell them apart.
type Network interface {
	Listen(process, addr string) (net.Listener, error)
	Dialer(process string) ebonypulley.Dialer
}

// TCP is the machine's own network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(_, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dialer implements Network.
func (TCP) Dialer(string) ebonypulley.Dialer { return nil }

// Fleet is a whole deployment in one process. Processes may be started,
// killed and drained from several goroutines; the maps may be read while none
// is started.
type Fleet struct {
	Plan     *Plan
	Config   *standin.ConfigService
	Engines  map[string]*standin.Engine
	Services map[string]*standin.PlainService
	Agents   map[string]*agent.Agent
	Entries  map[string]*entry.Entry
	net      Network
	group    *ebonypulley.Group
	log      *event.Log
	mu       sync.Mutex // guards Agents, Entries and running
	running  map[string]*process
}

// process is one running process of a fleet.
type process struct {
	stop  context.CancelFunc
	ended chan struct{}
}

// StartTCP runs a fleet from a document, in a loopback network that is free.
func StartTCP(ctx context.Context, doc *config.Document, log *event.Log) (*Fleet, error) {
	return StartTCPWith(ctx, doc, log, func(*standin.Settings) {})
}

// StartTCPWith is StartTCP with the settings of each stand-in adjusted.
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

// Start runs a fleet over a network.
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
		net:      network,
		group:    ebonypulley.NewGroup(ctx),
		log:      log,
		running:  make(map[string]*process),
	}
	for _, s := range plan.Standins {
		if err := f.startStandin(s); err != nil {
			_ = f.Stop() // the error that is returned comes first
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

// freeNetwork finds a network in which the first entry's address is free.
// The search starts at a number of this process, so that two fleets started
// together do not race for the same one.
func freeNetwork(doc *config.Document) (string, error) {
	const span = lastNetwork - firstNetwork
	for i := range span {
		network := networkName(firstNetwork + (os.Getpid()+i)%span)
		ln, err := net.Listen("tcp", rebase(doc.Entries[0].HTTP, network))
		if err == nil {
			return network, ln.Close()
		}
	}
	return "", errorx.ExternalError.New("no loopback network is free")
}

// run starts one process of the fleet.
func (f *Fleet) run(name, addr string, serve func(ctx context.Context, ln net.Listener) error) {
	ctx, stop := context.WithCancel(f.group.Context())
	p := &process{stop: stop, ended: make(chan struct{})}
	f.mu.Lock()
	f.running[name] = p
	f.mu.Unlock()
	f.group.Go(func(context.Context) error {
		defer close(p.ended)
		ln, err := f.net.Listen(name, addr)
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

// Kill ends a process at once, without a drain. Its connections end as its
// network ends them.
func (f *Fleet) Kill(name string) {
	p := f.process(name)
	p.stop()
	<-p.ended
}

func (f *Fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

func (f *Fleet) daemon(name string) ebonypulley.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.Agents[name]; ok {
		return a
	}
	return f.Entries[name]
}

// Drain lets an agent or entry finish and waits for the end of its process.
func (f *Fleet) Drain(ctx context.Context, name string) error {
	p := f.process(name)
	if err := f.daemon(name).Drain(ctx); err != nil {
		return err
	}
	<-p.ended
	return nil
}

func (f *Fleet) startStandin(s NamedStandin) error {
	h, err := standin.New(s.Settings, f.net.Dialer(s.Name))
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

// StartAgent runs the agent of an endpoint; after Kill or Drain it runs a
// successor.
func (f *Fleet) StartAgent(name string) {
	for _, s := range f.Plan.Agents {
		if s.Name == name {
			a := agent.New(s, f.log, f.net.Dialer(name))
			f.mu.Lock()
			f.Agents[name] = a
			f.mu.Unlock()
			f.run(name, s.Listen, a.Serve)
		}
	}
}

// StartEntry runs an entry, as StartAgent does an agent.
func (f *Fleet) StartEntry(name string) {
	for _, s := range f.Plan.Entries {
		if s.Name == name {
			e := entry.New(s, f.log, f.net.Dialer(name))
			f.mu.Lock()
			f.Entries[name] = e
			f.mu.Unlock()
			f.run(name, s.Listen, e.Serve)
		}
	}
}

// readyPoll is the pause between two looks in Ready.
const readyPoll = 20 * time.Millisecond

// Ready waits until every agent's endpoint is up and every entry is
// connected to all of them.
func (f *Fleet) Ready(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return errorx.TimeoutElapsed.Wrap(ctx.Err(), "the fleet is not ready")
		case <-f.group.Context().Done():
			return f.group.Wait()
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, e := range f.Entries {
		if e.ReadyEndpoints() < len(f.Plan.Document.Endpoints) {
			return false
		}
	}
	return true
}

// Held returns how many requests all engines hold.
func (f *Fleet) Held() int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().Held
	}
	return n
}

// Runs returns how often each call ran, over all plain services.
func (f *Fleet) Runs() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.Services {
		for call, n := range s.Runs() {
			runs[call] += n
		}
	}
	return runs
}

// Stop ends all processes at once. It logs and returns the error of one that failed before, which
// ended the others.
func (f *Fleet) Stop() error {
	f.group.Stop()
	err := f.group.Wait()
	if err != nil {
		f.log.Emit(event.Stopped, event.Err(err))
	}
	return err
}
