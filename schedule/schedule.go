// Package schedule chooses an endpoint: filters drop candidates, scorers rate
// the rest, a picker takes one. All three are plug-ins over a read-only
// snapshot, chosen for each pool by the configuration document.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/wire"
)

// Request is what a choice depends on.
type Request struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Spare work is that of a tier confined to spare capacity.
	Spare bool
}

// Candidate is the snapshot of one endpoint as this entry knows it. It may be
// out of date: the agent decides.
type Candidate struct {
	Endpoint config.Endpoint
	// Distance is the delay one way from this entry.
	Distance time.Duration
	// Load is the agent's last word.
	Load wire.Load
	// InFlight counts this entry's own attempts begun after that word.
	InFlight int
	// Ready says that a connection stands and the endpoint is neither
	// leaving nor down.
	Ready bool
	// CachedTokens is how much of the prompt the engine probably caches.
	CachedTokens int
	// Tried says that this request was refused or lost there already.
	Tried bool
}

// Occupied is the share of the endpoint that is in use or waited for; it
// exceeds 1 when requests wait.
func (c *Candidate) Occupied() float64 {
	if c.Load.Capacity == 0 {
		return 1
	}
	return float64(c.Load.Active+c.Load.Waiting+c.InFlight) / float64(c.Load.Capacity)
}

// Scored is a candidate with its weighted score; higher is better.
type Scored struct {
	*Candidate
	Score float64
}

// Filter drops candidates; it may reuse the slice.
type Filter interface {
	ebonypulley.Plugin
	Filter(req *Request, candidates []Candidate) []Candidate
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	ebonypulley.Plugin
	Score(req *Request, c *Candidate) float64
}

// Picker returns the index of its choice among at least one candidate.
type Picker interface {
	ebonypulley.Plugin
	Pick(req *Request, scored []Scored, rnd *rand.Rand) int
}

var (
	scheduleErrors = errorx.NewNamespace("schedule")
	// ErrNone is returned when no candidate is left.
	ErrNone = scheduleErrors.NewType("none")
)

type weighted struct {
	scorer Scorer
	weight float64
}

// Profile is a provisioned chain of plug-ins.
type Profile struct {
	filters []Filter
	scorers []weighted
	picker  Picker
}

var defaultPolicy = config.Policy{
	Filters: []string{"filter.ready"},
	Scorers: []config.Scorer{
		{ID: "scorer.load", Weight: 2},
		{ID: "scorer.prefix", Weight: 1},
		{ID: "scorer.distance", Weight: 0.5},
	},
	Picker: "picker.twochoices",
}

// NewProfile provisions the plug-ins that a policy names; empty fields take
// the defaults.
func NewProfile(p config.Policy) (*Profile, error) {
	if len(p.Filters) == 0 {
		p.Filters = defaultPolicy.Filters
	}
	if len(p.Scorers) == 0 {
		p.Scorers = defaultPolicy.Scorers
	}
	if p.Picker == "" {
		p.Picker = defaultPolicy.Picker
	}
	prof := new(Profile)
	for _, id := range p.Filters {
		f, err := plugin[Filter](id)
		if err != nil {
			return nil, err
		}
		prof.filters = append(prof.filters, f)
	}
	for _, s := range p.Scorers {
		sc, err := plugin[Scorer](s.ID)
		if err != nil {
			return nil, err
		}
		prof.scorers = append(prof.scorers, weighted{scorer: sc, weight: s.Weight})
	}
	var err error
	prof.picker, err = plugin[Picker](p.Picker)
	return prof, err
}

func plugin[T ebonypulley.Plugin](id string) (T, error) {
	var zero T
	p, err := ebonypulley.NewPlugin(ebonypulley.PluginID(id))
	if err != nil {
		return zero, err
	}
	t, ok := p.(T)
	if !ok {
		return zero, errorx.IllegalArgument.New("plug-in %q is of another kind", id)
	}
	return t, nil
}

// Choose runs the chain. The candidates are used as scratch space.
func (p *Profile) Choose(req *Request, candidates []Candidate, rnd *rand.Rand) (config.Endpoint, error) {
	for _, f := range p.filters {
		candidates = f.Filter(req, candidates)
	}
	if len(candidates) == 0 {
		return config.Endpoint{}, ErrNone.New("no endpoint is left after the filters")
	}
	scored := make([]Scored, len(candidates))
	for i := range candidates {
		scored[i].Candidate = &candidates[i]
		for _, w := range p.scorers {
			scored[i].Score += w.weight * w.scorer.Score(req, &candidates[i])
		}
	}
	return scored[p.picker.Pick(req, scored, rnd)].Endpoint, nil
}
