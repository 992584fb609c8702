package emulator_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/emulator"
	"ebonypulley/quota"
	"ebonypulley/router"
)

// Rules of the platform's specification for an endpoint that advertises a limit: from
// limitGrace after the limit was set, all entries together may send it limitOverrun times the
// limit in each limitWindow, and limitSlack requests more. Requests that an entry sends within
// noticeTime of learning of the limit do not count.
const (
	limitGrace   = 3 * time.Second
	limitWindow  = 4 * time.Second
	noticeTime   = 500 * time.Millisecond
	limitOverrun = 1.5
	limitSlack   = 5
	// minLimitUse is the fraction of its limit that an endpoint must receive while demand
	// exceeds it.
	minLimitUse = 0.8
)

var endpointTolerance = quota.Tolerance{Window: limitWindow, Overrun: limitOverrun - 1, Slack: limitSlack}

// limitTest sends plain calls to a cluster whose plain endpoints advertise limits.
type limitTest struct {
	t       *testing.T
	cluster *emulator.Cluster
	rnd     *rand.Rand
	wg      sync.WaitGroup
	mu      sync.Mutex
	refused int
	served  int
	// limitedSince is when the endpoints began to advertise their limits.
	limitedSince time.Time
}

// runLimitTest runs fn against a cluster of entries before three plain endpoints.
func runLimitTest(t *testing.T, entries int, seed uint64, fn func(d *limitTest)) {
	synctest.Test(t, func(t *testing.T) {
		spec := smallBatchSpec()
		fleet := emulator.NewFleet(&spec, 9, 3, nil)
		fleet.AddPlainService(3, 6)
		cluster := emulator.NewCluster(fleet, router.Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, EndpointTolerance: endpointTolerance, Seed: seed<<16 + 1})
		for i := range entries {
			_, err := cluster.StartEntry(t.Context(), fmt.Sprintf("dc-%d", i%3), wideLink)
			require.NoError(t, err)
		}
		time.Sleep(3 * time.Second)
		d := &limitTest{t: t, cluster: cluster, rnd: rand.New(rand.NewPCG(seed, 1))}
		fn(d)
		d.wg.Wait()
		cluster.Close(context.Background())
	})
}

// sendLoad sends calls at a mean rate for a time. A third of them are idempotent and may be
// retried.
func (d *limitTest) sendLoad(rate float64, lasting time.Duration) {
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		time.Sleep(time.Duration(d.rnd.ExpFloat64() / rate * float64(time.Second)))
		route := &router.Route{Name: "book", Kind: router.NonIdempotent, MaxAttempts: 1, LatencyTarget: 300 * time.Millisecond}
		if d.rnd.IntN(3) == 0 {
			route = &router.Route{Name: "look", Kind: router.Idempotent, MaxAttempts: 2, LatencyTarget: 300 * time.Millisecond}
		}
		e := d.cluster.Entries[d.rnd.IntN(len(d.cluster.Entries))]
		d.wg.Go(func() { d.call(e, route) })
	}
}

func (d *limitTest) call(e *emulator.Entry, route *router.Route) {
	const wait = 1500 * time.Millisecond
	now := time.Now()
	c := &router.Call{ID: "c", Route: route, Service: d.cluster.Fleet.PlainService, ReceivedAt: now, Deadline: now.Add(wait), Timeout: wait, ResumeAfter: router.NoEvent}
	_, fail := e.Router.Call(d.t.Context(), c)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case fail == nil:
		d.served++
	case fail.Reason == router.NotRun:
		d.refused++
		assert.Positive(d.t, fail.RetryAfter, "a refusal must suggest a retry delay")
	}
}

// setLimit makes the endpoints advertise a limit from now on.
func (d *limitTest) setLimit(perSecond float64, endpoints ...string) {
	d.limitedSince = time.Now()
	for _, id := range endpoints {
		d.cluster.Fleet.SetLimit(id, router.RequestLimit{Advertised: true, PerSecond: perSecond})
	}
}

// maxInWindow returns the maximum number of counted requests that an endpoint received in a
// window, and the mean number of all its requests per second. Both start limitGrace after the
// limit was set; a request counts if its entry had known of the limit for noticeTime.
func (d *limitTest) maxInWindow(endpoint string) (peak int, perSecond float64) {
	var counted []time.Time
	var first, last time.Time
	for _, a := range d.cluster.Fleet.Arrivals() {
		if a.Endpoint != endpoint || a.At.Before(d.limitedSince.Add(limitGrace)) {
			continue
		}
		if first.IsZero() {
			first = d.limitedSince.Add(limitGrace)
		}
		last = a.At
		perSecond++
		if a.LimitSeen.IsZero() || a.At.Sub(a.LimitSeen) < noticeTime {
			continue
		}
		counted = append(counted, a.At)
		from := 0
		for a.At.Sub(counted[from]) >= limitWindow {
			from++
		}
		counted = counted[from:]
		peak = max(peak, len(counted))
	}
	return peak, perSecond / max(last.Sub(first).Seconds(), 1)
}

