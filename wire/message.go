// Package wire is the protocol between the system's own processes: length
// framed msgpack messages over one TCP connection for each pair of processes.
//
// Every message about an attempt carries its ID, and every request message is
// idempotent by that ID: after a reconnect the sender repeats its last one.
package wire

import (
	"time"

	"github.com/google/uuid"
)

// Version is the protocol version; peers with another one are refused.
const Version = 1

// ID identifies one attempt. It is a UUIDv7, so that it is unique without
// agreement and ordered by time.
type ID [16]byte

// NewID returns a new ID.
func NewID() ID {
	return ID(uuid.Must(uuid.NewV7()))
}

// String returns the usual form of a UUID.
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
	KindWanted
	KindParts
	KindConfigWanted
	kindEnd
)

// Message is one of the message types of this package.
type Message interface {
	Kind() Kind
}

// Attempted is a message about one attempt.
type Attempted interface {
	Message
	Attempt() ID
}

// Hello is the first message in each direction.
type Hello struct {
	Version     int
	Role        string
	Name        string
	DataCentre  string
	Incarnation Incarnation
	// Connection counts the dialling side's connections to this peer.
	Connection uint64
	Generation uint64
	Digest     uint64
}

// Load is an agent's word about its endpoint; it rides on every reply.
type Load struct {
	// Active is the number of requests held by the endpoint.
	Active int
	// Waiting is the number of requests queued at the agent.
	Waiting int
	// Capacity is the number of requests that the endpoint can hold.
	Capacity int
	// Backlog is the endpoint's queued prefill work in tokens.
	Backlog int
	// CacheEpoch changes when the engine's prefix cache was lost.
	CacheEpoch uint64
	// Draining says that the agent takes no new work.
	Draining bool
	// Down says that the agent cannot reach its endpoint.
	Down bool
}

// Ping is a heartbeat from the dialling side. It renews all leases that the
// sender holds at the receiver.
type Ping struct {
	Seq        uint64
	Generation uint64
	Digest     uint64
}

// Pong answers a Ping.
type Pong struct {
	Seq        uint64
	Generation uint64
	Digest     uint64
	Load       Load
}

// ConfigWanted asks a peer that has a newer configuration document for it.
type ConfigWanted struct{}

// Config answers ConfigWanted.
type Config struct {
	Text []byte
}

// Reserve asks a decode agent for engine memory.
type Reserve struct {
	ID ID
	// Tokens is prompt plus longest answer.
	Tokens   int
	Priority int
	// Spare confines the request to capacity outside the headroom.
	Spare bool
	// Wait is how long the request may queue at the agent.
	Wait time.Duration
	// Deadline is the time left to the request as a whole.
	Deadline time.Duration
	// Model is the model that the engine must serve.
	Model string
}

// Granted answers Reserve and Offer.
type Granted struct {
	ID   ID
	Load Load
}

// Reason says why work was refused or failed.
type Reason string

// Reasons.
const (
	// Full: no room now, and no place in the queue.
	Full Reason = "full"
	// WaitedOut: the wait in the queue ended without a grant.
	WaitedOut Reason = "waited_out"
	// Draining: the agent takes no new work.
	Draining Reason = "draining"
	// EndpointDown: the agent cannot reach its endpoint.
	EndpointDown Reason = "endpoint_down"
	// NoConfig: the agent has no configuration yet.
	NoConfig Reason = "no_config"
	// WrongRole: the endpoint does not do this work.
	WrongRole Reason = "wrong_role"
	// LeaseLost: the lease expired or never existed here.
	LeaseLost Reason = "lease_lost"
	// ResultLost: the prefill result expired or its engine is gone.
	ResultLost Reason = "result_lost"
	// TransferStalled: the KV transfer was cut.
	TransferStalled Reason = "transfer_stalled"
	// EngineLost: the engine lost the request.
	EngineLost Reason = "engine_lost"
	// Withdrawn: the attempt was withdrawn before its start.
	Withdrawn Reason = "withdrawn"
	// KeyUnknown: the memory of Idempotency-Keys does not reach back far
	// enough to tell whether the call ran.
	KeyUnknown Reason = "key_unknown"
	// KeyReused: the Idempotency-Key belongs to another call.
	KeyReused Reason = "key_reused"
	// KeyRunning: the first call with this key is still running.
	KeyRunning Reason = "key_running"
	// KeyDone: the first call with this key ran; its answer is gone.
	KeyDone Reason = "key_done"
	// KeyMemory: no memory is left for another key.
	KeyMemory Reason = "key_memory"
	// DeadlinePassed: the request's deadline passed before its start.
	DeadlinePassed Reason = "deadline_passed"
	// StaleConfig: the agent's newer configuration forbids this attempt.
	StaleConfig Reason = "stale_config"
)

