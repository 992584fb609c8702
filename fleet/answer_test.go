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

// midAnswer is a time after the start of an answer of 64 tokens at which it is still being
// generated.
const midAnswer = 250 * time.Millisecond

func TestAnswersAreComplete(t *testing.T) {
	runSim(t, func(s *sim) {
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		assertComplete(t, s.sendGeneration(load.GenerationSpec{Stream: true}))
		assertComplete(t, s.sendGeneration(load.GenerationSpec{Stream: true, Key: trialKey}))
		assertComplete(t, s.sendBooking(load.CallSpec{}))
		s.requireFreedWithin(0)
	})
}

// TestDecodeEngineLostMidAnswer: the decode engine crashes while an answer is streamed. The
// agent sees its stream end and gets no response from the engine. The entry must prefill the
// prompt and the delivered tokens at other engines and continue the answer; the caller sees a
// longer gap only.
func TestDecodeEngineLostMidAnswer(t *testing.T) {
	runSim(t, func(s *sim) {
		res := withFault(midAnswer, func() { s.Engines[s.busyEndpoint()+"-engine"].Crash() },
			func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
		assert.EqualValues(t, 1, s.sumMetric("continued"))
	})
}

// TestDecodeAgentLostMidAnswer: the decode agent crashes while an answer is streamed, and
// redialing fails. After a timeout the entry must continue the answer elsewhere. It does not
// free the orphaned request at the engine: no agent admits work to that engine until its next
// agent starts.
func TestDecodeAgentLostMidAnswer(t *testing.T) {
	runSim(t, func(s *sim) {
		res := withFault(midAnswer, func() { s.crash(s.busyEndpoint()) },
			func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
	})
}

// TestDecodeVMPowerLoss: the VM of agent and engine loses power, so that their connections go
// silent without being closed. Heartbeats must detect it, and the answer must be continued
// elsewhere.
func TestDecodeVMPowerLoss(t *testing.T) {
	runSim(t, func(s *sim) {
		res := withFault(midAnswer, func() {
			name := s.busyEndpoint()
			s.powerCut(name)
			s.powerCut(name + "-engine")
		}, func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
		assert.EqualValues(t, 1, s.sumMetric("continued"))
	})
}

// TestSilentConnectionToAgent: the connection between entry and agent goes silent but stays
// open, as after a middlebox has lost its state, while engine and agent are healthy. Heartbeats
// must detect it, and a new connection must resume the answer at the next token. The endpoint
// is not at fault, so nothing may be prefilled again.
func TestSilentConnectionToAgent(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		res := withFault(midAnswer, func() { s.net.Silence(s.entryName(0), s.busyEndpoint()) },
			func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
		assert.Zero(t, s.sumMetric("continued"))
	})
}

// TestConnectionCutTwice: the connection between entry and agent is cut twice during one
// answer, which must resume both times without another prefill.
func TestConnectionCutTwice(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		res := withFault(midAnswer, func() {
			busy := s.busyEndpoint()
			s.net.Cut(s.entryName(0), busy)
			time.Sleep(200 * time.Millisecond)
			s.net.Cut(s.entryName(0), busy)
		}, func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
		assert.Zero(t, s.sumMetric("continued"))
	})
}

// TestSilentStreamOfEngine: the stream from engine to agent goes silent for good while the
// engine keeps generating. The agent must open a new stream at the next token.
func TestSilentStreamOfEngine(t *testing.T) {
	runSim(t, func(s *sim) {
		res := withFault(midAnswer, func() { s.injectFault(s.busyEndpoint(), standin.Fault{Kind: standin.FaultSilent}) },
			func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
		assert.Zero(t, s.sumMetric("continued"))
	})
}

// TestEngineStallsMidAnswer: an engine hangs for ten seconds during an answer, and new streams
// are silent as well. The agent must abandon the request there, and the entry must continue it
// elsewhere before the engine recovers.
func TestEngineStallsMidAnswer(t *testing.T) {
	runSim(t, func(s *sim) {
		began := time.Now()
		res := withFault(midAnswer, func() {
			s.injectFault(s.busyEndpoint(), standin.Fault{Kind: standin.FaultStall, For: jsonc.Duration(10 * time.Second)})
		}, func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true}) })
		assertComplete(t, res)
		assert.Less(t, time.Since(began), 8*time.Second)
		s.requireFreedWithin(15 * time.Second)
	})
}

// TestResultIsReusedAfterStalledTransfer: KV transfers into one engine stall. The transfer must
// be cut while the prefill result is still kept, so that another engine imports the same result
// and a long prompt is not prefilled twice.
func TestResultIsReusedAfterStalledTransfer(t *testing.T) {
	runSim(t, func(s *sim) {
		s.injectFault("alm-a-decode-1", standin.Fault{Kind: standin.FaultTransfer, For: jsonc.Duration(5 * time.Second)})
		for range 6 {
			assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		}
		assert.Positive(t, s.sumMetric("reused_results"))
		assert.Zero(t, s.sumMetric("wasted_prefill_tokens"))
	})
}

