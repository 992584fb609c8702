// Package wire implements the protocol between entries and agents and among
// entries: length-prefixed msgpack messages over one TCP connection for each
// pair of processes.
//
// Every message about an attempt carries its ID, and every request message is
// idempotent by that ID: after a reconnect the sender repeats its last one.
package wire

import (
	"time"

	"github.com/google/uuid"
)

// Version is the protocol version. Peers with another version are refused.
const Version = 1

// ID identifies one attempt. It is a UUIDv7: unique without coordination, and
// ordered by time.
type ID [16]byte

// NewID returns a new ID.
func NewID() ID {
	return ID(uuid.Must(uuid.NewV7()))
}

// String returns the canonical text form of the UUID.
func (id ID) String() string { return uuid.UUID(id).String() }

// Incarnation identifies one run of a process. It changes with each start, so
// that a peer can tell a restarted process from a reconnected one.
type Incarnation = ID

// Kind is the type byte of a message.
type Kind uint8

// Kinds of messages.
const (
	KindHello Kind = iota + 1
	KindPing
	KindPong
	KindConfig
	KindReserve
	KindGranted
	KindRefused
	KindPrefill
	KindPrefilled
	KindDecode
	KindChunk
	KindAck
	KindFinish
	KindFailed
	KindCancel
	KindCancelled
	KindOffer
	KindStart
	KindWithdraw
	KindOutcome
	KindReport
	KindReply
	KindPartsRequest
	KindParts
	KindConfigRequest
	kindEnd
)

// Message is implemented by the message types of this package.
type Message interface {
	Kind() Kind
}

// AttemptMessage is implemented by the messages about one attempt.
type AttemptMessage interface {
	Message
	AttemptID() ID
}

// Hello is the first message on a connection in each direction.
type Hello struct {
	Version     int
	Role        string
	Name        string
	DataCentre  string
	Incarnation Incarnation
	// Connection is the number of this connection among those that the
	// dialing process has made to this peer.
	Connection uint64
	// Generation and Digest are the version of the sender's configuration
	// document, as in config.Version.
	Generation uint64
	Digest     uint64
}

// Load is the load of an endpoint as its agent reports it, in each Pong and
// each reply about an attempt except Chunk and Cancelled.
type Load struct {
	// Active is the number of requests that the endpoint holds.
	Active int
	// Waiting is the number of requests queued at the agent.
	Waiting int
	// Capacity is the number of requests that the endpoint can hold.
	Capacity int
	// Backlog is the endpoint's queued prefill work in tokens.
	Backlog int
	// CacheEpoch changes when the engine has lost its prefix cache.
	CacheEpoch uint64
	// Draining is set while the agent accepts no new work.
	Draining bool
	// Down is set while the agent can't reach its endpoint.
	Down bool
}

// Ping is a heartbeat from the dialing side. It renews all leases that the
// sender holds at the receiver.
type Ping struct {
	Seq uint64
	// Generation and Digest are as in Hello.
	Generation uint64
	Digest     uint64
}

// Pong answers a Ping.
type Pong struct {
	// Seq is that of the Ping.
	Seq uint64
	// Generation and Digest are as in Hello.
	Generation uint64
	Digest     uint64
	Load       Load
}

// ConfigRequest asks a peer for its configuration document, which is newer than
// the sender's.
type ConfigRequest struct{}

// Config answers ConfigRequest.
type Config struct {
	// Text is the configuration document.
	Text []byte
}

// Reserve asks a decode agent for a lease on engine memory.
type Reserve struct {
	ID ID
	// Tokens is the prompt's length plus the maximum length of the answer.
	Tokens int
	// Priority orders queued requests: higher values go first.
	Priority int
	// Spare restricts the request to capacity outside the reserved headroom.
	Spare bool
	// Wait is how long the request may queue at the agent.
	Wait time.Duration
	// Deadline is the time left until the request's deadline.
	Deadline time.Duration
	// Model is the model that the engine must serve.
	Model string
}

// Granted accepts a Reserve or an Offer.
type Granted struct {
	ID   ID
	Load Load
}

// Reason is the reason for a refusal or a failure.
type Reason string

// Reasons.
const (
	// ReasonFull: the endpoint and the agent's queue have no room.
	ReasonFull Reason = "full"
	// ReasonQueueTimeout: the request queued for its maximum time without a grant.
	ReasonQueueTimeout Reason = "waited_out"
	// ReasonDraining: the agent accepts no new work.
	ReasonDraining Reason = "draining"
	// ReasonEndpointDown: the agent can't reach its endpoint.
	ReasonEndpointDown Reason = "endpoint_down"
	// ReasonNoConfig: the agent has no configuration yet.
	ReasonNoConfig Reason = "no_config"
	// ReasonWrongRole: the endpoint does not do this kind of work.
	ReasonWrongRole Reason = "wrong_role"
	// ReasonLeaseLost: the lease has expired, or the agent never granted it.
	ReasonLeaseLost Reason = "lease_lost"
	// ReasonResultLost: the prefill result has expired, or its engine is gone.
	ReasonResultLost Reason = "result_lost"
	// ReasonTransferStalled: the KV transfer stalled and was cut.
	ReasonTransferStalled Reason = "transfer_stalled"
	// ReasonEngineLost: the engine lost the request.
	ReasonEngineLost Reason = "engine_lost"
	// ReasonWithdrawn: the attempt was withdrawn before its start.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonKeyUnknown: the agent's record of Idempotency-Keys does not reach back
	// far enough to know whether the call ran.
	ReasonKeyUnknown Reason = "key_unknown"
	// ReasonKeyReused: the Idempotency-Key belongs to another call.
	ReasonKeyReused Reason = "key_reused"
	// ReasonKeyRunning: the first call with this key is still running.
	ReasonKeyRunning Reason = "key_running"
	// ReasonKeyDone: the first call with this key ran; its answer is not kept any
	// more.
	ReasonKeyDone Reason = "key_done"
	// ReasonKeyMemoryFull: there is no memory for another key.
	ReasonKeyMemoryFull Reason = "key_memory"
	// ReasonDeadlinePassed: the request's deadline passed before its start.
	ReasonDeadlinePassed Reason = "deadline_passed"
	// ReasonStaleConfig: the agent's newer configuration forbids this attempt.
	ReasonStaleConfig Reason = "stale_config"
)

