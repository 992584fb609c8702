package peer

import (
	"context"
	"net"
	"sync"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/membership"
)

// Manager keeps a Peer for each declared endpoint.
type Manager struct {
	self  Self
	store *config.Store
	view  *membership.View
	log   *event.Log
	dial  Dialer

	mu    sync.Mutex
	wg    sync.WaitGroup
	peers map[string]*Peer
}

// NewManager returns a manager without peers; dial may be nil for TCP.
func NewManager(self Self, store *config.Store, view *membership.View, log *event.Log, dial Dialer) *Manager {
	if dial == nil {
		dial = dialTCP
	}
	return &Manager{self: self, store: store, view: view, log: log, dial: dial, peers: make(map[string]*Peer)}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Run follows the document until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	changed := m.store.Watch()
	defer m.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			m.reconcile(ctx, m.store.Current().Document)
		}
	}
}

// reconcile starts peers for new endpoints. The connection to a removed one
// stays while attempts use it, so that work in progress ends whole; its agent
// learns of the removal on this very connection.
func (m *Manager) reconcile(ctx context.Context, doc *config.Document) {
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

// Tick stops the peers of removed endpoints that no attempt uses any more.
func (m *Manager) Tick() {
	cur := m.store.Current()
	if cur == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		s := p.Status()
		unused := s.Streams == 0 && (s.Cancels == 0 || !s.Connected)
		told := s.Load.Draining || !s.Connected
		if unused && told && cur.Document.Endpoint(name) == nil {
			p.stop()
			delete(m.peers, name)
		}
	}
}

// Peer returns the peer of an endpoint, or nil.
func (m *Manager) Peer(endpoint string) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[endpoint]
}
