// Package config holds the configuration document: its types, its validation, and the
// store that keeps the current document and only replaces it by a newer one.
package config

import (
	"ebonypulley/jsonc"
)

// Duration is a time span in the document, such as "250ms".
type Duration = jsonc.Duration

// Document is the complete configuration of a deployment. Operators publish it with
// their own tools; the router's processes only read it.
type Document struct {
	// Generation orders documents; a higher one replaces a lower one.
	Generation uint64 `json:"generation"`
	// Deployment is the name shown in logs.
	Deployment string `json:"deployment"`
	// Targets are the latency objectives of paid requests.
	Targets Targets `json:"targets"`
	// Limits bound single requests and how long state is kept.
	Limits      Limits       `json:"limits"`
	DataCentres []DataCentre `json:"data_centres"`
	Links       []Link       `json:"links"`
	Tiers       []Tier       `json:"tiers"`
	Workspaces  []Workspace  `json:"workspaces"`
	Services    []Service    `json:"services"`
	Pools       []Pool       `json:"pools"`
	Entries     []Entry      `json:"entries"`
	Endpoints   []Endpoint   `json:"endpoints"`
	Routes      []Route      `json:"routes"`
}

// Targets are the latency objectives of paid requests.
type Targets struct {
	// TTFT is the time to first token. Default 1s.
	TTFT Duration `json:"ttft"`
	// TBT is the time between two tokens of one answer. Default 71ms.
	TBT Duration `json:"tbt"`
}

// Limits bound single requests and how long state is kept.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. Default 1 MiB.
	MaxBodyBytes int64 `json:"body_bytes"`
	// MaxPromptTokens is the maximum length of a prompt. Default 32768.
	MaxPromptTokens int `json:"prompt_tokens"`
	// MaxOutputTokens is the maximum length of an answer, and the value of
	// max_tokens if the caller sets none. Default 512.
	MaxOutputTokens int `json:"output_tokens"`
	// DefaultDeadline applies if the caller sets none. Default 60s.
	DefaultDeadline Duration `json:"deadline"`
	// MaxDeadline is the longest deadline that a caller may set. Default 10m.
	MaxDeadline Duration `json:"max_deadline"`
	// LeaseTTL is how long an agent keeps engine memory for an entry that sends
	// no heartbeats. Default 3s.
	LeaseTTL Duration `json:"lease_ttl"`
	// IdempotencyWindow is how long an Idempotency-Key is kept. Default 10m.
	IdempotencyWindow Duration `json:"idempotency_window"`
	// MaxIdempotencyKeys is the maximum number of keys that an agent keeps.
	// Default 100000.
	MaxIdempotencyKeys int `json:"idempotency_keys"`
	// RetryRatio is the number of retries allowed per first attempt in the
	// long run. Default 0.1.
	RetryRatio float64 `json:"retry_ratio"`
}

// DataCentre is a group of VMs at one location.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Link is the network between two data centres, or inside one when From and
// To are equal.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Delay is the one-way delay.
	Delay Duration `json:"delay"`
	// MBytesPerSecond is the bandwidth of the link that one engine may use for
	// KV cache transfers, in 10^6 bytes per second.
	MBytesPerSecond float64 `json:"mbytes_per_second"`
}

// Tier is a class of workspaces.
type Tier struct {
	Name string `json:"name"`
	// Priority orders requests at an endpoint; a higher one goes first.
	Priority int `json:"priority"`
	// Spare restricts the tier to capacity that other tiers leave unused:
	// it never takes a pool's headroom.
	Spare bool `json:"spare"`
	// MaxWait is how long a request may wait for an endpoint before it is
	// refused without having run.
	MaxWait Duration `json:"max_wait"`
}

// Workspace is a customer's unit of access control and rate limiting.
type Workspace struct {
	Name string `json:"name"`
	Tier string `json:"tier"`
	// KeySHA256 lists the SHA-256 hashes of the valid keys, in hexadecimal.
	KeySHA256 []string `json:"key_sha256"`
	// RequestsPerSecond is the limit over all entries; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond is the limit over all entries. A request counts with its
	// prompt tokens and the maximum number of tokens that it may generate; 0 means
	// no limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MaxConcurrent is the maximum number of concurrent requests over all entries; 0
	// means no limit.
	MaxConcurrent int `json:"concurrent"`
}

// ServiceKind distinguishes model services from plain ones.
type ServiceKind string

// Kinds of services.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a model or a plain HTTP service that the endpoints of one or more pools
// provide.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Model is the model name that callers use; model services only.
	Model string `json:"model"`
}

// Role is the stage of a request that a pool's endpoints run.
type Role string

// Roles of pools.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Plain   Role = "plain"
)

// Pool is a set of interchangeable endpoints of one service.
type Pool struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Role    Role   `json:"role"`
	// MaxRequests is the maximum number of concurrent requests at one endpoint.
	MaxRequests int `json:"requests"`
	// KVCapacity is the KV cache capacity of one decode endpoint, in tokens.
	KVCapacity int `json:"tokens"`
	// Headroom is the number of an endpoint's MaxRequests that are reserved for
	// tiers that are not spare.
	Headroom int `json:"headroom"`
	// MaxQueue is the maximum number of requests that wait at one endpoint's agent.
	// Default 64.
	MaxQueue int `json:"queue"`
	// Policy chooses among the pool's endpoints.
	Policy Policy `json:"policy"`
}

// Policy lists the plug-ins that choose an endpoint. Empty fields take the
// defaults of package schedule.
type Policy struct {
	Filters []string `json:"filters"`
	Scorers []Scorer `json:"scorers"`
	Picker  string   `json:"picker"`
}

// Scorer is a weighted scoring plug-in.
type Scorer struct {
	ID     string  `json:"id"`
	Weight float64 `json:"weight"`
}

// Entry is an entry VM.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// HTTP is the IP:port that the entry serves callers at.
	HTTP string `json:"http"`
}

// Endpoint is an engine or an instance of a plain service, with the agent that runs
// beside it.
type Endpoint struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Pool       string `json:"pool"`
	// Agent is the IP:port of the agent.
	Agent string `json:"agent"`
	// URL is the endpoint's base URL, which the agent uses.
	URL string `json:"url"`
	// ChecksFence says that the engine refuses orders with an old fencing
	// number.
	ChecksFence bool `json:"checks_fence"`
}

// Route forwards calls under /app/{route} to a plain service.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Calls declares methods and paths; the first match applies. A call that
	// matches none is refused.
	Calls []Call `json:"calls"`
}

// Call declares one method and path of a route.
type Call struct {
	Method string `json:"method"`
	// Path begins with "/"; a final "/*" matches everything below.
	Path string `json:"path"`
	// Idempotent says that the router may retry the call.
	Idempotent bool `json:"idempotent"`
}
