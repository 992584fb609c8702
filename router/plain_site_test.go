package router_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/pace"
	"ebonypulley/router"
	"ebonypulley/share"
)

// siteClient is the client of one entry.
type siteClient struct {
	router.EndpointClient
	site   *plainSite
	router *router.Router
}

func (c *siteClient) Call(ctx context.Context, e *router.Endpoint, call *router.Call) (*router.Answer, error) {
	s := c.site.servers[e.ID]
	time.Sleep(entryToEndpoint)
	err := s.run(ctx, call.Message.(time.Duration))
	load := s.load()
	time.Sleep(entryToEndpoint)
	if !c.site.silent {
		c.router.HandleNotice(e, router.Notice{Load: load})
	}
	if err != nil {
		return nil, err
	}
	return &router.Answer{Body: e.ID}, nil
}

func newPlainSite(l plainLoad, rnd *rand.Rand) *plainSite {
	s := &plainSite{plainLoad: l, servers: make(map[string]*plainServer), dead: make(map[int]bool), rnd: rnd, lost: newsLost, cut: func(int, int) bool { return false }}
	for i := range l.endpoints {
		e := plain("a" + strconv.Itoa(i))
		s.list = append(s.list, e)
		s.servers[e.ID] = newPlainServer(rnd)
	}
	for range l.entries {
		s.addEntry()
	}
	return s
}

func (s *plainSite) addEntry() {
	c, m := &siteClient{site: s}, metrics.NewSet()
	s.metrics = append(s.metrics, m)
	c.router = router.New(router.Settings{DataCentre: "dc-1", RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 96, Seed: uint64(len(s.entries) + 1)}, c, event.Nop(), m)
	c.router.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{app}, s.list))
	c.router.SetFleetSize(s.plainLoad.entries)
	s.entries = append(s.entries, c.router)
}

// exchange passes what each entry reports to the others until ctx ends.
func (s *plainSite) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		entries, dead, deaf := slices.Clone(s.entries), maps.Clone(s.dead), s.deaf
		s.mu.Unlock()
		for i, r := range entries {
			if dead[i] || deaf {
				continue
			}
			loads, _ := r.Loads().OwnLoads()
			demand, _ := r.Shares().Own()
			paces := r.Paces().Own(time.Now())
			for k := range paces {
				paces[k].Age += newsDelay
			}
			time.AfterFunc(newsDelay, func() { s.deliver(i, loads, demand, paces) })
		}
		time.Sleep(newsInterval)
	}
}

func (s *plainSite) deliver(from int, loads map[string]router.Load, demand []share.Demand, paces []pace.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for to, r := range s.entries {
		if to == from || s.rnd.Float64() < s.lost || s.cut(from, to) {
			continue
		}
		for range 1 + b2i(s.doubled) {
			r.Loads().SetPeerReport(time.Now(), strconv.Itoa(from), loads, nil)
			r.Shares().Merge(time.Now(), strconv.Itoa(from), demand, nil)
			r.Paces().Merge(time.Now(), paces)
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// call sends a call through its entry and counts its result.
func (s *plainSite) call(ctx context.Context, id int, o offered) {
	route := router.Route{Name: "booking", Kind: router.NonIdempotent, MaxAttempts: 1, LatencyTarget: s.target}
	if s.retryable {
		route.Kind, route.MaxAttempts = router.Idempotent, 2
	}
	now := time.Now()
	c := &router.Call{ID: strconv.Itoa(id), Route: &route, Service: app, ReceivedAt: now, Deadline: now.Add(s.deadline), Timeout: s.deadline, Message: o.work}
	s.mu.Lock()
	entry := s.entries[o.entry]
	s.mu.Unlock()
	_, f := entry.Call(ctx, c)
	took := time.Since(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead[o.entry] {
		return
	}
	r := &s.result
	r.calls++
	switch {
	case f == nil && took <= s.target:
		r.onTime++
		r.latency += took
	case f == nil:
		r.late++
	case f.Reason == router.NotRun:
		r.refused++
		r.refusedLate += b2i(took > 50*time.Millisecond)
	default:
		r.failed++
	}
}