// TestCallerGoneFreesMemory: a caller disconnects during an answer. The entry must cancel at
// the agent and the agent at the engine, so that the memory is free within a second.
func TestCallerGoneFreesMemory(t *testing.T) {
	runSim(t, func(s *sim) {
		res := s.sendGeneration(load.GenerationSpec{Stream: true, MaxTokens: 500, CancelAfter: 5})
		assert.True(t, res.Cancelled)
		s.requireFreedWithin(time.Second)
	})
}

// TestEntryLostFreesMemory: an entry crashes during an answer, so that nobody cancels. The
// agent must free the memory when the entry's heartbeats have been missing for the lease time.
func TestEntryLostFreesMemory(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		res := withFault(midAnswer, func() { s.crash(s.entryName(0)) },
			func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true, MaxTokens: 500}) })
		assert.True(t, res.Aborted, "the caller must see that the answer was aborted")
		s.requireFreedWithin(3500 * time.Millisecond)
	})
}

// TestCancelLostInPartition: entry and agent are partitioned for good, and the caller
// disconnects meanwhile. The Cancel is lost, so the end of the lease must free the memory.
func TestCancelLostInPartition(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		ctx, leave := context.WithTimeout(s.t.Context(), 2*midAnswer)
		defer leave()
		withFault(midAnswer, func() { s.net.Partition(s.entryName(0), "caller") }, func() load.Result {
			return s.caller.Generate(ctx, s.newRand(), load.GenerationSpec{Key: paidKey, Prompt: "A long letter", Stream: true, MaxTokens: 512})
		})
		assert.Positive(t, s.HeldRequests(), "the Cancel must be lost")
		s.requireFreedWithin(3500 * time.Millisecond)
	})
}

// TestNoDecodeMeansNoPrefill: no decode engine is available. The request must be refused as not
// run within the maximum wait of its tier, and no prefill may be spent on it.
func TestNoDecodeMeansNoPrefill(t *testing.T) {
	runSim(t, func(s *sim) {
		s.crash("alm-a-decode-1")
		s.crash("alm-b-decode-1")
		before := s.PrefillStats().ComputedTokens
		res := s.sendGeneration(load.GenerationSpec{})
		assert.Equal(t, entry.OutcomeNotRun, res.Outcome)
		assert.Equal(t, before, s.PrefillStats().ComputedTokens)
	})
}

// TestNewAgentFreesOrphans: an agent crashes while its engine generates a long answer, and is
// replaced. No lease accounts for the engine's memory any more; the new agent must find the
// orphaned request and free it long before it would end.
func TestNewAgentFreesOrphans(t *testing.T) {
	runSim(t, func(s *sim) {
		for _, e := range s.Engines {
			e.InjectFault(standin.Fault{Kind: standin.FaultSlow, Factor: 20})
		}
		ctx, leave := context.WithTimeout(s.t.Context(), 4*midAnswer)
		defer leave()
		withFault(midAnswer, func() {
			name := s.busyEndpoint()
			s.crash(name)
			s.StartAgent(name)
		}, func() load.Result {
			return s.caller.Generate(ctx, s.newRand(), load.GenerationSpec{Key: paidKey, Prompt: "A long letter", Stream: true, MaxTokens: 512})
		})
		s.requireFreedWithin(2 * time.Second)
	})
}

// TestSilentConnectionToPrefillEngine: the keep-alive connections between agents and their
// prefill engines have gone silent. The agent must detect that a prefill takes far longer than
// usual, and send it again on a new connection.
func TestSilentConnectionToPrefillEngine(t *testing.T) {
	runSim(t, func(s *sim) {
		for range 10 {
			assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		}
		time.Sleep(time.Second) // the memory of the generations is freed over these connections
		for _, name := range []string{"alm-a-prefill-1", "alm-b-prefill-1"} {
			s.net.Silence(name, name+"-engine")
		}
		for range 6 { // enough for both engines to get some
			began := time.Now()
			assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
			assert.Less(t, time.Since(began), 4*time.Second)
			time.Sleep(time.Second)
		}
		assert.Zero(t, s.sumMetric("continued"), "a silent connection must not cost a retry")
	})
}

// TestFirstTokenDoesNotWaitForDrop: the connection on which a decode agent asks the prefill
// engine to drop a fetched result has gone silent. The response is not needed, so the first
// token must not wait for it.
func TestFirstTokenDoesNotWaitForDrop(t *testing.T) {
	runSim(t, func(s *sim) {
		for range 6 {
			assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		}
		time.Sleep(time.Second) // the connections are idle
		for _, d := range []string{"alm-a-decode-1", "alm-b-decode-1"} {
			s.net.Silence(d, "alm-a-prefill-1-engine")
			s.net.Silence(d, "alm-b-prefill-1-engine")
		}
		res := s.sendGeneration(load.GenerationSpec{Stream: true})
		assertComplete(t, res)
		assert.Less(t, res.TTFT, 500*time.Millisecond)
	})
}
