package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/membership"
	"ebonypulley/wire"
)

// Limits of connections and of the messages repeated on them.
const (
	// HeartbeatInterval is the time between two pings.
	HeartbeatInterval = 500 * time.Millisecond
	// IdleTimeout is the time without a received byte after which a connection
	// is replaced.
	IdleTimeout = 1500 * time.Millisecond
	// DialTimeout bounds a connection attempt, and FetchConfig as a whole.
	DialTimeout = time.Second
	// minBackoff and maxBackoff bound the delay between connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// cancelTTL is how long a Cancel is repeated: after that, every lease that
	// this process does not renew has expired.
	cancelTTL = time.Minute
	// maxCancels bounds the unacknowledged Cancels to one agent.
	maxCancels = 10_000
)

// Self is what this process states about itself in Hello.
type Self struct {
	Name        string
	DataCentre  string
	Incarnation wire.Incarnation
}

// Peer is the connection to one agent, with the state that the agent reported.
type Peer struct {
	endpoint config.Endpoint
	self     Self
	store    *config.Store
	ask      *config.FetchTracker
	view     *membership.View
	log      *event.Log
	dial     ebonypulley.Dialer
	stop     context.CancelFunc
	onFreed  func(time.Duration)
	// dialed counts the connections made; only the goroutine of run uses it.
	dialed uint64

	mu          sync.Mutex
	conn        *wire.Conn
	incarnation wire.Incarnation
	role        string
	load        wire.Load
	opened      int // number of attempts opened since load was reported
	streams     map[wire.ID]*Stream
	cancels     map[wire.ID]time.Time // unacknowledged Cancels, with the time of each first one
	agentConfig config.Version        // version of the agent's document, as last reported
	removedAt   time.Time             // when the endpoint was found not to be declared; zero while it is
}

func newPeer(e config.Endpoint, m *Manager) *Peer {
	return &Peer{
		endpoint: e,
		self:     m.self,
		store:    m.store,
		ask:      &m.ask,
		view:     m.view,
		log:      m.log.With(zap.String("endpoint", e.Name)),
		dial:     m.dial,
		onFreed:  m.OnFreed,
		streams:  make(map[wire.ID]*Stream),
		cancels:  make(map[wire.ID]time.Time),
	}
}

// Endpoint returns the endpoint as the configuration declares it.
func (p *Peer) Endpoint() config.Endpoint { return p.endpoint }

// Status is a snapshot of a Peer.
type Status struct {
	Connected   bool
	Incarnation wire.Incarnation
	Load        wire.Load
	// Opened counts the attempts that this process opened since Load was
	// reported.
	Opened int
	// Streams counts the open attempts, Cancels the unacknowledged Cancels.
	Streams int
	Cancels int
}

// Status returns a snapshot of the peer.
func (p *Peer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		Connected:   p.conn != nil,
		Incarnation: p.incarnation,
		Load:        p.load,
		Opened:      p.opened,
		Streams:     len(p.streams),
		Cancels:     len(p.cancels),
	}
}

// OpenStream starts the exchange of an attempt and returns it with the incarnation of
// the connected agent. It returns ErrNotConnected if there is no connection.
func (p *Peer) OpenStream(id wire.ID) (*Stream, wire.Incarnation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return nil, wire.Incarnation{}, ErrNotConnected.New("no connection to %s", p.endpoint.Name)
	}
	s := &Stream{id: id, peer: p, notify: make(chan struct{}, 1)}
	p.streams[id] = s
	p.opened++
	return s, p.incarnation, nil
}

func (p *Peer) closeStream(id wire.ID, cancel bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, id)
	if !cancel {
		return
	}
	if len(p.cancels) < maxCancels {
		p.cancels[id] = time.Now()
	}
	if p.conn != nil {
		_ = p.conn.Send(&wire.Cancel{ID: id})
	}
}

func (p *Peer) send(m wire.Message) error {
	p.mu.Lock()
	conn := p.conn
	p.mu.Unlock()
	if conn == nil {
		return ErrNotConnected.New("no connection to %s", p.endpoint.Name)
	}
	return conn.Send(m)
}

// run connects, and reconnects with backoff, until ctx ends.
func (p *Peer) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := p.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		p.log.Emit(event.LinkLost, event.Err(err))
		ebonypulley.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect makes one connection and serves it until it ends.
func (p *Peer) connect(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	nc, err := p.dial(dialCtx, "tcp", p.endpoint.Agent)
	cancel()
	if err != nil {
		return err
	}
	conn := wire.NewConn(nc)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go p.sendHeartbeats(ctx, conn)
	p.dialed++
	v := p.store.Version()
	_ = conn.Send(&wire.Hello{
		Version:     wire.Version,
		Role:        "entry",
		Name:        p.self.Name,
		DataCentre:  p.self.DataCentre,
		Incarnation: p.self.Incarnation,
		Connection:  p.dialed,
		Generation:  v.Generation,
		Digest:      v.Digest,
	})
	err = conn.Serve(ctx, func(m wire.Message) { p.handle(conn, m) })
	p.handleDisconnect(conn)
	return err
}

// sendHeartbeats sends pings, repeats unacknowledged Cancels, and closes the
// connection when nothing has been received for IdleTimeout.
//
// A middlebox that drops its state of a connection leaves it open and permanently
// silent, and answers would stop midway. A healthy agent answers every ping on the
// same connection, so that silence means that the connection is dead. Attempts
// resume on the next connection, and the endpoint does not count as failed.
func (p *Peer) sendHeartbeats(ctx context.Context, conn *wire.Conn) {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if idle := conn.IdleTime(now); idle > IdleTimeout {
			p.log.Emit(event.LinkSilent, zap.Duration("silence", idle))
			conn.Close()
			return
		}
		v := p.store.Version()
		_ = conn.Send(&wire.Ping{Seq: seq, Generation: v.Generation, Digest: v.Digest})
		p.repeatCancels(now, conn)
	}
}

