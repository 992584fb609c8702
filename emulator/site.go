package emulator

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"ebonypulley"
	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/gossip"
	"ebonypulley/internal/simnet"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// Cluster is a fleet of engines behind any number of entries, which exchange their loads over a
// simulated network. It runs in the virtual time of a test.
type Cluster struct {
	Net   *simnet.Net
	Fleet *Fleet
	// Entries may change while entries are started or restarted; see Entry.
	Entries  []*Entry
	settings router.Settings
	// mu guards changes of Entries.
	mu sync.Mutex
}

// Entry is the router of an entry with its gossip node; it has no HTTP frontend and no agents.
type Entry struct {
	Name       string
	DataCentre string
	Router     *router.Router
	Metrics    *metrics.Set
	node       *gossip.Node
	// link is the bandwidth of the entry's link in Mbit/s.
	link float64
	// cancel stops the entry.
	cancel context.CancelFunc
}

// networkLatency is the one-way latency between two entries.
const networkLatency = time.Millisecond

// NewCluster returns a cluster without entries. A seed in settings gives each entry a seed of
// its own.
func NewCluster(fleet *Fleet, settings router.Settings) *Cluster {
	s := &Cluster{Net: simnet.New(), Fleet: fleet, settings: settings}
	s.Net.Latency = networkLatency
	fleet.OnStageChange = s.publishDirectory
	return s
}

// StartEntry adds an entry in a data centre and starts it. The bandwidth of its link is in
// Mbit/s.
func (s *Cluster) StartEntry(ctx context.Context, dataCentre string, link float64) (*Entry, error) {
	e, err := s.newEntry(ctx, fmt.Sprintf("entry-%03d", len(s.Entries)), dataCentre, link, false)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Entries = append(s.Entries, e)
	}
	return e, err
}

// Entry returns the entry that now has this index.
func (s *Cluster) Entry(index int) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Entries[index]
}

// RestartEntry replaces the entry with this index by one that knows nothing and has the same
// name. The requests of the old one go on, and its connections to other entries are closed.
func (s *Cluster) RestartEntry(ctx context.Context, index int) error {
	old := s.Entry(index)
	old.cancel()
	s.Net.Crash(old.Name)
	e, err := s.newEntry(ctx, old.Name, old.DataCentre, old.link, true)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Entries[index] = e
	}
	return err
}

// newEntry starts an entry; restarted says that it has run before.
func (s *Cluster) newEntry(ctx context.Context, name, dataCentre string, link float64, restarted bool) (*Entry, error) {
	ctx, end := context.WithCancel(ctx)
	e := &Entry{Name: name, DataCentre: dataCentre, Metrics: metrics.NewSet(), cancel: end, link: link}
	settings := s.settings
	settings.DataCentre, settings.Restarted = dataCentre, settings.Restarted || restarted
	if settings.Seed != 0 {
		settings.Seed += uint64(len(s.Entries))
	}
	e.Router = router.New(settings, &entryClient{Fleet: s.Fleet, entry: e, limitSeen: make(map[string]time.Time)}, event.Nop(), e.Metrics)
	addr := e.Name + ":1"
	ln, err := s.Net.Listen(e.Name, addr)
	if err != nil {
		end()
		return nil, err
	}
	e.node = gossip.NewNode(gossip.Self{Addr: addr, DataCentre: dataCentre, LinkMbps: link}, []string{"entry-000:1"}, e.Router.Loads(), catalog.New(), event.Nop(), s.Net.Dialer(e.Name))
	e.node.OnFleetSize, e.node.Crashes, e.node.Quotas = e.Router.SetFleetSize, e.Router.PoisonDetector(), e.Router.Quotas()
	e.node.Paces, e.node.Shares, e.node.Returns = e.Router.Paces(), e.Router.Shares(), e.Router.Returns()
	e.node.Releases, e.node.CrashingParts = e.Router.Releases(), e.Router.PartDetector()
	s.publishDirectoryTo(e)
	go s.serve(ctx, e, ln)
	go func() { _ = e.Router.BalanceStages(ctx, func() (uint64, bool) { return 1, e.node.IsLeader() }) }()
	return e, nil
}

// serve runs the gossip node of an entry until ctx ends.
func (s *Cluster) serve(ctx context.Context, e *Entry, ln net.Listener) {
	_ = e.node.Serve(ctx, ln)
	_ = ln.Close()
}

// Close stops all entries and the network, and waits a minute for their goroutines to end.
func (s *Cluster) Close(ctx context.Context) {
	for _, e := range s.Entries {
		e.cancel()
	}
	s.Net.Close()
	ebonypulley.Sleep(ctx, time.Minute)
}

// publishDirectory gives all entries a directory with the current stages of the engines.
func (s *Cluster) publishDirectory() {
	s.mu.Lock()
	entries := slices.Clone(s.Entries)
	s.mu.Unlock()
	for _, e := range entries {
		s.publishDirectoryTo(e)
	}
}

func (s *Cluster) publishDirectoryTo(e *Entry) {
	e.Router.SetDirectory(router.NewDirectory(1, 0, nil, s.Fleet.Services(), s.Fleet.Endpoints()))
}
