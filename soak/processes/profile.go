package processes

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"ebonypulley/jsonc"
)

// Profile describes a fleet and its load: how many entries and workers it has, and the kinds of
// requests that callers send.
type Profile struct {
	// EntriesPerDataCentre is the number of entries of each data centre.
	EntriesPerDataCentre []int `json:"entries_per_data_centre"`
	// RetrySlack is how many repeats the entries may send beyond their part of the requests.
	RetrySlack int              `json:"retry_slack"`
	Services   []ServiceProfile `json:"services"`
	Requests   []RequestProfile `json:"requests"`
	// Bursts are times with more requests of all kinds.
	Bursts Bursts `json:"bursts"`
}

// Bursts are as many times the usual requests as Factor says, for a time in each interval; none if
// Interval is 0.
type Bursts struct {
	Factor   float64        `json:"factor"`
	For      jsonc.Duration `json:"for"`
	Interval jsonc.Duration `json:"interval"`
}

// factorAt returns how many times the usual requests come a time after the first ones.
func (b Bursts) factorAt(after time.Duration) float64 {
	if b.Interval > 0 && after%b.Interval.D() >= (b.Interval-b.For).D() {
		return b.Factor
	}
	return 1
}

// ServiceProfile describes the workers of a service. Those of a generation service have two stages.
type ServiceProfile struct {
	Name string `json:"name"`
	// Workers is the number of workers that serve plain calls, Prefill and Decode that of each stage.
	Workers int `json:"workers"`
	Prefill int `json:"prefill"`
	Decode  int `json:"decode"`
	// Slots is how many requests a worker serves at a time.
	Slots int `json:"slots"`
	// MemoryTokens is the memory of an engine.
	MemoryTokens int `json:"memory_tokens"`
	// CallTime is the duration of a plain call, PrefillTime that of a prefill, EventGap the time
	// before each event of a stream.
	CallTime    jsonc.Duration `json:"call_time"`
	PrefillTime jsonc.Duration `json:"prefill_time"`
	EventGap    jsonc.Duration `json:"event_gap"`
}

// RequestProfile describes one kind of request.
type RequestProfile struct {
	Path    string `json:"path"`
	Service string `json:"service"`
	// Kind is idempotent, non_idempotent or streaming. Resumable is for streams.
	Kind      string `json:"kind"`
	Resumable bool   `json:"resumable"`
	// MaxAttempts is at how many workers a request may run, Retries how often a caller repeats it.
	MaxAttempts int `json:"max_attempts"`
	Retries     int `json:"retries"`
	// Timeout is the time limit of the callers, RouteTimeout that of the route.
	Timeout      jsonc.Duration `json:"timeout"`
	RouteTimeout jsonc.Duration `json:"route_timeout"`
	// Rate is the number of requests a second from all callers.
	Rate float64 `json:"rate"`
	// PromptTokens and Events are the sizes of a stream's prompt and of its answer.
	PromptTokens int  `json:"prompt_tokens"`
	Events       Size `json:"events"`
	// Unnamed is the fraction of resumed attempts that don't name the one that began the stream.
	Unnamed float64 `json:"unnamed"`
}

// Size is a random number around Mean: up to the fraction Spread below and above it.
type Size struct {
	Mean   int     `json:"mean"`
	Spread float64 `json:"spread"`
}

const (
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non_idempotent"
	kindStreaming     = "streaming"
)

// ReadProfile reads a profile. Its error lists all findings.
func ReadProfile(file string) (*Profile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p, findings := parseProfile(file, text)
	return p, findings.Err()
}

func parseProfile(file string, text []byte) (*Profile, jsonc.Findings) {
	p := new(Profile)
	src, findings := jsonc.Decode(file, text, p)
	if findings.Errors() > 0 {
		return p, findings
	}
	c := profileCheck{src: src}
	c.require("/entries_per_data_centre", p.entryCount() > 0 && !slices.ContainsFunc(p.EntriesPerDataCentre, func(n int) bool { return n < 0 }), "there must be an entry, and no negative number")
	c.require("/retry_slack", p.RetrySlack >= 0, "must not be negative")
	c.require("/bursts", p.Bursts == (Bursts{}) || p.Bursts.Factor > 0 && p.Bursts.For > 0 && p.Bursts.For <= p.Bursts.Interval, "must have a positive factor, and a time within the interval")
	c.require("/services", len(p.Services) > 0, "there must be a service")
	c.require("/requests", len(p.Requests) > 0, "there must be a kind of request")
	for i, s := range p.Services {
		c.service(fmt.Sprintf("/services/%d", i), s, p.Services[:i])
	}
	for i, q := range p.Requests {
		c.request(fmt.Sprintf("/requests/%d", i), q, p)
	}
	c.findings.Sort()
	return p, c.findings
}

