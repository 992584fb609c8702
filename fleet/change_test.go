package fleet_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/config"
	"ebonypulley/entry"
	"ebonypulley/fleet"
	"ebonypulley/load"
	"ebonypulley/standin"
)

// applyTimeout is the maximum time until all processes have applied a published document.
const applyTimeout = 5 * time.Second

// publishChanged publishes a changed copy of the configuration document.
func (s *sim) publishChanged(generation uint64, change func(*config.Document)) []byte {
	text := s.changedDocument(generation, change)
	s.Config.Publish(text)
	return text
}

// changedDocument returns a changed copy of the configuration document.
func (s *sim) changedDocument(generation uint64, change func(*config.Document)) []byte {
	doc, findings := config.Parse("published", s.Plan.Text)
	require.NoError(s.t, findings.Err())
	doc.Generation = generation
	change(doc)
	text, err := json.Marshal(doc)
	require.NoError(s.t, err)
	return text
}

func withoutEndpoint(name string) func(*config.Document) {
	return func(doc *config.Document) {
		kept := doc.Endpoints[:0]
		for _, e := range doc.Endpoints {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		doc.Endpoints = kept
	}
}

func (s *sim) generations() []uint64 {
	var list []uint64
	for _, e := range s.Entries {
		list = append(list, e.Store().Generation())
	}
	for _, a := range s.Agents {
		list = append(list, a.Store().Generation())
	}
	return list
}

func (s *sim) assertAllAt(generation uint64) {
	s.t.Helper()
	for _, g := range s.generations() {
		assert.Equal(s.t, generation, g)
	}
}

// startBackgroundLoad sends generations and bookings until the returned function is called,
// which returns their results.
func (s *sim) startBackgroundLoad() func() []load.Result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var results []load.Result
	stop := make(chan struct{})
	send := func(request func() load.Result) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				res := request()
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for range 3 {
		send(func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true, MaxTokens: 24}) })
		send(func() load.Result { return s.sendBooking(load.CallSpec{}) })
	}
	return func() []load.Result {
		close(stop)
		wg.Wait()
		return results
	}
}

func (s *sim) assertAllComplete(results []load.Result) {
	s.t.Helper()
	for _, r := range results {
		assertComplete(s.t, r)
	}
	s.t.Logf("%d requests, all complete", len(results))
}

// TestRemovedEndpointDrains: an operator removes an engine from the document while it generates
// an answer. The answer must be completed; after that the engine must get no new work, although
// its process keeps running.
func TestRemovedEndpointDrains(t *testing.T) {
	runSim(t, func(s *sim) {
		var removed string
		res := withFault(midAnswer, func() {
			removed = s.busyEndpoint()
			s.publishChanged(2, withoutEndpoint(removed))
		}, func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true, MaxTokens: 400}) })
		assertComplete(t, res)
		assert.Zero(t, s.sumMetric("continued"))
		time.Sleep(applyTimeout)
		before := s.Engines[removed+"-engine"].Stats().DecodedTokens
		for range 8 {
			assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		}
		assert.Equal(t, before, s.Engines[removed+"-engine"].Stats().DecodedTokens)
	})
}

// TestDrainedAgentFinishes: an agent gets SIGTERM under load. It must complete what it serves
// and grant nothing new; callers must see no failure.
func TestDrainedAgentFinishes(t *testing.T) {
	runSim(t, func(s *sim) {
		finish := s.startBackgroundLoad()
		time.Sleep(time.Second)
		for _, name := range []string{"alm-a-decode-1", "alm-a-app-1", "alm-a-prefill-1"} {
			require.NoError(t, s.Drain(s.t.Context(), name))
			assert.Zero(t, s.Agents[name].Stats().Active)
			s.StartAgent(name)
		}
		time.Sleep(time.Second)
		s.assertAllComplete(finish())
	})
}

// TestDrainedEntryFinishes: an entry gets SIGTERM while answers stream through it. Its health
// endpoint must turn the load balancer away, and the answers must be completed.
func TestDrainedEntryFinishes(t *testing.T) {
	runSim(t, func(s *sim) {
		finish := s.startBackgroundLoad()
		time.Sleep(time.Second)
		for i := range s.Plan.Entries {
			name := s.entryName(i)
			require.NoError(t, s.Drain(s.t.Context(), name))
			s.StartEntry(name)
			time.Sleep(2 * time.Second)
		}
		s.assertAllComplete(finish())
	})
}

