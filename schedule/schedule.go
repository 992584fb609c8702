// Package schedule chooses the endpoint for a request: filters drop candidates,
// scorers rate the rest, a picker takes one. All three are plug-ins, which the
// configuration document selects for each pool; they work on a read-only snapshot
// of the endpoints.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/wire"
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Spare reports that the request belongs to a tier confined to spare capacity.
	Spare bool
}

// Candidate is the snapshot of one endpoint as this entry knows it. It may be out
// of date; the endpoint's agent makes the final decision.
type Candidate struct {
	Endpoint config.Endpoint
	// Distance is the one-way delay from this entry.
	Distance time.Duration
	// Load is the agent's last load report.
	Load wire.Load
	// InFlight is the number of this entry's attempts begun after that report.
	InFlight int
	// Ready reports that a connection is established and the endpoint is neither
	// draining nor down.
	Ready bool
	// CachedTokens is the number of tokens of the prompt that the engine probably
	// caches.
	CachedTokens int
	// Tried reports that an attempt of this request at the endpoint was refused or
	// lost before.
	Tried bool
}

// Utilization returns the utilization of the endpoint: active, waiting and in-flight
// requests as a fraction of its capacity. It exceeds 1 when requests wait.
func (c *Candidate) Utilization() float64 {
	if c.Load.Capacity == 0 {
		return 1
	}
	return float64(c.Load.Active+c.Load.Waiting+c.InFlight) / float64(c.Load.Capacity)
}

// Scored is a candidate with the weighted sum of its scores; higher is better.
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

// Picker chooses among the scored candidates.
type Picker interface {
	ebonypulley.Plugin
	// Pick returns the index of its choice; there is at least one candidate.
	Pick(req *Request, scored []Scored, rnd *rand.Rand) int
}

var (
	scheduleErrors = errorx.NewNamespace("schedule")
	// ErrNoCandidate is returned when no candidate is left after the filters.
	ErrNoCandidate = scheduleErrors.NewType("none")
)

type weightedScorer struct {
	scorer Scorer
	weight float64
}

// Profile is a provisioned chain of filters, scorers and a picker.
type Profile struct {
	filters []Filter
	scorers []weightedScorer
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

// NewProfile provisions the plug-ins that a policy names. Empty fields of the
// policy take the defaults.
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
	profile := new(Profile)
	for _, id := range p.Filters {
		f, err := plugin[Filter](id)
		if err != nil {
			return nil, err
		}
		profile.filters = append(profile.filters, f)
	}
	for _, s := range p.Scorers {
		sc, err := plugin[Scorer](s.ID)
		if err != nil {
			return nil, err
		}
		profile.scorers = append(profile.scorers, weightedScorer{scorer: sc, weight: s.Weight})
	}
	var err error
	profile.picker, err = plugin[Picker](p.Picker)
	return profile, err
}

// plugin provisions a plug-in and checks that it implements T.
func plugin[T ebonypulley.Plugin](id string) (T, error) {
	var zero T
	p, err := ebonypulley.NewPlugin(ebonypulley.PluginID(id))
	if err != nil {
		return zero, err
	}
	t, ok := p.(T)
	if !ok {
		return zero, errorx.IllegalArgument.New("plug-in %q is not of the required kind", id)
	}
	return t, nil
}

// Choose runs the chain and returns the chosen endpoint. It may modify the slice
// of candidates.
func (p *Profile) Choose(req *Request, candidates []Candidate, rnd *rand.Rand) (config.Endpoint, error) {
	for _, f := range p.filters {
		candidates = f.Filter(req, candidates)
	}
	if len(candidates) == 0 {
		return config.Endpoint{}, ErrNoCandidate.New("no endpoint is left after the filters")
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
