package fleet_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/config"
	"ebonypulley/engine"
	"ebonypulley/load"
	"ebonypulley/wire"
)

// rawEntry speaks the wire protocol to an agent directly, and so can send what an entry with an
// old document would.
type rawEntry struct {
	s    *sim
	conn *wire.Conn
	in   chan wire.Message
}

func (s *sim) connectRaw(agent string) *rawEntry { return s.connectNumbered(agent, wire.NewID(), 1) }

// connectNumbered opens a connection with this number of an entry's incarnation.
func (s *sim) connectNumbered(agent string, inc wire.Incarnation, number uint64) *rawEntry {
	addr := ""
	for _, a := range s.Plan.Agents {
		if a.Name == agent {
			addr = a.Listen
		}
	}
	nc, err := s.net.Dialer("stale-entry")(s.t.Context(), "tcp", addr)
	require.NoError(s.t, err)
	e := &rawEntry{s: s, conn: wire.NewConn(nc), in: make(chan wire.Message, 100)}
	go func() { _ = e.conn.Serve(context.Background(), func(m wire.Message) { e.in <- m }) }()
	e.send(&wire.Hello{Version: wire.Version, Role: "entry", Name: "stale-entry", Incarnation: inc, Connection: number, Generation: 99})
	return e
}

func (e *rawEntry) send(m wire.Message) { require.NoError(e.s.t, e.conn.Send(m)) }

// nextAttemptMessage returns the next message about an attempt.
func (e *rawEntry) nextAttemptMessage() wire.Message {
	for {
		select {
		case m := <-e.in:
			if _, ok := m.(wire.AttemptMessage); ok {
				return m
			}
		case <-time.After(3 * time.Second):
			e.s.t.Error("no message about an attempt within 3 s")
			return nil
		}
	}
}

func (e *rawEntry) refusalReason() wire.Reason {
	r, ok := e.nextAttemptMessage().(*wire.Refused)
	if !assert.True(e.s.t, ok, "the attempt was not refused") {
		return ""
	}
	return r.Reason
}

func (s *sim) newOffer(agent string) *wire.Offer {
	e := s.Plan.Document.Endpoint(agent)
	svc := s.Plan.Document.Pool(e.Pool).Service
	return &wire.Offer{
		ID: wire.NewID(), Service: svc, Route: "enrolment", Method: "POST", Path: "/bookings",
		Deadline: time.Minute, Members: s.Plan.Document.ServiceEndpointsHash(svc),
	}
}

const appEndpoint, decodeEndpoint = "alm-a-app-1", "alm-a-decode-1"

// TestAgentRefusesStaleConfig: an entry with an old document assumes that a booking may be
// retried, that a key has another owner or that a route exists. The agent has the newer
// document and must refuse before anything runs.
func TestAgentRefusesStaleConfig(t *testing.T) {
	runSim(t, func(s *sim) {
		e := s.connectRaw(appEndpoint)
		defer e.conn.Close()
		o := s.newOffer(appEndpoint)
		o.Idempotent = true
		e.send(o)
		assert.Equal(t, wire.ReasonStaleConfig, e.refusalReason())
		o = s.newOffer(appEndpoint)
		o.Key, o.Members = newKey(), 1
		e.send(o)
		assert.Equal(t, wire.ReasonStaleConfig, e.refusalReason())
		o = s.newOffer(appEndpoint)
		o.Route = "closed-last-year"
		e.send(o)
		assert.Equal(t, wire.ReasonStaleConfig, e.refusalReason())
	})
}

// TestRemovedAgentRefuses: an entry that has missed the removal of an endpoint sends work
// there. The agent must refuse it as soon as it has the new document.
func TestRemovedAgentRefuses(t *testing.T) {
	runSim(t, func(s *sim) {
		e, d := s.connectRaw(appEndpoint), s.connectRaw(decodeEndpoint)
		defer e.conn.Close()
		defer d.conn.Close()
		s.publishChanged(2, func(doc *config.Document) {
			withoutEndpoint(appEndpoint)(doc)
			withoutEndpoint(decodeEndpoint)(doc)
		})
		time.Sleep(applyTimeout)
		e.send(s.newOffer(appEndpoint))
		assert.Equal(t, wire.ReasonDraining, e.refusalReason())
		d.send(&wire.Reserve{ID: wire.NewID(), Tokens: 10, Deadline: time.Minute, Model: "drafting"})
		assert.Equal(t, wire.ReasonDraining, d.refusalReason())
		s.publishChanged(3, func(*config.Document) {}) // adds the endpoints again
		time.Sleep(applyTimeout)
		e.send(s.newOffer(appEndpoint))
		_, ok := e.nextAttemptMessage().(*wire.Granted)
		assert.True(t, ok)
	})
}

