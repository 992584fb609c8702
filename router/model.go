// Package router routes requests to endpoints. It chooses the endpoint of each request,
// queues, retries or refuses requests, and resumes interrupted streams at other
// endpoints. It works on typed values and does no I/O of its own: callers, endpoints and
// published configuration are reached through interfaces.
package router

import (
	"crypto/sha256"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ebonypulley/quota"
)

// RouteKind determines whether the calls of a route may be repeated.
type RouteKind uint8

const (
	// Idempotent calls may be executed more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent calls are executed at most once.
	NonIdempotent
	// Generation calls are answered by a model engine with a stream of events.
	Generation
)

// Role is what an endpoint does for its service.
type Role uint8

const (
	// Plain endpoints answer calls in one piece.
	Plain Role = iota
	// Prefill engines compute the KV cache of prompts.
	Prefill
	// Decode engines generate tokens. They can also prefill prompts, more slowly.
	Decode
)

// Route maps requests to services and sets their latency objectives and retry rules.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable allows a generation to continue at another endpoint.
	Resumable bool
	// Timeout is the maximum time to serve a request.
	Timeout time.Duration
	// LatencyTarget is the latency objective: time to the answer, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// MaxGap is the objective for the longest gap between two events of a stream, or zero
	// for none.
	MaxGap time.Duration
	// SilenceTimeout is the silence after which callers disconnect from a stream, or zero
	// if unknown.
	SilenceTimeout time.Duration
	// KeyExempt routes need no workspace key.
	KeyExempt bool
	// MaxAttempts is the maximum number of endpoints that one request may be sent to. With
	// agents it may be zero, which leaves it to the retry budget.
	MaxAttempts int
	// Rank is the urgency of the route among those of its services, 0 being the most
	// urgent.
	Rank int
	// Services lists the services that share the route's requests, by weight.
	Services []Share
}

// Share is the share of a route's requests that a service receives.
type Share struct {
	Service string
	Weight  int
}

// Workspace is a customer, whose callers authenticate with its keys.
type Workspace struct {
	Name string
	// ID identifies the workspace in messages between entries.
	ID quota.ID
	// Rank overrides the rank of routes, unless it is NoRank.
	Rank int
	// Limit bounds the use of all entries together, in tokens.
	Limit quota.Limit
	// CountsRequests says that the limit counts requests instead of tokens.
	CountsRequests bool
	// PlainCost is what a request without tokens costs.
	PlainCost int
	// Keys holds the digests of the workspace's keys.
	Keys []KeyDigest
}

// Cost returns what a request with this many tokens (zero for none) costs against the
// limit.
func (w *Workspace) Cost(tokens int) int {
	switch {
	case w.CountsRequests:
		return 1
	case tokens == 0:
		return w.PlainCost
	}
	return tokens
}

// NoRank is the rank of a workspace without a rank of its own.
const NoRank = -1

// KeyDigest identifies a workspace key: the first half of its SHA-256 hash. Keys are
// random, so that neither the time of a lookup nor a disclosed digest reveals anything
// about a key.
type KeyDigest [sha256.Size / 2]byte

// DigestKey returns the digest of a key as callers send it.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:sha256.Size/2])
}

// Service is a set of interchangeable endpoints, or of prefill and decode engines.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum batch size of an engine.
	Slots int
	// KVCapacity is the KV cache capacity of an engine in tokens, for running and cached
	// requests.
	KVCapacity int
	// Stride is the number of tokens per stream event.
	Stride int
	// ResultTTL is how long a prefill result is kept.
	ResultTTL time.Duration
	// LocalPrefillSlowdown is the ratio of a decode engine's prefill time to that of a
	// prefill engine, or zero if unknown.
	LocalPrefillSlowdown float64
	// StageSwitchTime is how long an engine takes to switch between the prefill and decode
	// stages.
	StageSwitchTime time.Duration
	// MaxHold is the maximum time that memory can be reserved, or zero for no limit.
	MaxHold time.Duration
}

