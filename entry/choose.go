package entry

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/engine"
	"ebonypulley/router"
	"ebonypulley/schedule"
)

// profileCache caches the scheduling profile of each pool for one configuration
// document, identified by its digest.
type profileCache struct {
	mu     sync.Mutex
	digest uint64
	pools  map[string]*schedule.Profile
}

func (p *profileCache) get(s *config.Snapshot, pool string) (*schedule.Profile, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil || p.digest != s.Digest {
		p.digest = s.Digest
		p.pools = make(map[string]*schedule.Profile)
	}
	if prof, ok := p.pools[pool]; ok {
		return prof, nil
	}
	prof, err := schedule.NewProfile(s.Document.Pool(pool).Policy)
	if err == nil {
		p.pools[pool] = prof
	}
	return prof, err
}

// criteria are the inputs to the choice of an endpoint.
type criteria struct {
	service string
	role    config.Role
	tokens  int
	blocks  []uint64
	tried   map[string]bool
	spare   bool
}

// chooser chooses endpoints by the policies of the configuration document. It
// implements router.Chooser.
type chooser struct{ entry *Entry }

var _ router.Chooser = chooser{}

// Choose implements router.Chooser. A call with an Idempotency-Key has exactly
// one endpoint: the owner of the key among the declared members, reachable or
// not. Two entries that disagree about which members are alive must not send
// the same key to two owners.
func (c chooser) Choose(ctx context.Context, rc *router.Call, role router.Role, tried map[string]bool) (*router.Endpoint, error) {
	s := criteria{service: rc.Service.Name, role: configRoles[role], tried: tried}
	switch m := rc.Message.(type) {
	case *call:
		s.spare = m.request.tier.Spare
		if m.key != "" {
			members := c.entry.store.Current().Document.ServiceEndpoints(s.service, config.Plain)
			return routerEndpoint(keyOwner(members, m.request.workspace.Name, m.key)), nil
		}
	case *generation:
		text := m.fullText()
		s.spare, s.tokens = m.request.tier.Spare, engine.EstimateTokens(text)
		if role == router.Prefill {
			s.blocks = engine.BlockHashes(text)
		}
	}
	return c.entry.chooseWithin(ctx, s, rc.QueueTimeLeft(time.Now(), false))
}

// Usable implements router.Chooser. Draining is not checked here, because a
// draining agent refuses new work itself.
func (c chooser) Usable(e *router.Endpoint) bool {
	return c.entry.store.Current().Document.Endpoint(e.ID) != nil
}

var configRoles = map[router.Role]config.Role{router.Plain: config.Plain, router.Prefill: config.Prefill, router.Decode: config.Decode}

func routerEndpoint(e config.Endpoint) *router.Endpoint {
	return &router.Endpoint{ID: e.Name, Addr: e.Agent, DataCentre: e.DataCentre}
}

// chooseWithin calls choose until an endpoint is ready, for at most wait or
// reconnectTimeout, whichever is shorter.
//
// An entry that has just started, or resumes from a pause, is still replacing
// its connections and sees no ready endpoint for some milliseconds. Without the
// retry it would refuse a burst of requests.
func (e *Entry) chooseWithin(ctx context.Context, s criteria, wait time.Duration) (*router.Endpoint, error) {
	until := time.Now().Add(min(wait, reconnectTimeout))
	for {
		chosen, err := e.choose(s)
		if !errorx.IsOfType(err, schedule.ErrNoCandidate) || time.Now().After(until) {
			return chosen, err
		}
		if !ebonypulley.Sleep(ctx, readyPollInterval) {
			return nil, err
		}
	}
}

const readyPollInterval = 25 * time.Millisecond

// choose picks an endpoint by the policy of the first member's pool. It uses
// the current configuration document rather than the request's snapshot, so
// that an endpoint that was removed meanwhile gets no new work.
func (e *Entry) choose(s criteria) (*router.Endpoint, error) {
	snap := e.store.Current()
	members := snap.Document.ServiceEndpoints(s.service, s.role)
	if len(members) == 0 {
		return nil, schedule.ErrNoCandidate.New("no %s endpoint is declared for %s", s.role, s.service)
	}
	profile, err := e.profiles.get(snap, members[0].Pool)
	if err != nil {
		return nil, err
	}
	candidates := make([]schedule.Candidate, 0, len(members))
	for _, m := range members {
		candidates = append(candidates, e.candidate(snap.Document, m, s))
	}
	req := schedule.Request{Tokens: s.tokens, Spare: s.spare}
	e.randomMu.Lock()
	chosen, err := profile.Choose(&req, candidates, e.random)
	e.randomMu.Unlock()
	if err != nil {
		return nil, err
	}
	return routerEndpoint(chosen), nil
}

func (e *Entry) candidate(doc *config.Document, m config.Endpoint, s criteria) schedule.Candidate {
	c := schedule.Candidate{Endpoint: m, Distance: e.distance(doc, m.DataCentre), Tried: s.tried[m.Name]}
	p := e.peers.Peer(m.Name)
	if p == nil {
		return c
	}
	st := p.Status()
	c.Load = st.Load
	c.InFlight = st.Opened
	c.Ready = st.Connected && !st.Load.Down && e.view.Usable(m.Name)
	if len(s.blocks) > 0 {
		c.CachedTokens = e.prefixes.cachedTokens(m.Name, st.Load.CacheEpoch, s.blocks)
	}
	return c
}

// undeclaredLinkDelay is the delay assumed between data centres that have no
// declared link.
const undeclaredLinkDelay = 50 * time.Millisecond

func (e *Entry) distance(doc *config.Document, to string) time.Duration {
	if to == e.settings.DataCentre {
		return 0
	}
	if l := doc.Link(e.settings.DataCentre, to); l != nil {
		return l.Delay.D()
	}
	return undeclaredLinkDelay
}

// ReadyEndpoints returns the number of declared endpoints that this entry
// considers able to take work.
func (e *Entry) ReadyEndpoints() int {
	snap := e.store.Current()
	if snap == nil {
		return 0
	}
	n := 0
	for _, m := range snap.Document.Endpoints {
		if e.candidate(snap.Document, m, criteria{}).Ready {
			n++
		}
	}
	return n
}