// TestEndpointLimit: overloaded endpoints advertise a limit. All entries together must keep to
// it, and must use most of it.
func TestEndpointLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		entries int
		calls   float64
		limit   float64
		lasting time.Duration
	}{{5, 22, 2.5, 20 * time.Second}, {5, 22, 0.4, 20 * time.Second}, {27, 60, 2.5, 12 * time.Second}, {68, 200, 4, 8 * time.Second}} {
		t.Run(fmt.Sprint(c.entries, " entries, ", c.limit, " per second"), func(t *testing.T) {
			t.Parallel()
			runLimitTest(t, c.entries, 1, func(d *limitTest) {
				d.cluster.Fleet.FailPlainCalls(5)
				d.sendLoad(c.calls, 2*time.Second)
				d.setLimit(c.limit, "p00", "p01", "p02")
				d.sendLoad(c.calls, c.lasting)
				allowed := int(limitOverrun*c.limit*limitWindow.Seconds()) + limitSlack
				for _, id := range []string{"p00", "p01", "p02"} {
					peak, perSecond := d.maxInWindow(id)
					t.Logf("%s: %d requests in %v of %d allowed, %.2f per second", id, peak, limitWindow, allowed, perSecond)
					assert.LessOrEqual(t, peak, allowed, id)
					assert.GreaterOrEqual(t, perSecond, minLimitUse*c.limit, id)
				}
			})
		})
	}
}

// TestEndpointLimitInAnyFleet is TestEndpointLimit with random numbers of entries, limits,
// loads and rates of failing calls.
func TestEndpointLimitInAnyFleet(t *testing.T) {
	t.Parallel()
	const fleets, span = 60, 2 * limitWindow
	for seed := range uint64(fleets) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 3))
			entries := 3 + rnd.IntN(14)
			limit := 0.5 + 4*rnd.Float64()
			calls := 3 * limit * (2 + 4*rnd.Float64())
			runLimitTest(t, entries, seed, func(d *limitTest) {
				d.cluster.Fleet.FailPlainCalls(2 + rnd.IntN(20))
				d.sendLoad(calls, time.Second)
				d.setLimit(limit, "p00", "p01", "p02")
				d.sendLoad(calls, limitGrace+span)
				allowed := int(limitOverrun*limit*limitWindow.Seconds()) + limitSlack
				minRequests := math.Floor(minLimitUse * limit * span.Seconds()) // rounded down to whole requests
				for _, id := range []string{"p00", "p01", "p02"} {
					peak, perSecond := d.maxInWindow(id)
					assert.LessOrEqual(t, peak, allowed, "%s: %d entries, limit %.1f per second", id, entries, limit)
					assert.GreaterOrEqual(t, perSecond*span.Seconds(), minRequests, "%s: %d entries, limit %.1f per second", id, entries, limit)
				}
			})
		})
	}
}

// TestEndpointLimitSparesOthers: while one endpoint is limited, no caller may be refused,
// because the others have room. When the limit is lifted, the endpoint must receive its part
// of the load again.
func TestEndpointLimitSparesOthers(t *testing.T) {
	t.Parallel()
	runLimitTest(t, 5, 1, func(d *limitTest) {
		d.setLimit(2, "p00")
		d.sendLoad(22, 10*time.Second)
		d.wg.Wait()
		assert.Zero(t, d.refused)
		peak, _ := d.maxInWindow("p00")
		assert.LessOrEqual(t, peak, int(limitOverrun*2*limitWindow.Seconds())+limitSlack)
		d.cluster.Fleet.SetLimit("p00", router.RequestLimit{})
		d.sendLoad(22, 3*time.Second)
		before := len(d.cluster.Fleet.Arrivals())
		d.sendLoad(22, 5*time.Second)
		got := 0
		for _, a := range d.cluster.Fleet.Arrivals()[before:] {
			if a.Endpoint == "p00" {
				got++
			}
		}
		assert.Greater(t, got, 5*22/3/2, "at least half of an equal share")
	})
}

// TestEngineLimit: engines advertise a limit, which prefills and generations together must keep
// to.
func TestEngineLimit(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{5, 10} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			t.Parallel()
			runCluster(t, entries, 9, 1, func(d *clusterTest) {
				const limit = 1.5
				limited := &limitTest{cluster: d.cluster, limitedSince: time.Now()}
				for _, e := range d.fleet.Endpoints()[:6] {
					limited.setLimit(limit, e.ID)
				}
				d.sendLoad(12, 12*time.Second)
				d.wg.Wait()
				for _, e := range d.fleet.Endpoints()[:6] {
					peak, perSecond := limited.maxInWindow(e.ID)
					t.Logf("%s: %d requests in %v, %.2f per second", e.ID, peak, limitWindow, perSecond)
					assert.LessOrEqual(t, peak, int(limitOverrun*limit*limitWindow.Seconds())+limitSlack, e.ID)
				}
			})
		})
	}
}
