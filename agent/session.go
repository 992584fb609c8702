package agent

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/wire"
)

// session is one connection from an entry.
type session struct {
	conn       *wire.Conn
	holder     wire.Incarnation
	connection uint64 // number of this connection among those of the holder
	name       string
}

func (s *session) send(m wire.Message) {
	// A failed send is not reported: the connection has ended then, and the
	// entry repeats its request on the next one.
	_ = s.conn.Send(m)
}

func (a *Agent) serveSession(ctx context.Context, nc net.Conn) {
	s := &session{conn: wire.NewConn(nc)}
	helloTimer := time.AfterFunc(helloTimeout, s.conn.Close)
	defer helloTimer.Stop()
	err := s.conn.Serve(ctx, func(m wire.Message) {
		if s.name == "" {
			if a.handshake(s, m) {
				helloTimer.Stop()
			}
			return
		}
		a.handle(s, m)
	})
	if isProtocolError(err) {
		a.log.Emit(event.PeerRefused, zap.String("remote", s.conn.RemoteAddr()), event.Err(err))
	}
	a.configFetch.PeerLost(s)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
	if a.holders[s.holder] == s {
		delete(a.holders, s.holder)
	}
}

// handshake accepts a connection from an entry. Anything but a valid Hello
// closes it.
func (a *Agent) handshake(s *session, m wire.Message) bool {
	h, ok := m.(*wire.Hello)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok || h.Version != wire.Version || h.Name == "" || len(a.sessions) >= maxSessions {
		a.log.Emit(event.PeerRefused, zap.String("remote", s.conn.RemoteAddr()))
		s.conn.Close()
		return false
	}
	s.name = h.Name
	s.holder = h.Incarnation
	s.connection = h.Connection
	a.sessions[s] = struct{}{}
	a.register(s)
	v := a.store.Version()
	s.send(&wire.Hello{
		Version:     wire.Version,
		Role:        string(a.pool.Role),
		Name:        a.settings.Name,
		DataCentre:  a.settings.DataCentre,
		Incarnation: a.incarnation,
		Generation:  v.Generation,
		Digest:      v.Digest,
	})
	a.renewLeases(s)
	s.send(a.pong(0))
	a.fetchIfNewer(s, config.Version{Generation: h.Generation, Digest: h.Digest})
	return true
}

// register sends replies to the holder over s, unless the holder has opened a
// later connection.
//
// After a pause the agent finds several connections of one entry in its accept
// queue. The entry has abandoned all but the last one, and the handshakes
// complete in any order. Without the connection number, replies could go to a
// dead connection, and calls would be granted but not started until their
// deadline.
func (a *Agent) register(s *session) {
	old := a.holders[s.holder]
	if old == nil || s.connection > old.connection {
		a.holders[s.holder] = s
	}
}

// reply sends m to an entry on its latest connection. Without a connection the
// message is dropped; the entry repeats its request after it has reconnected.
func (a *Agent) reply(holder wire.Incarnation, m wire.Message) {
	if s := a.holders[holder]; s != nil {
		s.send(m)
	}
}

func (a *Agent) renewLeases(s *session) {
	a.lastHeartbeat = time.Now()
	if a.leases != nil {
		a.leases.Renew(a.lastHeartbeat, s.holder)
	}
}

func (a *Agent) pong(seq uint64) *wire.Pong {
	v := a.store.Version()
	return &wire.Pong{Seq: seq, Generation: v.Generation, Digest: v.Digest, Load: a.load()}
}

func (a *Agent) handle(s *session, m wire.Message) {
	if c, ok := m.(*wire.Config); ok {
		result, findings := a.store.Offer("peer "+s.name, c.Text)
		a.configFetch.Received(s, result)
		config.LogOfferResult(a.log, result, a.store.Generation(), findings)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch m := m.(type) {
	case *wire.Ping:
		a.renewLeases(s)
		s.send(a.pong(m.Seq))
		a.fetchIfNewer(s, config.Version{Generation: m.Generation, Digest: m.Digest})
	case *wire.ConfigRequest:
		if cur := a.store.Current(); cur != nil {
			s.send(&wire.Config{Text: cur.Text})
		}
	case wire.AttemptMessage:
		a.handleAttempt(s, m)
	}
}

// fetchIfNewer requests the configuration document of an entry that has a newer
// one.
func (a *Agent) fetchIfNewer(s *session, theirs config.Version) {
	if theirs.Newer(a.store.Version()) && a.configFetch.TryStart(time.Now(), s, theirs) {
		s.send(&wire.ConfigRequest{})
	}
}

// handleAttempt passes a message to the worker. Without a worker no attempt can
// hold anything, so that a Cancel is acknowledged and anything else refused.
func (a *Agent) handleAttempt(s *session, m wire.AttemptMessage) {
	if a.worker != nil {
		a.worker.handle(s, m)
		return
	}
	if _, ok := m.(*wire.Cancel); ok {
		s.send(&wire.Cancelled{ID: m.AttemptID()})
		return
	}
	s.send(&wire.Refused{ID: m.AttemptID(), Reason: wire.ReasonNoConfig, Load: a.load()})
}

// refuse replies to a request that did not run and will not.
func (a *Agent) refuse(s *session, id wire.ID, reason wire.Reason, after time.Duration) {
	s.send(&wire.Refused{ID: id, Reason: reason, RetryAfter: after, Load: a.load()})
}