// TestStaleServiceDoesNotRevert: the configuration service serves an old document again, as a
// stale replica does. No process may go back to it.
func TestStaleServiceDoesNotRevert(t *testing.T) {
	runSim(t, func(s *sim) {
		s.publishChanged(2, func(*config.Document) {})
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
		s.Config.InjectFault(standin.Fault{Kind: standin.FaultStale})
		name := s.entryName(0)
		s.crash(name)
		s.StartEntry(name) // the new entry reads the stale document first
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
	})
}

// TestNewProcessesDuringOutage: the entries and an agent are replaced while the configuration
// service is down. They must learn the current document from their peers and serve.
func TestNewProcessesDuringOutage(t *testing.T) {
	runSim(t, func(s *sim) {
		s.publishChanged(2, func(*config.Document) {})
		time.Sleep(applyTimeout)
		s.crash("config")
		for _, name := range []string{s.entryName(0), s.entryName(1)} {
			s.crash(name)
			s.StartEntry(name)
		}
		s.crash("alm-a-decode-1")
		s.StartAgent("alm-a-decode-1")
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
	})
}

// TestConfigurationConvergesAfterPartition: a document reaches only one side of a partition.
// After the partition has healed all processes must get it from their peers, as the
// configuration service is down by then.
func TestConfigurationConvergesAfterPartition(t *testing.T) {
	runSim(t, func(s *sim) {
		s.net.Partition("alm-b-decode-1", "alm-b-app-1", "alm-b-prefill-1")
		s.publishChanged(2, withoutEndpoint("alm-b-decode-1"))
		time.Sleep(applyTimeout)
		assert.Contains(t, s.generations(), uint64(1))
		s.crash("config")
		s.net.Partition()
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
	})
}

// TestOperatorsPublishTheSameGeneration: two operators publish generation 2 with different
// contents, then one of them publishes an older generation. All processes must converge to the
// same document.
func TestOperatorsPublishTheSameGeneration(t *testing.T) {
	runSim(t, func(s *sim) {
		// The pauses let watchers of the service read each document. A document
		// that is replaced before that is never applied.
		s.publishChanged(2, withoutEndpoint("alm-a-app-1"))
		time.Sleep(time.Second)
		s.publishChanged(2, withoutEndpoint("alm-b-app-1"))
		time.Sleep(time.Second)
		s.publishChanged(1, func(*config.Document) {})
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
		digests := make(map[uint64]bool)
		for _, e := range s.Entries {
			digests[e.Store().Current().Digest] = true
		}
		for _, a := range s.Agents {
			digests[a.Store().Current().Digest] = true
		}
		assert.Len(t, digests, 1)
	})
}

// TestInvalidDocumentIsRejected: an operator publishes a document with an error. All processes
// must reject the whole document and keep the current one. (They also log the refusal, which is
// not checked here.)
func TestInvalidDocumentIsRejected(t *testing.T) {
	runSim(t, func(s *sim) {
		text := s.publishChanged(2, func(doc *config.Document) { doc.Endpoints[0].Pool = "nowhere" })
		require.True(t, bytes.Contains(text, []byte("nowhere")))
		time.Sleep(applyTimeout)
		s.assertAllAt(1)
	})
}

// TestRouteTurnsNonIdempotent: an operator corrects a call that was declared idempotent, and a
// partitioned entry still has the old document. The agents must refuse its calls, which it
// would retry, as not run.
func TestRouteTurnsNonIdempotent(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		s.net.Partition("config", s.entryName(1), "alm-a-app-1", "alm-b-app-1")
		s.publishChanged(2, func(doc *config.Document) {
			for i := range doc.Routes[0].Calls {
				doc.Routes[0].Calls[i].Idempotent = false
			}
		})
		time.Sleep(applyTimeout)
		s.net.Partition()
		res := s.caller.Call(s.t.Context(), s.newRand(), load.CallSpec{Key: paidKey, Kind: load.KindIdempotent})
		if res.Outcome == entry.OutcomeAnswered {
			assertComplete(t, res)
		}
		assert.LessOrEqual(t, s.runCount(res.CallID), 1)
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
	})
}

// TestSilentWatch: the entries' connections to the configuration service have gone silent. A
// published document must not be delayed until a long watch ends.
func TestSilentWatch(t *testing.T) {
	runSim(t, func(s *sim) {
		time.Sleep(40 * time.Second) // until the first long polls of the agents have ended
		for i := range s.Plan.Entries {
			s.net.Silence(s.entryName(i), "config")
		}
		s.publishChanged(2, func(*config.Document) {})
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
	})
}

