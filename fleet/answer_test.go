package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/entry"
	"ebonypulley/jsonc"
	"ebonypulley/load"
	"ebonypulley/standin"
)

// midAnswer is a moment at which an answer of 64 tokens is under way.
const midAnswer = 250 * time.Millisecond

func TestAnswersAreWhole(t *testing.T) {
	simulate(t, func(s *sim) {
		whole(t, s.draft(load.DraftSpec{}))
		whole(t, s.draft(load.DraftSpec{Stream: true}))
		whole(t, s.draft(load.DraftSpec{Stream: true, Key: trialKey}))
		whole(t, s.book(load.CallSpec{}))
		s.freedWithin(0)
	})
}

// Story: a parent reads a draft as it is written; the engine's VM loses power.
// The agent sees its stream end and the engine not answer. The entry prefills
// prompt and delivered tokens elsewhere and goes on; the parent sees a pause.
func TestDecodeEngineLostMidAnswer(t *testing.T) {
	simulate(t, func(s *sim) {
		res := during(midAnswer, func() { s.Engines[s.busy()+"-engine"].Crash() },
			func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
		assert.EqualValues(t, 1, s.count("continued"))
	})
}

// Story: as above, but the agent beside the engine dies. Its connection ends
// and dialling again fails; the entry gives it a while and goes on elsewhere.
// The orphaned request at the engine is not the entry's to free: nobody gates
// that engine until the agent is back.
func TestDecodeAgentLostMidAnswer(t *testing.T) {
	simulate(t, func(s *sim) {
		res := during(midAnswer, func() { s.crash(s.busy()) },
			func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
	})
}

// Story: the VM of agent and engine loses power: no connection is closed, all
// just go silent. Heartbeats notice, dialling gets no answer, and the draft is
// continued elsewhere.
func TestDecodeVMLosesPower(t *testing.T) {
	simulate(t, func(s *sim) {
		res := during(midAnswer, func() {
			name := s.busy()
			s.powerCut(name)
			s.powerCut(name + "-engine")
		}, func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
		assert.EqualValues(t, 1, s.count("continued"))
	})
}

// Story: a draft stops in the middle, although engine and agent are well:
// something forgot the connection between entry and agent, which stays open
// and silent. Heartbeats notice, a fresh connection resumes at the next token.
// The endpoint is not blamed: nothing is prefilled again.
func TestSilentConnectionToAgent(t *testing.T) {
	simulate(t, func(s *sim) {
		s.only(0)
		res := during(midAnswer, func() { s.net.Silence(s.entry(0), s.busy()) },
			func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
		assert.Zero(t, s.count("continued"))
	})
}

// Story: as above, but the connection is cut, twice within one answer.
func TestConnectionCutTwice(t *testing.T) {
	simulate(t, func(s *sim) {
		s.only(0)
		res := during(midAnswer, func() {
			busy := s.busy()
			s.net.Cut(s.entry(0), busy)
			time.Sleep(200 * time.Millisecond)
			s.net.Cut(s.entry(0), busy)
		}, func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
		assert.Zero(t, s.count("continued"))
	})
}

// Story: the stream between agent and engine goes silent for good; the engine
// works on. The agent opens a fresh one at the next token.
func TestSilentStreamOfEngine(t *testing.T) {
	simulate(t, func(s *sim) {
		res := during(midAnswer, func() { s.fault(s.busy(), standin.Fault{Kind: standin.FaultSilent}) },
			func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
		assert.Zero(t, s.count("continued"))
	})
}

// Story: an engine hangs for ten seconds in the middle of a draft. Fresh
// streams are silent as well, so the agent gives the request up there and the
// entry continues it elsewhere, long before the engine wakes.
func TestEngineStallsMidAnswer(t *testing.T) {
	simulate(t, func(s *sim) {
		began := time.Now()
		res := during(midAnswer, func() {
			s.fault(s.busy(), standin.Fault{Kind: standin.FaultStall, For: jsonc.Duration(10 * time.Second)})
		}, func() load.Result { return s.draft(load.DraftSpec{Stream: true}) })
		whole(t, res)
		assert.Less(t, time.Since(began), 8*time.Second)
		s.freedWithin(15 * time.Second)
	})
}

// Story: KV transfers into one engine stall. The transfer is cut while the
// prefill result is still alive, and another engine imports that same result:
// the long application file is not prefilled twice.
func TestStalledTransferIsUsedElsewhere(t *testing.T) {
	simulate(t, func(s *sim) {
		s.fault("alm-a-decode-1", standin.Fault{Kind: standin.FaultTransfer, For: jsonc.Duration(5 * time.Second)})
		for range 6 {
			whole(t, s.draft(load.DraftSpec{}))
		}
		assert.Positive(t, s.count("reused_results"))
		assert.Zero(t, s.count("wasted_prefill_tokens"))
	})
}

// Story: a caller closes the page in the middle of a draft. The entry cancels
// at the agent, the agent at the engine; the memory is free within a second.
func TestCallerGoneFreesMemory(t *testing.T) {
	simulate(t, func(s *sim) {
		res := s.draft(load.DraftSpec{Stream: true, MaxTokens: 500, CancelAfter: 5})
		assert.True(t, res.Cancelled)
		s.freedWithin(time.Second)
	})
}

// Story: the entry dies with a draft under way. Nobody cancels; the agent no
// longer hears the entry's heartbeats and frees the memory when the lease
// time is over.
func TestEntryLostFreesMemory(t *testing.T) {
	simulate(t, func(s *sim) {
		s.only(0)
		res := during(midAnswer, func() { s.crash(s.entry(0)) },
			func() load.Result { return s.draft(load.DraftSpec{Stream: true, MaxTokens: 500}) })
		assert.True(t, res.Broken, "a broken answer must be seen as such")
		s.freedWithin(3500 * time.Millisecond)
	})
}

// Story: entry and agent are cut off from each other for good, and the caller
// goes away meanwhile. No cancel arrives; the lease ends it.
func TestCancelLostInPartition(t *testing.T) {
	simulate(t, func(s *sim) {
		s.only(0)
		ctx, leave := context.WithTimeout(s.t.Context(), 2*midAnswer)
		defer leave()
		during(midAnswer, func() { s.net.Partition(s.entry(0), "caller") }, func() load.Result {
			return s.caller.Draft(ctx, s.random(), load.DraftSpec{Key: paidKey, Prompt: "A long letter", Stream: true, MaxTokens: 512})
		})
		assert.Positive(t, s.Held(), "the cancel was not lost")
		s.freedWithin(3500 * time.Millisecond)
	})
}

// Story: no decode engine can be had at all. The request is refused, as not
// run, within the wait of its tier, and no prefill was spent on it.
func TestNoDecodeMeansNoPrefill(t *testing.T) {
	simulate(t, func(s *sim) {
		s.crash("alm-a-decode-1")
		s.crash("alm-b-decode-1")
		before := s.Prefill().Computed
		res := s.draft(load.DraftSpec{})
		assert.Equal(t, entry.NotRun, res.Outcome)
		assert.Equal(t, before, s.Prefill().Computed)
	})
}

// Story: an agent dies while its engine writes a long draft, and is replaced.
// The engine's memory is accounted for by no lease any more; the new agent
// finds the request there and frees it, long before its end.
func TestNewAgentFreesOrphans(t *testing.T) {
	simulate(t, func(s *sim) {
		for _, e := range s.Engines {
			e.Fault(standin.Fault{Kind: standin.FaultSlow, Factor: 20})
		}
		ctx, leave := context.WithTimeout(s.t.Context(), 4*midAnswer)
		defer leave()
		during(midAnswer, func() {
			name := s.busy()
			s.crash(name)
			s.StartAgent(name)
		}, func() load.Result {
			return s.caller.Draft(ctx, s.random(), load.DraftSpec{Key: paidKey, Prompt: "A long letter", Stream: true, MaxTokens: 512})
		})
		s.freedWithin(2 * time.Second)
	})
}

// Story: the kept connections between a prefill engine and its agent went
// silent. The next draft waits for nothing; the agent notices that the prefill
// takes far longer than prefills do here and asks on a fresh connection.
func TestSilentConnectionToPrefillEngine(t *testing.T) {
	simulate(t, func(s *sim) {
		for range 10 {
			whole(t, s.draft(load.DraftSpec{}))
		}
		time.Sleep(time.Second) // what the drafts held is freed on those connections
		for _, name := range []string{"alm-a-prefill-1", "alm-b-prefill-1"} {
			s.net.Silence(name, name+"-engine")
		}
		for range 6 { // both engines get some
			began := time.Now()
			whole(t, s.draft(load.DraftSpec{}))
			assert.Less(t, time.Since(began), 4*time.Second)
			time.Sleep(time.Second)
		}
		assert.Zero(t, s.count("continued"), "no retry is spent on a connection")
	})
}

// Story: the connection on which a decode agent tells a prefill engine that it
// has the result went silent. Nobody needs that answer: the first token must
// not wait for it.
func TestFirstTokenDoesNotWaitForTheDrop(t *testing.T) {
	simulate(t, func(s *sim) {
		for range 6 {
			whole(t, s.draft(load.DraftSpec{}))
		}
		time.Sleep(time.Second) // the connections are idle
		for _, d := range []string{"alm-a-decode-1", "alm-b-decode-1"} {
			s.net.Silence(d, "alm-a-prefill-1-engine")
			s.net.Silence(d, "alm-b-prefill-1-engine")
		}
		res := s.draft(load.DraftSpec{Stream: true})
		whole(t, res)
		assert.Less(t, res.TTFT, 500*time.Millisecond)
	})
}
