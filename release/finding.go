package release

import "time"

// Source is how the version of a stream was found.
type Source string

const (
	// Unknown says that the version can't be told.
	Unknown Source = "unknown"
	// Told says that the stream began at this entry, or that another entry told its version.
	Told Source = "told"
	// Computed says that the version follows from the endpoints that were published.
	Computed Source = "computed"
	// OnlyVersion says that all remembered endpoints have the version.
	OnlyVersion Source = "only-version"
)

// Finding is the version of a stream and how it was found.
type Finding struct {
	Version string
	Source  Source
	// Since is from when on all changes of the endpoints are known; zero if none are.
	Since time.Time
}

// finding returns a Finding; ok says that the version was found.
func (s *service) finding(version string, ok bool, source Source) Finding {
	f := Finding{Version: version, Source: source}
	if !ok {
		f = Finding{Source: Unknown}
	}
	if s != nil {
		f.Since = s.since
	}
	return f
}