// handleCancelled removes the Cancel that the agent acknowledged and reports how
// long that took.
func (p *Peer) handleCancelled(id wire.ID) {
	p.mu.Lock()
	since, ok := p.cancels[id]
	delete(p.cancels, id)
	p.mu.Unlock()
	if ok && p.onFreed != nil {
		p.onFreed(time.Since(since))
	}
}

func (p *Peer) repeatCancels(now time.Time, conn *wire.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, since := range p.cancels {
		if now.Sub(since) > cancelTTL {
			delete(p.cancels, id)
			continue
		}
		_ = conn.Send(&wire.Cancel{ID: id})
	}
}

func (p *Peer) handle(conn *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Hello:
		p.handleHello(conn, m)
	case *wire.Pong:
		p.updateLoad(m.Load)
		p.syncConfig(conn, config.Version{Generation: m.Generation, Digest: m.Digest})
	case *wire.ConfigRequest:
		if cur := p.store.Current(); cur != nil {
			_ = conn.Send(&wire.Config{Text: cur.Text})
		}
	case *wire.Config:
		p.handleConfig(conn, m.Text)
	case *wire.Cancelled:
		p.handleCancelled(m.ID)
	case wire.AttemptMessage:
		p.deliver(conn, m)
	}
}

// handleHello makes the connection usable and notifies all attempts that it is
// up.
func (p *Peer) handleHello(conn *wire.Conn, m *wire.Hello) {
	if m.Version != wire.Version || m.Name != p.endpoint.Name {
		p.log.Emit(event.PeerRefused, zap.String("name", m.Name), zap.Int("version", m.Version))
		conn.Close()
		return
	}
	p.mu.Lock()
	p.conn = conn
	p.incarnation = m.Incarnation
	p.role = m.Role
	p.opened = 0
	streams := p.streamsLocked()
	p.mu.Unlock()
	p.view.Merge(p.endpoint.Name, membership.State{Incarnation: m.Incarnation})
	p.log.Emit(event.LinkUp, zap.Stringer("incarnation", m.Incarnation))
	for _, s := range streams {
		_ = s.push(Event{Link: &LinkState{Up: true, Incarnation: m.Incarnation}})
	}
	p.syncConfig(conn, config.Version{Generation: m.Generation, Digest: m.Digest})
}

// streamsLocked returns the open streams. The caller holds p.mu.
func (p *Peer) streamsLocked() []*Stream {
	list := make([]*Stream, 0, len(p.streams))
	for _, s := range p.streams {
		list = append(list, s)
	}
	return list
}

// handleDisconnect notifies all attempts that conn was lost, if it was in use.
func (p *Peer) handleDisconnect(conn *wire.Conn) {
	p.ask.PeerLost(conn)
	p.mu.Lock()
	if p.conn != conn {
		p.mu.Unlock()
		return
	}
	p.conn = nil
	streams := p.streamsLocked()
	p.mu.Unlock()
	for _, s := range streams {
		_ = s.push(Event{Link: &LinkState{}})
	}
}

// deliver passes a message to the stream of its attempt. It closes the
// connection to an agent that sends more than the window allows.
func (p *Peer) deliver(conn *wire.Conn, m wire.AttemptMessage) {
	if load, ok := reportedLoad(m); ok {
		p.updateLoad(load)
	}
	p.mu.Lock()
	s := p.streams[m.AttemptID()]
	p.mu.Unlock()
	if s == nil {
		return
	}
	if err := s.push(Event{Message: m}); err != nil {
		p.log.Emit(event.PeerRefused, event.Err(err))
		conn.Close()
	}
}

// reportedLoad returns the load that a reply carries, if it carries one.
func reportedLoad(m wire.Message) (wire.Load, bool) {
	switch m := m.(type) {
	case *wire.Granted:
		return m.Load, true
	case *wire.Refused:
		return m.Load, true
	case *wire.Prefilled:
		return m.Load, true
	case *wire.Finish:
		return m.Load, true
	case *wire.Failed:
		return m.Load, true
	case *wire.Outcome:
		return m.Load, true
	default:
		return wire.Load{}, false
	}
}

// updateLoad records a load report, and whether the endpoint drains.
func (p *Peer) updateLoad(l wire.Load) {
	p.mu.Lock()
	p.load = l
	p.opened = 0
	state := membership.State{Incarnation: p.incarnation, Draining: l.Draining}
	p.mu.Unlock()
	if p.view.Merge(p.endpoint.Name, state) && l.Draining {
		p.log.Emit(event.PeerDraining)
	}
}

// syncConfig requests the document of an agent that has a newer one. An agent
// with an older one requests this entry's after the next ping.
func (p *Peer) syncConfig(conn *wire.Conn, theirs config.Version) {
	p.mu.Lock()
	p.agentConfig = theirs
	p.mu.Unlock()
	if theirs.Newer(p.store.Version()) && p.ask.TryStart(time.Now(), conn, theirs) {
		_ = conn.Send(&wire.ConfigRequest{})
	}
}

// handleConfig offers the document that the agent sent to the store.
func (p *Peer) handleConfig(conn *wire.Conn, text []byte) {
	result, findings := p.store.Offer("peer "+p.endpoint.Name, text)
	p.ask.Received(conn, result)
	config.LogOfferResult(p.log, result, p.store.Generation(), findings)
}
