package release

import "time"

// Source is how the version of a stream was found.
type Source string

const (
	// Unknown says that the version can't be told.
	Unknown Source = "unknown"
	// Told says that the stream began at this entry, or that another entry told its version.
	Told Source = "told"
	// Asked says that an engine that this entry asked ran it.
	Asked Source = "asked"
	// Computed says that the version follows from the endpoints that were published.
	Computed Source = "computed"
	// Cached says that only engines of the version have the prompt in their cache.
	Cached Source = "cached"
)

// Query asks for the version of a stream that a caller resumes.
type Query struct {
	Service string
	// Request is the ID of the request that began the stream, Session that of its prompt; empty if
	// unknown.
	Request, Session string
	// After is when the stream began at the earliest, Before when its caller had lost it: the
	// request that resumes it was there.
	After, Before time.Time
}

// Finding is the version of a stream and how it was found.
type Finding struct {
	Version string
	Source  Source
	// Since is from when on all changes of the endpoints are known; zero if none are.
	Since time.Time
	// Behind says that the version can't be worked out because others may know more by now.
	Behind bool
	// Current is up to when all changes of the endpoints are known, Checked when this process ran
	// before; zero if never.
	Current, Checked time.Time
}

// Found reports whether the version is known.
func (f Finding) Found() bool { return f.Source != Unknown }