// TestStartForPredecessorNeverRuns: an entry resumes after a pause and sends a Start that was
// meant for the agent's predecessor. The new agent must not run it. Its "not run" covers its
// own incarnation only, which the entry recognizes by the incarnation in the Start.
func TestStartForPredecessorNeverRuns(t *testing.T) {
	runSim(t, func(s *sim) {
		e := s.connectRaw(appEndpoint)
		defer e.conn.Close()
		o := s.newOffer(appEndpoint)
		e.send(o)
		_, ok := e.nextAttemptMessage().(*wire.Granted)
		require.True(t, ok)
		e.send(&wire.Start{ID: o.ID, Incarnation: wire.NewID(), Headers: []wire.Header{{Name: "X-Call-Id", Value: "late"}}})
		out, ok := e.nextAttemptMessage().(*wire.Outcome)
		require.True(t, ok)
		assert.Equal(t, wire.StateNotRun, out.State)
		e.send(&wire.Start{ID: o.ID, Incarnation: s.Agents[appEndpoint].Incarnation(), Headers: []wire.Header{{Name: "X-Call-Id", Value: "late"}}})
		_, _ = e.nextAttemptMessage().(*wire.Outcome)
		assert.Zero(t, s.runCount("late"))
	})
}

// TestCancelIsRepeated: the caller disconnects while the connection between entry and agent is
// silent, so that the first Cancel is lost. The new connection renews the lease, so only a
// repeated Cancel frees the memory.
func TestCancelIsRepeated(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		began := time.Now()
		ctx, leave := context.WithTimeout(s.t.Context(), 2*midAnswer)
		defer leave()
		withFault(midAnswer, func() { s.net.Silence(s.entryName(0), s.busyEndpoint()) }, func() load.Result {
			return s.caller.Generate(ctx, s.newRand(), load.GenerationSpec{Key: paidKey, Prompt: "A long letter", Stream: true, MaxTokens: 512})
		})
		assert.Positive(t, s.HeldRequests(), "the first Cancel must be lost")
		s.requireFreedWithin(3*time.Second - time.Since(began))
	})
}

// TestFencedAgentCannotRevertOrder: an agent is paused, and its endpoint is given to another
// agent, which orders another model. When the first agent resumes, it sees the wrong model. The
// engine checks fencing numbers, so it must keep the later order, and the first agent must take
// no more work for it.
func TestFencedAgentCannotRevertOrder(t *testing.T) {
	runSim(t, func(s *sim) {
		client := engine.NewClient(s.Plan.Document.Endpoint(decodeEndpoint).URL, s.client)
		require.True(t, s.Plan.Document.Endpoint(decodeEndpoint).ChecksFence)
		order := engine.Order{Fence: uint64(time.Now().UnixNano()), Model: "another", Role: "decode"}
		require.NoError(t, client.SendOrder(s.t.Context(), order))
		time.Sleep(3 * time.Second)
		state, err := client.State(s.t.Context())
		require.NoError(t, err)
		assert.Equal(t, "another", state.Model)
		assert.True(t, s.Agents[decodeEndpoint].Stats().Down)
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
	})
}

// TestRestartedEngineGetsItsModel: restarted engines have lost their model. Their agents must
// order it again.
func TestRestartedEngineGetsItsModel(t *testing.T) {
	runSim(t, func(s *sim) {
		for _, e := range s.Engines {
			e.Crash()
		}
		time.Sleep(3 * time.Second)
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
	})
}

// TestRepliesGoToTheLatestConnection: an agent resumes after a pause and finds two connections
// of one entry, the first of them abandoned long ago, and reads the Hello of the later one
// first. Replies must go to the later connection; otherwise the entry waits for its grants
// until the deadline, and so does a drain of the agent.
func TestRepliesGoToTheLatestConnection(t *testing.T) {
	runSim(t, func(s *sim) {
		for _, name := range []string{appEndpoint, decodeEndpoint} {
			inc := wire.NewID()
			later := s.connectNumbered(name, inc, 2)
			time.Sleep(100 * time.Millisecond)
			earlier := s.connectNumbered(name, inc, 1)
			time.Sleep(100 * time.Millisecond)
			earlier.conn.Close()
			time.Sleep(100 * time.Millisecond)
			if name == appEndpoint {
				later.send(s.newOffer(appEndpoint))
			} else {
				later.send(&wire.Reserve{ID: wire.NewID(), Tokens: 10, Deadline: time.Minute, Model: "drafting"})
			}
			_, ok := later.nextAttemptMessage().(*wire.Granted)
			assert.True(t, ok, name)
			later.conn.Close()
		}
	})
}

// TestAgentPortRejectsGarbage: bytes that are not the protocol arrive at an agent's port. The
// agent must close the connection and go on serving.
func TestAgentPortRejectsGarbage(t *testing.T) {
	runSim(t, func(s *sim) {
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x01\xc0", "\xff\xff\xff\xff\xff"} {
			nc, err := s.net.Dialer("stranger")(s.t.Context(), "tcp", s.Plan.Agents[0].Listen)
			require.NoError(t, err)
			_, err = nc.Write([]byte(garbage))
			require.NoError(t, err)
			_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = nc.Read(make([]byte, 1))
			require.Error(t, err)
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%q", garbage)
		}
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
	})
}
