package entry

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/peer"
	"ebonypulley/schedule"
)

// profiles caches the provisioned policy of each pool for one document.
type profiles struct {
	mu     sync.Mutex
	digest uint64
	pools  map[string]*schedule.Profile
}

func (p *profiles) get(s *config.Snapshot, pool string) (*schedule.Profile, error) {
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

// selection is one choice of an endpoint for a request.
type selection struct {
	service string
	role    config.Role
	tokens  int
	blocks  []uint64
	tried   map[string]bool
}

// chooseSoon is choose, but when no endpoint is ready it looks again for a
// little while, within the request's own wait.
//
// Failure guarded against: an entry that wakes from a pause, or just started,
// has replaced its connections and sees no endpoint for some milliseconds. It
// shows as a burst of needless refusals.
func (q *request) chooseSoon(ctx context.Context, s selection) (*peer.Peer, error) {
	until := time.Now().Add(min(q.wait(), linkGrace))
	for {
		p, err := q.choose(s)
		if !errorx.IsOfType(err, schedule.ErrNone) || time.Now().After(until) {
			return p, err
		}
		if !ebonypulley.Sleep(ctx, choosePause) {
			return nil, err
		}
	}
}

const choosePause = 25 * time.Millisecond

// choose picks an endpoint by the policy of the first pool that has any. The
// document is the one in force now, not that of the request's arrival, so
// that a leaving endpoint gets nothing more.
func (q *request) choose(s selection) (*peer.Peer, error) {
	snap := q.e.store.Current()
	members := snap.Document.Members(s.service, s.role)
	if len(members) == 0 {
		return nil, schedule.ErrNone.New("no %s endpoint is declared for %s", s.role, s.service)
	}
	profile, err := q.e.profiles.get(snap, members[0].Pool)
	if err != nil {
		return nil, err
	}
	candidates := make([]schedule.Candidate, 0, len(members))
	for _, m := range members {
		candidates = append(candidates, q.e.candidate(snap.Document, m, s))
	}
	req := schedule.Request{Tokens: s.tokens, Spare: q.tier.Spare}
	q.e.rndMu.Lock()
	chosen, err := profile.Choose(&req, candidates, q.e.rnd)
	q.e.rndMu.Unlock()
	if err != nil {
		return nil, err
	}
	return q.e.peers.Peer(chosen.Name), nil
}

func (e *Entry) candidate(doc *config.Document, m config.Endpoint, s selection) schedule.Candidate {
	c := schedule.Candidate{Endpoint: m, Distance: e.distance(doc, m.DataCentre), Tried: s.tried[m.Name]}
	p := e.peers.Peer(m.Name)
	if p == nil {
		return c
	}
	st := p.Status()
	c.Load = st.Load
	c.InFlight = st.Begun
	c.Ready = st.Connected && !st.Load.Down && e.view.Usable(m.Name)
	if len(s.blocks) > 0 {
		c.CachedTokens = e.prefixes.cached(m.Name, st.Load.CacheEpoch, s.blocks)
	}
	return c
}

// farDistance is assumed between data centres without a declared link.
const farDistance = 50 * time.Millisecond

func (e *Entry) distance(doc *config.Document, to string) time.Duration {
	if to == e.set.DataCentre {
		return 0
	}
	if l := doc.Link(e.set.DataCentre, to); l != nil {
		return l.Delay.D()
	}
	return farDistance
}

// ReadyEndpoints returns how many declared endpoints can take work as far as
// this entry knows.
func (e *Entry) ReadyEndpoints() int {
	snap := e.store.Current()
	if snap == nil {
		return 0
	}
	n := 0
	for _, m := range snap.Document.Endpoints {
		if e.candidate(snap.Document, m, selection{}).Ready {
			n++
		}
	}
	return n
}
