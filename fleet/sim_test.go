package fleet_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/examples"
	"ebonypulley/fleet"
	"ebonypulley/internal/simnet"
	"ebonypulley/invariant"
	"ebonypulley/load"
	_ "ebonypulley/plugins"
	"ebonypulley/standin"
)

const (
	paidKey  = "paid-key"
	trialKey = "trial-key"
)

// sim is a small fleet of the real daemons over a network with faults, in virtual time.
type sim struct {
	*fleet.Fleet
	t      *testing.T
	net    *simnet.Net
	caller load.Caller
	client *http.Client
	seed   atomic.Uint64
}

// smallFleet names the endpoints of the example document that the fleet has.
var smallFleet = map[string]bool{
	"alm-a-prefill-1": true, "alm-b-prefill-1": true,
	"alm-a-decode-1": true, "alm-b-decode-1": true,
	"alm-a-app-1": true, "alm-b-app-1": true,
}

func smallDocument(t testing.TB) *config.Document {
	doc, findings := config.Parse("almaty.jsonc", examples.Almaty)
	require.NoError(t, findings.Err())
	endpoints := doc.Endpoints[:0]
	for _, e := range doc.Endpoints {
		if smallFleet[e.Name] {
			endpoints = append(endpoints, e)
		}
	}
	doc.Endpoints = endpoints
	doc.Entries = doc.Entries[:2]
	fleet.AddWorkspace(doc, "paid", paidKey, false)
	fleet.AddWorkspace(doc, "trial", trialKey, true)
	return doc
}

// runSim runs fn against a fleet that is ready. A violated invariant fails the test.
func runSim(t *testing.T, fn func(s *sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		restore := invariant.SetHandler(func(rule invariant.Rule, detail string) {
			t.Errorf("invariant %s: %s", rule, detail)
		})
		defer restore()
		n := simnet.New()
		n.Latency = time.Millisecond
		doc, text, err := fleet.Rebase(smallDocument(t), "127.99")
		require.NoError(t, err)
		f, err := fleet.Start(t.Context(), n, doc, text, event.Nop())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, f.Ready(ctx))
		time.Sleep(3 * time.Second) // agents accept idempotency keys created from now on
		client := n.Dialer("caller").HTTPClient(false)
		s := &sim{Fleet: f, t: t, net: n, client: client, caller: f.NewCaller(client)}
		balancing, stop := context.WithCancel(t.Context())
		go s.caller.Balancer.Run(balancing)
		fn(s)
		stop()
		client.CloseIdleConnections()
		assert.NoError(t, f.Stop(), "a process failed")
		n.Close()
		time.Sleep(time.Second) // connections finish closing
	})
}

// newRand returns a random source for one request.
func (s *sim) newRand() *rand.Rand { return rand.New(rand.NewPCG(1, s.seed.Add(1))) }

func (s *sim) sendGeneration(d load.GenerationSpec) load.Result {
	if d.Key == "" {
		d.Key = paidKey
	}
	if d.Prompt == "" {
		d.Prompt = "Write a placement letter for the chess club."
	}
	if d.MaxTokens == 0 {
		d.MaxTokens = 64
	}
	return s.caller.Generate(s.t.Context(), s.newRand(), d)
}

func (s *sim) sendBooking(spec load.CallSpec) load.Result {
	spec.Kind, spec.Key = load.KindNonIdempotent, paidKey
	return s.caller.Call(s.t.Context(), s.newRand(), spec)
}

// withFault runs request and causes fault after a delay.
func withFault(delay time.Duration, fault func(), request func() load.Result) load.Result {
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(delay)
		fault()
	}()
	res := request()
	<-done
	return res
}

// busyEndpoint returns the decode endpoint whose engine holds a request.
func (s *sim) busyEndpoint() string {
	for name := range smallFleet {
		if e, ok := s.Engines[name+"-engine"]; ok && e.Stats().HeldRequests > 0 {
			return name
		}
	}
	s.t.Error("no engine holds a request")
	return ""
}

func (s *sim) entryName(i int) string { return s.Plan.Entries[i].Name }

// useOnlyEntry sends all requests to one entry.
func (s *sim) useOnlyEntry(i int) {
	s.caller.Balancer = load.NewBalancer(s.client, fleet.EntryURLs(s.Plan.Document)[i:i+1])
}

// crash kills a process; its connections are closed, as after a signal.
func (s *sim) crash(name string) {
	s.Kill(name)
	s.net.Crash(name)
}

// powerCut kills a process with its VM; its connections go silent without being closed.
func (s *sim) powerCut(name string) {
	s.net.PowerOff(name)
	s.Kill(name)
}

func (s *sim) sumMetric(metric string) int64 {
	var n int64
	for _, e := range s.Entries {
		n += e.Metrics().Count(metric)
	}
	return n
}

// requireFreedWithin waits until no engine holds a request. It fails the test after limit.
func (s *sim) requireFreedWithin(limit time.Duration) {
	s.t.Helper()
	began := time.Now()
	for s.HeldRequests() > 0 {
		if time.Since(began) > limit {
			s.t.Fatalf("engines still hold %d requests after %s", s.HeldRequests(), limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Logf("engine memory free after %s", time.Since(began))
}

func assertComplete(t *testing.T, r load.Result) {
	t.Helper()
	assert.Equal(t, http.StatusOK, r.Status, r.Reason)
	assert.False(t, r.Aborted, "the answer was aborted")
	assert.Empty(t, r.Mismatch)
}

func (s *sim) injectFault(endpoint string, f standin.Fault) {
	s.Engines[endpoint+"-engine"].InjectFault(f)
}
