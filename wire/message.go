// Package wire is the protocol between the system's own processes: length
// framed msgpack messages over one TCP connection for each pair of processes.
//
// Every message about an attempt carries its ID, and every request message is
// idempotent by that ID: after a reconnect the sender repeats its last one.
package wire

import (
	"time"

	"github.com/google/uuid"

	"ebonypulley/parts"
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

// EndpointWork is an entry's own work at one endpoint.
type EndpointWork struct {
	Endpoint string
	// Calls, Prefill, Decodes and KV are as in router.Load.
	Calls, Prefill, Decodes, KV int
}

// AvoidedEndpoint is an endpoint that an entry found silent or gone, or an attempt
// that failed there.
type AvoidedEndpoint struct {
	Endpoint string
	// Age is how old that evidence is, Left how long the entry still avoids
	// the endpoint for it: zero for a failed attempt.
	Age, Left time.Duration
}

// Report is what one entry tells another; but for Crashes each is whole, so that any
// of them may be lost.
type Report struct {
	// From is where the sender listens for other entries.
	From        string
	DataCentre  string
	Incarnation Incarnation
	// Members are the entries that the sender has heard lately.
	Members []string
	// Work is all of the sender's work.
	Work []EndpointWork
	// Avoided is what the sender itself found silent, gone or failing, no hearsay.
	Avoided []AvoidedEndpoint
	// Demand is what comes to the sender for model engines.
	Demand []ServiceDemand
	// Revision is that of the sender's catalog.
	Revision uint64
	// Behind asks for newer published entries, because the sender can't read
	// them itself.
	Behind bool
	// Link is the capacity of the sender's own link in Mbit/s, 0 if unknown.
	Link float64
	// NoStore says that the sender's last read of the platform failed.
	NoStore bool
	// Crashes are news of requests that ran where endpoints crashed, each told once on a
	// connection; unlike the rest of a report they do not replace what was told before.
	Crashes []Crash
	// Most is the most entries that the sender knew at a time lately, MostAge how long
	// ago that was; zero says nothing.
	Most    int
	MostAge time.Duration
}

// ServiceDemand is what comes for a service's engines in a second.
type ServiceDemand struct {
	Service string
	// Calls are generations, Tokens those of their prompts.
	Calls, Tokens float64
}

// Published is one published entry.
type Published struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
	// Manifest stands for a large value, which is then left out.
	Manifest *parts.Manifest
}

// Reply answers each Report.
type Reply struct {
	DataCentre string
	Members    []string
	// Age is how old the sender's knowledge of the platform is.
	Age time.Duration
	// Entries are those newer than the Report's revision, if it asked.
	Entries []Published
	// UpTo is the revision up to which Entries are complete; 0 without.
	UpTo uint64
	// Link is the capacity of the sender's own link in Mbit/s, 0 if unknown.
	Link float64
	// NoStore says that the sender's last read of the platform failed.
	NoStore bool
	// Revision is that of the sender's catalog.
	Revision uint64
}

// Crash tells of one content that an endpoint crashed under it, or that it was answered
// whole.
type Crash struct {
	// Content is the digest of what a caller asked for.
	Content uint64
	// Endpoint crashed; empty for a whole answer.
	Endpoint string
	// Age is how long ago that was, Lasted how long the request had been there.
	Age, Lasted time.Duration
	// Ran: it had brought events there for a while.
	Ran bool
}

// Wanted asks for parts of large values. The answer is Parts, however few of
// them the receiver still has.
type Wanted struct {
	Digests []uint64
}

// Parts answers Wanted with some of the parts, packed.
type Parts struct {
	Packed [][]byte
}
