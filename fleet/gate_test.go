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

// staleEntry speaks to an agent as an entry with any view could.
type staleEntry struct {
	s    *sim
	conn *wire.Conn
	in   chan wire.Message
}

func (s *sim) stale(agent string) *staleEntry { return s.connect(agent, wire.NewID(), 1) }

// connect opens a numbered connection of an entry's incarnation.
func (s *sim) connect(agent string, inc wire.Incarnation, number uint64) *staleEntry {
	addr := ""
	for _, a := range s.Plan.Agents {
		if a.Name == agent {
			addr = a.Listen
		}
	}
	nc, err := s.net.Dialer("stale-entry")(s.t.Context(), "tcp", addr)
	require.NoError(s.t, err)
	e := &staleEntry{s: s, conn: wire.NewConn(nc), in: make(chan wire.Message, 100)}
	go func() { _ = e.conn.Serve(context.Background(), func(m wire.Message) { e.in <- m }) }()
	e.send(&wire.Hello{Version: wire.Version, Role: "entry", Name: "stale-entry", Incarnation: inc, Connection: number, Generation: 99})
	return e
}

func (e *staleEntry) send(m wire.Message) { require.NoError(e.s.t, e.conn.Send(m)) }

// answer returns the next message about an attempt.
func (e *staleEntry) answer() wire.Message {
	for {
		select {
		case m := <-e.in:
			if _, ok := m.(wire.Attempted); ok {
				return m
			}
		case <-time.After(3 * time.Second):
			e.s.t.Error("no answer")
			return nil
		}
	}
}

func (e *staleEntry) refused() wire.Reason {
	r, ok := e.answer().(*wire.Refused)
	if !assert.True(e.s.t, ok, "not refused") {
		return ""
	}
	return r.Reason
}

func (s *sim) offer(agent string) *wire.Offer {
	e := s.Plan.Document.Endpoint(agent)
	svc := s.Plan.Document.Pool(e.Pool).Service
	return &wire.Offer{
		ID: wire.NewID(), Service: svc, Route: "enrolment", Method: "POST", Path: "/bookings",
		Deadline: time.Minute, Members: s.Plan.Document.MembersHash(svc),
	}
}

const app, decode = "alm-a-app-1", "alm-a-decode-1"

// Story: an entry with an old document thinks that a booking may be repeated,
// or that a key has another owner. The agent, which knows better, refuses
// before anything runs.
func TestAgentRefusesOldViews(t *testing.T) {
	simulate(t, func(s *sim) {
		e := s.stale(app)
		defer e.conn.Close()
		o := s.offer(app)
		o.Idempotent = true
		e.send(o)
		assert.Equal(t, wire.StaleConfig, e.refused())
		o = s.offer(app)
		o.Key, o.Members = newKey(), 1
		e.send(o)
		assert.Equal(t, wire.StaleConfig, e.refused())
		o = s.offer(app)
		o.Route = "closed-last-year"
		e.send(o)
		assert.Equal(t, wire.StaleConfig, e.refused())
	})
}

// Story: the document no longer has an endpoint, but an entry that missed it
// sends work there. The gate refuses, from the moment its agent knows.
func TestRemovedAgentRefuses(t *testing.T) {
	simulate(t, func(s *sim) {
		e, d := s.stale(app), s.stale(decode)
		defer e.conn.Close()
		defer d.conn.Close()
		s.publish(2, func(doc *config.Document) {
			without(app)(doc)
			without(decode)(doc)
		})
		time.Sleep(inForce)
		e.send(s.offer(app))
		assert.Equal(t, wire.Draining, e.refused())
		d.send(&wire.Reserve{ID: wire.NewID(), Tokens: 10, Deadline: time.Minute, Model: "drafting"})
		assert.Equal(t, wire.Draining, d.refused())
		s.publish(3, func(*config.Document) {}) // an addition after the removal
		time.Sleep(inForce)
		e.send(s.offer(app))
		_, ok := e.answer().(*wire.Granted)
		assert.True(t, ok)
	})
}