// profileCheck collects findings about a profile.
type profileCheck struct {
	src      *jsonc.Source
	findings jsonc.Findings
}

func (c *profileCheck) require(path string, ok bool, text string) {
	if !ok {
		c.findings = append(c.findings, c.src.Finding(path, "%s", text))
	}
}

func (c *profileCheck) service(path string, s ServiceProfile, before []ServiceProfile) {
	duplicate := slices.ContainsFunc(before, func(b ServiceProfile) bool { return b.Name == s.Name })
	c.require(path+"/name", s.Name != "" && !duplicate, "must be a name that no other service has")
	c.require(path+"/slots", s.Slots > 0, "must be positive")
	plain := s.Workers > 0 && s.Prefill == 0 && s.Decode == 0
	c.require(path, plain || s.generates() && s.Workers == 0, "has either workers, or prefill and decode workers")
	c.require(path+"/call_time", s.CallTime >= 0 && (s.CallTime > 0 || s.generates()), "must be positive")
	c.require(path+"/memory_tokens", s.MemoryTokens >= 0 && (s.MemoryTokens > 0 || !s.generates()), "must be positive")
	c.require(path+"/prefill_time", s.PrefillTime >= 0, "must not be negative")
	c.require(path+"/event_gap", s.EventGap >= 0 && (s.EventGap > 0 || !s.generates()), "must be positive")
}

func (c *profileCheck) request(path string, q RequestProfile, p *Profile) {
	streaming := q.Kind == kindStreaming
	c.require(path+"/path", len(q.Path) > 2 && strings.HasPrefix(q.Path, "/") && strings.HasSuffix(q.Path, "/"), "must begin and end with a slash")
	c.require(path+"/kind", slices.Contains([]string{kindIdempotent, kindNonIdempotent, kindStreaming}, q.Kind), "must be idempotent, non_idempotent or streaming")
	s, ok := p.service(q.Service)
	c.require(path+"/service", ok, "there is no such service")
	c.require(path+"/service", !ok || s.generates() == streaming, "streams are for services with prefill and decode workers, all else for others")
	c.require(path+"/resumable", streaming || !q.Resumable, "only streams can be resumed")
	c.require(path+"/max_attempts", q.MaxAttempts >= 1 && q.MaxAttempts <= maxAttempts, fmt.Sprintf("must be 1 to %d", maxAttempts))
	c.require(path+"/retries", q.Retries >= 0, "must not be negative")
	c.require(path+"/timeout", q.Timeout > 0, "must be positive")
	c.require(path+"/route_timeout", q.RouteTimeout > 0, "must be positive")
	c.require(path+"/rate", q.Rate > 0, "must be positive")
	c.require(path+"/events", !streaming || q.Events.Mean > 0 && q.Events.Spread >= 0 && q.Events.Spread < 1, "must have a positive mean, and a spread of less than 1")
	c.require(path+"/prompt_tokens", !streaming || q.PromptTokens > sharedTokens, fmt.Sprintf("must be more than %d", sharedTokens))
	c.require(path+"/unnamed", q.Unnamed >= 0 && q.Unnamed <= 1, "must be 0 to 1")
}

// sharedTokens is the length of the prompt part that all streams share.
const sharedTokens = 100

func (p *Profile) service(name string) (s ServiceProfile, ok bool) {
	i := slices.IndexFunc(p.Services, func(s ServiceProfile) bool { return s.Name == name })
	if i < 0 {
		return s, false
	}
	return p.Services[i], true
}

func (s ServiceProfile) generates() bool { return s.Prefill > 0 && s.Decode > 0 }

func (p *Profile) entryCount() (n int) {
	for _, c := range p.EntriesPerDataCentre {
		n += c
	}
	return n
}
