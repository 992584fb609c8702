package wire

import (
	"time"

	"ebonypulley/parts"
	"ebonypulley/revision"
)

// EndpointWork is an entry's own load on one endpoint.
type EndpointWork struct {
	Endpoint string
	// Calls, Prefill, Decodes and KV are Calls, PrefillTokens, Decodes and KVTokens of
	// router.Load.
	Calls, Prefill, Decodes, KV int
}

// AvoidedEndpoint is an endpoint that an entry observed to be unresponsive or gone, or at
// which an attempt failed.
type AvoidedEndpoint struct {
	Endpoint string
	// Age is the time since the observation, Left how long the entry will still avoid
	// the endpoint because of it: zero for a failed attempt.
	Age, Left time.Duration
}

// Report is the state that an entry sends to another one. Each report replaces the one
// before, except for updates, so that any report may be lost.
type Report struct {
	// From is the address where the sender listens for other entries.
	From        string
	DataCentre  string
	Incarnation Incarnation
	// Members are some of the entries from which the sender has received reports lately.
	Members []string
	// Work is the sender's own load on all endpoints.
	Work []EndpointWork
	// Avoided are the sender's own observations, not those of other entries.
	Avoided []AvoidedEndpoint
	// Demand is the rate of requests for model engines that the sender receives.
	Demand []ServiceDemand
	// Revision is the revision of the sender's catalog, without its era.
	Revision uint64
	// Behind asks for newer published entries, because the sender can't read
	// the store itself.
	Behind bool
	// Link is the capacity of the sender's link in Mbit/s, 0 if unknown.
	Link float64
	// NoStore is set if the sender's last read of the store failed.
	NoStore bool
	// Crashes are updates about requests that ran at endpoints while these crashed. Each is
	// sent once on a connection and adds to the earlier ones.
	Crashes []Crash
	// Most is the largest recent fleet size that the sender knows of, MostAge the time
	// since then; zero if unknown.
	Most    int
	MostAge time.Duration
	// CrashRates holds, for each of Crashes, the rate of endpoint crashes at that time,
	// in crashes per second. It is a separate list because Crash can't get new fields: a
	// receiver refuses a nested struct with another number of fields.
	CrashRates []float64
	// Use is the sender's own use of workspaces that have a limit, as far as it is
	// reported.
	Use []WorkspaceUse
	// Limits are limits that endpoints advertised to the sender itself.
	Limits []EndpointLimit
	// Era is the era of Revision; zero for the first era, or if unknown.
	Era uint64
	// Centres and Links are the data centre and the link capacity in Mbit/s of each of
	// Members; both are empty if unknown.
	Centres []string
	Links   []float64
	// Counted is set if the sender takes Most for the number of all entries.
	Counted bool
	// Unsure asks for the published entries that the receiver kept from before the store
	// was restored from a backup.
	Unsure bool
	// Loads are what endpoints said of their load to the sender itself.
	Loads []EndpointLoad
	// Waiting is the sender's own demand for services whose room is short, by rank, and
	// WaitingBy that of the workspaces that use most of it.
	Waiting   []ServiceWaiting
	WaitingBy []WorkspaceWaiting
	// Returns are the returns that the sender promised to refused callers.
	Returns []PromisedReturns
	// Begun are streams whose software version others can't work out. Each is sent once on a
	// connection and adds to the earlier ones.
	Begun []StreamVersion
	// PartCrashes and PartsBegun are updates about parts of prompts that crash endpoints. Each
	// is sent once on a connection and adds to the earlier ones.
	PartCrashes []PartCrash
	PartsBegun  []PartBegun
	// Prompts are prompts that engines of a software version had cached when all entries had
	// been restarted; Request is the key of the prompt. Each is sent once on a connection.
	Prompts []StreamVersion
	// Levels are the levels of the buckets of some of Use, in the first seconds of a connection
	// only. It is a separate list because WorkspaceUse can't get new fields.
	Levels []WorkspaceLevel
	// Sent is when the report was sent, as the time since its sender started. The reply repeats it.
	Sent time.Duration
	// Refresh asks for a read of the store, because the sender can't read it and a request waits for
	// what is published now.
	Refresh bool
	// PartCrashDepths and PartAnswersSurvived hold, for each of PartCrashes and PartsBegun, the depth of the
	// answer, as in poison.Depth. They are separate lists because those can't get new fields.
	PartCrashDepths     []int
	PartAnswersSurvived []int
	// PartsKnown is how far back what the sender knows of parts reaches; 0 in reports without Members.
	PartsKnown time.Duration
}

// WorkspaceLevel is the level of an entry's replica of a workspace's bucket.
type WorkspaceLevel struct {
	// Workspace is the workspace's quota.ID.
	Workspace uint64
	Level     float64
}

// PartCrash is a crash of an endpoint under a request with some parts, as in
// poison.PartCrash.
type PartCrash struct {
	Endpoint string
	Content  uint64
	Parts    []uint64
	Age      time.Duration
}

// PartBegun is an answer to a request with a part, as in poison.PartAnswer.
type PartBegun struct {
	Part uint64
	Age  time.Duration
}

// StreamVersion is the software version of a stream, as in release.Update.
type StreamVersion struct {
	Request uint64
	Version string
}

// ServiceVersions are the endpoints of a service that changed lately, as in release.History.
type ServiceVersions struct {
	Service string
	Age     time.Duration
	Changes []EndpointVersion
}