// Story: an entry that was paused sends the Start that it had ready for the
// agent's predecessor. The successor must not run it, and its "not run" is
// about itself only, which the entry knows by the incarnation.
func TestStartForPredecessorNeverRuns(t *testing.T) {
	simulate(t, func(s *sim) {
		e := s.stale(app)
		defer e.conn.Close()
		o := s.offer(app)
		e.send(o)
		_, ok := e.answer().(*wire.Granted)
		require.True(t, ok)
		e.send(&wire.Start{ID: o.ID, Incarnation: wire.NewID(), Headers: []wire.Header{{Name: "X-Call-Id", Value: "late"}}})
		out, ok := e.answer().(*wire.Outcome)
		require.True(t, ok)
		assert.Equal(t, wire.NotRun, out.State)
		e.send(&wire.Start{ID: o.ID, Incarnation: s.Agents[app].Incarnation(), Headers: []wire.Header{{Name: "X-Call-Id", Value: "late"}}})
		_, _ = e.answer().(*wire.Outcome)
		assert.Zero(t, s.runsOf("late"))
	})
}

// Story: the caller goes away while the connection between entry and agent is
// silent, so the first Cancel is lost. The fresh connection renews the lease;
// only the repeated Cancel frees the memory.
func TestCancelIsRepeated(t *testing.T) {
	simulate(t, func(s *sim) {
		s.only(0)
		began := time.Now()
		ctx, leave := context.WithTimeout(s.t.Context(), 2*midAnswer)
		defer leave()
		during(midAnswer, func() { s.net.Silence(s.entry(0), s.busy()) }, func() load.Result {
			return s.caller.Draft(ctx, s.random(), load.DraftSpec{Key: paidKey, Prompt: "A long letter", Stream: true, MaxTokens: 512})
		})
		assert.Positive(t, s.Held(), "the first Cancel was not lost")
		s.freedWithin(3*time.Second - time.Since(began))
	})
}

// Story: an agent sleeps; its endpoint is given to an agent elsewhere, which
// orders another model; the first one wakes and sees the wrong model. An
// engine that checks fencing numbers keeps the later order, and the sleeper
// takes no more work for it.
func TestLateAgentCannotOrderBack(t *testing.T) {
	simulate(t, func(s *sim) {
		client := engine.NewClient(s.Plan.Document.Endpoint(decode).URL, s.client)
		require.True(t, s.Plan.Document.Endpoint(decode).ChecksFence)
		order := engine.Order{Fence: uint64(time.Now().UnixNano()), Model: "another", Role: "decode"}
		require.NoError(t, client.Order(s.t.Context(), order))
		time.Sleep(3 * time.Second)
		state, err := client.State(s.t.Context())
		require.NoError(t, err)
		assert.Equal(t, "another", state.Model)
		assert.True(t, s.Agents[decode].Stats().Down)
		whole(t, s.draft(load.DraftSpec{}))
	})
}

// Story: an engine restarts and has forgotten its model. Its agent orders it
// again, and it serves.
func TestRestartedEngineIsOrdered(t *testing.T) {
	simulate(t, func(s *sim) {
		for _, e := range s.Engines {
			e.Crash()
		}
		time.Sleep(3 * time.Second)
		whole(t, s.draft(load.DraftSpec{}))
	})
}

// Story: an agent wakes from a pause and finds two connections of one entry,
// the first given up long ago. It happens to greet the later one first. The
// replies must go to the later one all the same, or the entry waits for its
// grants until the deadline, and a drain of the agent waits with it.
func TestRepliesGoToTheLatestConnection(t *testing.T) {
	simulate(t, func(s *sim) {
		for _, name := range []string{app, decode} {
			inc := wire.NewID()
			later := s.connect(name, inc, 2)
			time.Sleep(100 * time.Millisecond)
			earlier := s.connect(name, inc, 1)
			time.Sleep(100 * time.Millisecond)
			earlier.conn.Close()
			time.Sleep(100 * time.Millisecond)
			if name == app {
				later.send(s.offer(app))
			} else {
				later.send(&wire.Reserve{ID: wire.NewID(), Tokens: 10, Deadline: time.Minute, Model: "drafting"})
			}
			_, ok := later.answer().(*wire.Granted)
			assert.True(t, ok, name)
			later.conn.Close()
		}
	})
}

// Story: garbage, and a peer that is not one, reach an agent's port. They are
// shown the door; the agent serves on.
func TestAgentPortTakesGarbage(t *testing.T) {
	simulate(t, func(s *sim) {
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
		whole(t, s.draft(load.DraftSpec{}))
	})
}
