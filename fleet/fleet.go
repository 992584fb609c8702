package fleet

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/agent"
	"ebonypulley/config"
	"ebonypulley/entry"
	"ebonypulley/event"
	"ebonypulley/standin"
)

// Fleet is a whole deployment in one process, over loopback TCP.
type Fleet struct {
	Plan     *Plan
	Config   *standin.ConfigService
	Engines  map[string]*standin.Engine
	Services map[string]*standin.PlainService
	Agents   map[string]*agent.Agent
	Entries  map[string]*entry.Entry
	group    *ebonypulley.Group
	log      *event.Log
}

// Start runs a fleet from a document, in a loopback network that is free.
func Start(ctx context.Context, doc *config.Document, log *event.Log) (*Fleet, error) {
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
	f := &Fleet{
		Plan:     plan,
		Engines:  make(map[string]*standin.Engine),
		Services: make(map[string]*standin.PlainService),
		Agents:   make(map[string]*agent.Agent),
		Entries:  make(map[string]*entry.Entry),
		group:    ebonypulley.NewGroup(ctx),
		log:      log,
	}
	if err := f.startStandins(); err != nil {
		f.Stop()
		return nil, err
	}
	for _, s := range plan.Agents {
		f.StartAgent(s)
	}
	for _, s := range plan.Entries {
		f.StartEntry(s)
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

func (f *Fleet) startStandins() error {
	for _, s := range f.Plan.Standins {
		h, err := standin.New(s.Settings)
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
		server := &standin.Server{Listen: s.Settings.Listen, Handler: h}
		f.group.Go(server.Run)
	}
	return nil
}

// StartAgent runs an agent; a second one of the same name replaces the first
// in Agents and needs its address to be free.
func (f *Fleet) StartAgent(s agent.Settings) {
	a := agent.New(s, f.log)
	f.Agents[s.Name] = a
	f.group.Go(func(ctx context.Context) error { return a.Run(ctx) })
}

// StartEntry runs an entry, as StartAgent does an agent.
func (f *Fleet) StartEntry(s entry.Settings) {
	e := entry.New(s, f.log, nil)
	f.Entries[s.Name] = e
	f.group.Go(func(ctx context.Context) error { return e.Run(ctx) })
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

// Stop ends all processes at once.
func (f *Fleet) Stop() {
	f.group.Stop()
	if err := f.group.Wait(); err != nil {
		f.log.Emit(event.Stopped, zap.Error(err))
	}
}