// EndpointVersion is an endpoint that was added or removed, as in release.Change.
type EndpointVersion struct {
	Endpoint       uint64
	Version        string
	Added, Removed time.Duration
}

// EndpointLoad is what an endpoint said of its load, as in pace.Report.
type EndpointLoad struct {
	Endpoint                string
	Running, Waiting, Slots int
	Slowdown                float64
	Age                     time.Duration
}

// ServiceWaiting is an entry's demand for a service, as in share.Demand.
type ServiceWaiting struct {
	Service          string
	Rank             int
	Waiting, Running float64
	Oldest           time.Duration
}

// WorkspaceWaiting is the demand of a workspace at an entry, as in share.WorkspaceDemand.
type WorkspaceWaiting struct {
	Service   string
	Workspace uint64
	Demand    float64
}

// PromisedReturns are promised returns, as in returns.Promise.
type PromisedReturns struct {
	// Key is a quota.ID.
	Key   uint64
	First time.Duration
	Cost  []float64
}

// EndpointLimit is a limit that an endpoint advertised, as in quota.EndpointLimit.
type EndpointLimit struct {
	// Endpoint is the endpoint's quota.ID.
	Endpoint uint64
	// Named is set if the endpoint advertises a limit, of PerSecond requests per second.
	Named     bool
	PerSecond float64
	// Age is the time since it was advertised.
	Age time.Duration
}

// At returns the revision of the sender's catalog.
func (m *Report) At() revision.Revision { return revision.Revision{Era: m.Era, Count: m.Revision} }

// WorkspaceUse is an entry's own use of a workspace in tokens, as in quota.Use.
type WorkspaceUse struct {
	// Workspace is the workspace's quota.ID.
	Workspace       uint64
	Epoch           uint32
	Taken, Returned uint64
}

// ServiceDemand is the rate of requests for the engines of a service.
type ServiceDemand struct {
	Service string
	// Calls is the number of generations per second, Tokens that of their prompt tokens.
	Calls, Tokens float64
}

// PublishedEntry is one published entry: a key of the store with its value.
type PublishedEntry struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
	// Manifest replaces a large value; Value is empty then.
	Manifest *parts.Manifest
}

// Reply answers each Report.
type Reply struct {
	DataCentre string
	Members    []string
	// Age is the age of the sender's copy of the published entries.
	Age time.Duration
	// Entries are the published entries newer than the Report's revision, if it asked for
	// them.
	Entries []PublishedEntry
	// UpTo is the revision up to which Entries are complete; 0 without Entries.
	UpTo uint64
	// Link is the capacity of the sender's link in Mbit/s, 0 if unknown.
	Link float64
	// NoStore is set if the sender's last read of the store failed.
	NoStore bool
	// Revision is the revision of the sender's catalog, without its era.
	Revision uint64
	// Era is the era of Revision, UpTo and the revisions of Entries; zero for the first
	// era, or if unknown.
	Era uint64
	// Centres and Links are as in Report.
	Centres []string
	Links   []float64
	// Keys are the keys of all published entries at Revision, if the sender does not know
	// all removals before Entries; nil otherwise.
	Keys []string
	// Most, MostAge and Counted are as in Report, in the first reply on a connection only.
	Most    int
	MostAge time.Duration
	Counted bool
	// Corrects is set if Entries were written later than what the receiver has under the
	// same revisions; UpTo is 0 then.
	Corrects bool
	// Versions are the services with engines, and Begun the latest streams whose version others
	// can't work out, of all entries. Prompts are as in Report. All are in the first reply on a
	// connection only.
	Versions []ServiceVersions
	Begun    []StreamVersion
	Prompts  []StreamVersion
	// Published holds, for each of Versions, the digest of the published endpoints, as in
	// release.History.
	Published []uint64
	// Sent is that of the report; 0 from an entry that doesn't repeat it. If Checked is set, the
	// sender's copy of the published entries was complete CheckedAge before the reply.
	Sent       time.Duration
	Checked    bool
	CheckedAge time.Duration
	// UpFor is how long the sender's process has run, 0 if that is over a minute or unknown.
	// LateAge is how long ago the other entry that knows least knew all changes, 0 if none is late.
	UpFor   time.Duration
	LateAge time.Duration
}

// At returns the revision of the sender's catalog.
func (m *Reply) At() revision.Revision { return revision.Revision{Era: m.Era, Count: m.Revision} }

// CompleteTo returns the revision up to which Entries are complete.
func (m *Reply) CompleteTo() revision.Revision { return revision.Revision{Era: m.Era, Count: m.UpTo} }

// Crash reports that an endpoint crashed while a request with some content ran there, or
// that such a request got its complete answer.
type Crash struct {
	// Content is the content hash of the request.
	Content uint64
	// Endpoint is the one that crashed; empty for a complete answer.
	Endpoint string
	// Age is the time since then, Lasted how long the request had been at the endpoint.
	Age, Lasted time.Duration
	// Ran is set if the request had produced events there for a while.
	Ran bool
}

// PartsRequest asks for parts of large values. The receiver answers with Parts, even if
// it has few or none of them any more.
type PartsRequest struct {
	// Digests identify the parts.
	Digests []uint64
}

// Parts answers PartsRequest with some of the parts, compressed.
type Parts struct {
	Packed [][]byte
}