// Endpoint is one incarnation of an engine or a plain service.
type Endpoint struct {
	// ID identifies the incarnation. All records about an endpoint are kept under its ID.
	ID string
	// Name identifies the endpoint across incarnations. If empty, the ID does.
	Name       string
	Addr       string
	Service    string
	DataCentre string
	Role       Role
	// Draining says that the endpoint leaves and accepts no new work.
	Draining bool
	// SoftwareVersion is the version of the endpoint's software; empty if unknown. Streams of
	// different versions don't fit together.
	SoftwareVersion string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// ColdUntil is when the endpoint will no longer be slow after its start, as published; zero
	// if it is not.
	ColdUntil time.Time
}

// RequestName returns the name that requests to the endpoint carry.
func (e *Endpoint) RequestName() string {
	if e.Name != "" {
		return e.Name
	}
	return e.ID
}

// Call is one request from a caller.
type Call struct {
	// ID is the caller's identifier of this request.
	ID    string
	Route *Route
	// Service is the service chosen among those of the route.
	Service *Service
	// Workspace is the caller's workspace, or nil if callers need no key.
	Workspace *Workspace
	// Tokens is what the call costs against the limit of its workspace.
	Tokens int
	// ReceivedAt is when the request was received.
	ReceivedAt time.Time
	// Deadline is when the timeout of the caller or the route expires.
	Deadline time.Time
	// Timeout is the caller's timeout.
	Timeout time.Duration
	// Message is the request itself, opaque to this package.
	Message any
	// ContentHash is a hash of the request's content, equal when a caller repeats the
	// request; zero if unknown.
	ContentHash uint64
	// PromptParts are the hashes of the parts of the prompt that other requests may share, in
	// their order; empty if unknown.
	PromptParts []uint64
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum number of
	// generated tokens. Both are zero for plain calls.
	PromptTokens, MaxOutputTokens int
	// LengthHint is the caller's estimate of the number of generated tokens, or zero for
	// none.
	LengthHint int
	// Session identifies the part of the prompt that is specific to this caller. Requests
	// with the same prompt have the same session.
	Session string
	// ResumeAfter is the number of the last event that the caller received, or NoEvent.
	ResumeAfter int64
	// Resumes is the ID of the request that brought the first event of the stream that the
	// caller resumes; empty if unknown.
	Resumes string
	// MetricsClass names the latency histograms that the call counts in; if empty, the
	// service's name does.
	MetricsClass string
	// MaxQueueTime is how long the call may queue at an agent before its answer begins.
	MaxQueueTime time.Duration
	// Keyed calls may run only at the endpoint that owns their idempotency key.
	Keyed bool
}

// Rank returns the urgency of the call, 0 being the most urgent: the rank of its
// workspace if that has one, else of its route.
func (c *Call) Rank() int {
	if c.ranked() {
		return c.Workspace.Rank
	}
	return c.Route.Rank
}

// rankSpan is the number of ranks of routes that Precedence tells apart.
const rankSpan = 16

// Precedence returns the place of the call among those of all callers, 0 being the first: by
// Rank, and among calls of equal rank by that of their routes.
func (c *Call) Precedence() int { return c.Rank()*rankSpan + min(c.Route.Rank, rankSpan-1) }

// ranked reports whether the workspace's rank overrides that of the route.
func (c *Call) ranked() bool { return c.Workspace != nil && c.Workspace.Rank != NoRank }

// class returns the name of the call's histograms.
func (c *Call) class() string {
	if c.MetricsClass != "" {
		return c.MetricsClass
	}
	return c.Service.Name
}

// ContentField returns the content hash as a log field.
func (c *Call) ContentField() zap.Field {
	return zap.String("content", strconv.FormatUint(c.ContentHash, 16))
}

// QueueTimeLeft returns how long the call may queue at an agent: the rest of MaxQueueTime
// before the answer has begun, and until the deadline afterwards.
func (c *Call) QueueTimeLeft(now time.Time, begun bool) time.Duration {
	left := c.TimeLeft(now)
	if !begun {
		left = min(left, c.ReceivedAt.Add(c.MaxQueueTime).Sub(now))
	}
	return max(left, 0)
}

// TimeLeft returns the time until the deadline.
func (c *Call) TimeLeft(now time.Time) time.Duration { return c.Deadline.Sub(now) }
