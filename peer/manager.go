package peer

import (
	"context"
	"sync"
	"time"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/membership"
)

// Manager keeps a Peer for each endpoint that the configuration declares.
type Manager struct {
	self  Self
	store *config.Store
	view  *membership.View
	log   *event.Log
	dial  ebonypulley.Dialer
	// OnFreed, if set, is called with the time from each Cancel to its
	// acknowledgement; until then the endpoint may hold memory for the attempt.
	// It must be set before Run.
	OnFreed func(time.Duration)

	// ask is shared by all peers, so that only one of them at a time is asked
	// for a newer document.
	ask   config.FetchTracker
	mu    sync.Mutex
	wg    sync.WaitGroup
	peers map[string]*Peer
}

// NewManager returns a Manager without peers. A nil dial means TCP.
func NewManager(self Self, store *config.Store, view *membership.View, log *event.Log, dial ebonypulley.Dialer) *Manager {
	return &Manager{self: self, store: store, view: view, log: log, dial: dial.OrTCP(), peers: make(map[string]*Peer)}
}

// Run applies each new configuration document until ctx ends. It returns when
// all connections are closed.
func (m *Manager) Run(ctx context.Context) error {
	changed := m.store.Watch()
	defer m.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			m.Apply(ctx, m.store.Current().Document)
		}
	}
}

// Wait blocks until all peers have stopped and closed their connections.
func (m *Manager) Wait() { m.wg.Wait() }

// Apply starts peers for new endpoints and replaces the peer of an endpoint
// whose agent has a new address. The connection to a removed endpoint stays
// while attempts use it, so that work in progress can complete, and because its
// agent gets the document that removes it on this connection.
func (m *Manager) Apply(ctx context.Context, doc *config.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range doc.Endpoints {
		old, ok := m.peers[e.Name]
		if ok && old.endpoint.Agent == e.Agent {
			continue
		}
		if ok {
			old.stop()
		}
		m.start(ctx, e)
	}
}

func (m *Manager) start(ctx context.Context, e config.Endpoint) {
	p := newPeer(e, m)
	ctx, p.stop = context.WithCancel(ctx)
	m.peers[e.Name] = p
	m.wg.Go(func() { p.run(ctx) })
}

// removedPeerTTL is how long the agent of a removed endpoint is dialed, to send
// it the document that removes it.
const removedPeerTTL = 10 * time.Minute

// Tick stops the peers of removed endpoints that no attempt uses any more and
// whose agents have the document that removed them.
//
// An agent that was partitioned when its endpoint was removed is dialed until
// it has that document or removedPeerTTL has passed. Otherwise it would serve
// entries with an old document after the partition.
func (m *Manager) Tick(now time.Time) {
	cur := m.store.Current()
	if cur == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		declared := cur.Document.Endpoint(name) != nil
		if p.finished(now, declared, m.store.Version()) {
			p.stop()
			delete(m.peers, name)
		}
	}
}

// finished reports whether the peer can be stopped: its endpoint is not declared
// any more, no attempt uses it, and its agent has the current document or can't
// be given it within removedPeerTTL.
func (p *Peer) finished(now time.Time, declared bool, current config.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if declared {
		p.removedAt = time.Time{}
		return false
	}
	if p.removedAt.IsZero() {
		p.removedAt = now
	}
	informed := !current.Newer(p.agentConfig) || now.Sub(p.removedAt) > removedPeerTTL
	unused := len(p.streams) == 0 && (len(p.cancels) == 0 || p.conn == nil)
	return informed && unused
}

// Peer returns the peer of an endpoint, or nil if there is none.
func (m *Manager) Peer(endpoint string) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[endpoint]
}