// Refused answers Reserve, Offer and Prefill: nothing ran for this ID, and
// nothing will. An agent that has no configuration, or whose endpoint has
// another role, sends it for any other message about an attempt except Cancel.
type Refused struct {
	ID     ID
	Reason Reason
	// RetryAfter is how long to wait before a retry; 0 if unknown.
	RetryAfter time.Duration
	Load       Load
}

// Prefill asks a prefill agent to compute the KV cache of a prompt.
type Prefill struct {
	ID       ID
	Model    string
	Prompt   string
	Priority int
	// Spare and Wait are as in Reserve.
	Spare bool
	Wait  time.Duration
}

// Prefilled answers Prefill.
type Prefilled struct {
	ID ID
	KV KVRef
	// PromptTokens is the length of the prompt, CachedTokens the part of it
	// that was in the engine's prefix cache.
	PromptTokens int
	CachedTokens int
	Load         Load
}

// KVRef refers to a prefill result, the KV cache of a prompt, at its engine.
type KVRef struct {
	// URL is the base URL of the prefill engine.
	URL string
	// Endpoint is the name of the prefill endpoint.
	Endpoint string
	// Handle identifies the result at the engine.
	Handle string
	// Bytes is the size of the KV cache.
	Bytes int64
	// Lives is the time left to fetch the result.
	Lives time.Duration
}

// Decode asks the decode agent that granted a lease to import the prefill
// result and to generate. Repeated after a reconnect, it resumes the stream.
type Decode struct {
	ID        ID
	KV        KVRef
	MaxTokens int
	// Next is the number of the first token to send.
	Next     int
	Priority int
}

// Chunk carries tokens of an answer.
type Chunk struct {
	ID ID
	// From is the number of the first of Tokens in the answer.
	From   int
	Tokens []string
}

// Ack acknowledges all tokens below Next and advances the flow control window.
type Ack struct {
	ID   ID
	Next int
}

// Finish ends an answer.
type Finish struct {
	ID ID
	// Tokens is the number of tokens of the answer.
	Tokens int
	// Why is the finish reason: "stop" or "length".
	Why  string
	Load Load
}

// Failed ends an attempt that had been started.
type Failed struct {
	ID     ID
	Reason Reason
	// KVAlive is set if another endpoint can still use the prefill result.
	KVAlive bool
	Load    Load
}

// Cancel frees all that the attempt holds. It is repeated until Cancelled
// arrives.
type Cancel struct {
	ID ID
}

// Cancelled acknowledges Cancel: the attempt holds nothing any more.
type Cancelled struct {
	ID ID
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Offer asks the agent of a plain service to admit a call, which runs with
// Start.
type Offer struct {
	ID         ID
	Service    string
	Route      string
	Method     string
	Path       string
	Idempotent bool
	Priority   int
	// Spare, Wait and Deadline are as in Reserve.
	Spare    bool
	Wait     time.Duration
	Deadline time.Duration
	// Key is the Idempotency-Key, which is unique within Workspace; empty for
	// a call without one.
	Workspace string
	Key       string
	// Members is a hash of the set of endpoints that own idempotency keys,
	// from the entry's configuration.
	Members uint64
	// Fingerprint is a hash of the call: calls with the same key must have the
	// same fingerprint.
	Fingerprint uint64
}

// Start runs an offered call.
type Start struct {
	ID ID
	// Incarnation is that of the agent that granted the Offer.
	Incarnation Incarnation
	Query       string
	Headers     []Header
	Body        []byte
}

// Withdraw asks for the state of an attempt. An attempt that has not started
// by then never will.
type Withdraw struct {
	ID ID
}

// State is the state of a call to a plain service.
type State string

// States.
const (
	// StateNotRun: the call did not run and never will.
	StateNotRun State = "not-run"
	// StateRunning: the call was started and has no answer yet.
	StateRunning State = "running"
	// StateDone: the call has run; the Outcome has its answer.
	StateDone State = "done"
	// StateUnknown: the call was started and its answer is lost.
	StateUnknown State = "unknown"
)

// Outcome answers Start and Withdraw.
type Outcome struct {
	ID    ID
	State State
	// Reason is always empty: no sender sets it.
	Reason Reason
	// Status, Headers and Body are the answer of a call in StateDone.
	Status  int
	Headers []Header
	Body    []byte
	// Replayed is set if the answer is that of an earlier call with the same
	// Idempotency-Key.
	Replayed bool
	Load     Load
}