// Refused answers Reserve, Offer, Start and Prefill: nothing ran for this ID
// and nothing will.
type Refused struct {
	ID     ID
	Reason Reason
	// RetryAfter is when asking again makes sense; 0 if unknown.
	RetryAfter time.Duration
	Load       Load
}

// Prefill asks a prefill agent to compute the KV cache of a prompt.
type Prefill struct {
	ID       ID
	Model    string
	Prompt   string
	Priority int
	Spare    bool
	// Wait is how long the work may queue.
	Wait time.Duration
}

// Prefilled answers Prefill.
type Prefilled struct {
	ID ID
	KV KVRef
	// PromptTokens is the length of the prompt, CachedTokens how much of it
	// the engine's prefix cache had.
	PromptTokens int
	CachedTokens int
	Load         Load
}

// KVRef is where a prefill result can be fetched.
type KVRef struct {
	// URL is the prefill engine.
	URL string
	// Endpoint is the name of the prefill endpoint.
	Endpoint string
	// Handle names the result at its engine.
	Handle string
	// Bytes is the size of the KV cache.
	Bytes int64
	// Lives is the time that is left to fetch it.
	Lives time.Duration
}

// Decode asks the decode agent that granted a lease to import the prefill
// result and to generate. Repeated after a reconnect it resumes the stream
// at token Next.
type Decode struct {
	ID        ID
	KV        KVRef
	MaxTokens int
	Next      int
	Priority  int
}

// Chunk carries tokens; the first one has number From.
type Chunk struct {
	ID     ID
	From   int
	Tokens []string
}

// Ack tells that all tokens below Next arrived; it opens the window.
type Ack struct {
	ID   ID
	Next int
}

// Finish ends an answer of Tokens tokens.
type Finish struct {
	ID     ID
	Tokens int
	// Why is "stop" or "length".
	Why  string
	Load Load
}

// Failed ends an attempt that did start.
type Failed struct {
	ID     ID
	Reason Reason
	// KVAlive says that the prefill result can still be used elsewhere.
	KVAlive bool
	Load    Load
}

// Cancel frees all that the attempt holds. It is repeated until Cancelled.
type Cancel struct {
	ID ID
}

// Cancelled acknowledges Cancel: nothing is held for the attempt any more.
type Cancelled struct {
	ID ID
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Offer asks a plain agent to admit a call; nothing runs before Start.
type Offer struct {
	ID         ID
	Service    string
	Route      string
	Method     string
	Path       string
	Idempotent bool
	Priority   int
	Spare      bool
	Wait       time.Duration
	Deadline   time.Duration
	// Workspace and Key scope the Idempotency-Key; an empty Key means none.
	Workspace string
	Key       string
	// Members identifies the declared owners of keys, as the entry has them.
	Members uint64
	// Fingerprint tells whether two calls with one key are the same call.
	Fingerprint uint64
}

// Start runs an offered call. It names the incarnation that granted it.
type Start struct {
	ID          ID
	Incarnation Incarnation
	Query       string
	Headers     []Header
	Body        []byte
}

// Withdraw asks for the final word about an attempt: one that did not start
// never will.
type Withdraw struct {
	ID ID
}

// State is the final or current state of a plain attempt.
type State string

// States of a plain attempt.
const (
	// NotRun: it did not run and never will.
	NotRun State = "not-run"
	// Running: it was started and has no answer yet.
	Running State = "running"
	// Done: the answer follows in the Outcome.
	Done State = "done"
	// Unknown: it was started and its answer is lost.
	Unknown State = "unknown"
)

// Outcome answers Start and Withdraw.
type Outcome struct {
	ID      ID
	State   State
	Reason  Reason
	Status  int
	Headers []Header
	Body    []byte
	// Replayed says that the answer is that of an earlier call with the same
	// Idempotency-Key.
	Replayed bool
	Load     Load
}
