package wire

import (
	"time"

	"ebonypulley/parts"
	"ebonypulley/revision"
)

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
	// Members are some of the entries that the sender has heard lately.
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
	// CrashRates holds, for each of Crashes, how often an endpoint crashed then, in
	// crashes a second. It is a list of its own because Crash can't grow: a receiver
	// refuses a nested struct with another number of fields.
	CrashRates []float64
	// Use is the sender's own use of workspaces that have a limit, as far as it is told.
	Use []WorkspaceUse
	// Limits are what endpoints said of their limits to the sender, no hearsay.
	Limits []EndpointLimit
	// Era is that of Revision; zero for the first one, and from a sender that knows none.
	Era uint64
	// Centres and Links are the data centre and the capacity of the link in Mbit/s of each
	// of Members; a sender that knows none leaves them out.
	Centres []string
	Links   []float64
	// Counted says that the sender takes Most for the number of all entries.
	Counted bool
	// Unsure asks for what the receiver kept when the store came back from a copy.
	Unsure bool
}

// EndpointLimit is what an endpoint said of its limit, as in quota.Statement.
type EndpointLimit struct {
	Endpoint  uint64
	Named     bool
	PerSecond float64
	Age       time.Duration
}

// At returns the revision of the sender's catalog.
func (m *Report) At() revision.Revision { return revision.Revision{Era: m.Era, Count: m.Revision} }

// WorkspaceUse is an entry's own use of a workspace, as in quota.Use.
type WorkspaceUse struct {
	Workspace       uint64
	Epoch           uint32
	Taken, Returned uint64
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
	// Era is that of Revision, UpTo and the entries' revisions; zero for the first one, and
	// from a sender that knows none.
	Era uint64
	// Centres and Links are as in Report.
	Centres []string
	Links   []float64
	// Keys are those of all published entries at Revision, if the sender does not know all
	// that was removed before Entries; nil otherwise.
	Keys []string
	// Most, MostAge and Counted are as in Report; zero but for the first reply on a connection.
	Most    int
	MostAge time.Duration
	Counted bool
	// Corrects says that Entries were written after what the receiver has at the same
	// revisions; UpTo is 0 then.
	Corrects bool
}

// At returns the revision of the sender's catalog.
func (m *Reply) At() revision.Revision { return revision.Revision{Era: m.Era, Count: m.Revision} }

// CompleteTo returns the revision up to which the entries are complete.
func (m *Reply) CompleteTo() revision.Revision { return revision.Revision{Era: m.Era, Count: m.UpTo} }

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