// TestModelChangeWaitsForAnswers: an operator changes a service's model while a long answer is
// generated. The answer must be completed with the old model; then the engines are ordered to
// load the new one and must serve it.
func TestModelChangeWaitsForAnswers(t *testing.T) {
	runSim(t, func(s *sim) {
		res := withFault(midAnswer, func() {
			s.publishChanged(2, func(doc *config.Document) {
				for i := range doc.Services {
					if doc.Services[i].Model != "" {
						doc.Services[i].Model = "drafting-2"
					}
				}
			})
		}, func() load.Result { return s.sendGeneration(load.GenerationSpec{Stream: true, MaxTokens: 400}) })
		assertComplete(t, res)
		assert.Zero(t, s.sumMetric("continued"))
		time.Sleep(applyTimeout)
		s.caller.Model = "drafting-2"
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
	})
}

// TestRevokedKey: a workspace's key is removed from the document. The entries must reject it
// within seconds.
func TestRevokedKey(t *testing.T) {
	runSim(t, func(s *sim) {
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		s.publishChanged(2, func(doc *config.Document) {
			for i := range doc.Workspaces {
				doc.Workspaces[i].KeySHA256 = nil
			}
		})
		time.Sleep(applyTimeout)
		assert.Equal(t, http.StatusUnauthorized, s.sendGeneration(load.GenerationSpec{}).Status)
	})
}

// TestRequestDuringReconnect: an entry has lost all its connections, as after a pause, and is
// reconnecting. Requests that arrive in these milliseconds must be served.
func TestRequestDuringReconnect(t *testing.T) {
	runSim(t, func(s *sim) {
		s.useOnlyEntry(0)
		cutAll := func() {
			for name := range smallFleet {
				s.net.Cut(s.entryName(0), name)
			}
		}
		cutAll()
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		cutAll()
		assertComplete(t, s.sendBooking(load.CallSpec{}))
	})
}

// TestDrainingEntryClosesConnections: callers reuse their keep-alive connections to a draining
// entry. They must get their response with "Connection: close", so that the server does not
// close a connection while a request is being sent.
func TestDrainingEntryClosesConnections(t *testing.T) {
	runSim(t, func(s *sim) {
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(s.t.Context(), s.entryName(0)) }()
		time.Sleep(time.Second)
		req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, fleet.EntryURLs(s.Plan.Document)[0]+"/v1/models", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+paidKey)
		resp, err := s.client.Do(req)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.True(t, resp.Close)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, <-drained)
	})
}

// TestDocumentIsFetchedOnce: a large document is published, and agents have narrow links. If
// each of an agent's peers sent it a copy at once, none would arrive in time. A process with an
// old document must fetch it from one peer at a time.
func TestDocumentIsFetchedOnce(t *testing.T) {
	runSim(t, func(s *sim) {
		const (
			padding = 400_000
			narrow  = 10e6 / 8 // bytes per second
		)
		s.net.SetBandwidth(func(process string) float64 {
			if s.Agents[process] != nil {
				return narrow
			}
			return 0
		})
		before := make(map[string]int64)
		for name := range s.Agents {
			before[name] = s.net.BytesReceived(name)
		}
		const line = "// A comment of the operators.\n"
		text := s.changedDocument(2, func(*config.Document) {})
		s.Config.Publish(append(append(text, '\n'), bytes.Repeat([]byte(line), padding/len(line))...))
		time.Sleep(applyTimeout)
		s.assertAllAt(2)
		for name := range s.Agents {
			came := s.net.BytesReceived(name) - before[name]
			assert.Less(t, came, int64(padding*3/2), name)
		}
	})
}

// TestWorkspaceTokenLimit: the operators limit a workspace's tokens. All entries together must
// enforce the limit; otherwise the workspace could use a multiple of it.
func TestWorkspaceTokenLimit(t *testing.T) {
	runSim(t, func(s *sim) {
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
		const limit, answer = 60, 100
		s.publishChanged(2, func(doc *config.Document) {
			for i := range doc.Workspaces {
				doc.Workspaces[i].TokensPerSecond = limit
			}
		})
		time.Sleep(applyTimeout)
		start, tokens, refused := time.Now(), 0, 0
		for time.Since(start) < 10*time.Second {
			res := s.sendGeneration(load.GenerationSpec{MaxTokens: answer})
			switch res.Status {
			case http.StatusOK:
				tokens += answer
			case http.StatusTooManyRequests:
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Positive(t, refused)
		maxTokens := 11*limit + len(s.Plan.Document.Entries)*answer
		assert.LessOrEqual(t, tokens, maxTokens, "limit for 10 s, a burst of 1 s, and one answer per entry")
		assert.Positive(t, tokens)
	})
}
