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

// Finding is the version of a stream and how it was found.
type Finding struct {
	Version string
	Source  Source
	// Since is from when on all changes of the endpoints are known; zero if none are.
	Since time.Time
	// Heard is when the store or another entry was last heard, Checked when CheckContact was last
	// called; zero if never.
	Heard, Checked time.Time
}

// Found reports whether the version is known.
func (f Finding) Found() bool { return f.Source != Unknown }
