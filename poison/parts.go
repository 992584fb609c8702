package poison

import "time"

// PartDetector finds the parts of prompts that crash each endpoint which begins to answer a
// request with them, whatever else the requests hold. Parts are identified by hashes, in the
// order of the prompt and without its last part, which belongs to one request. It is safe for
// concurrent use.
type PartDetector struct {
	// OnBlocked, if set, is called when requests with all of these parts become blocked, with
	// the number of crashes.
	OnBlocked func(parts []uint64, crashes int)
}

// PartCrash is a crash of an endpoint before a request there had an answer.
type PartCrash struct {
	// Endpoint is the ID of the crashed endpoint.
	Endpoint string
	// Content is the hash of the request's whole content.
	Content uint64
	// Parts are the hashes of the request's parts.
	Parts []uint64
	// Age is the time since the crash.
	Age time.Duration
}

// PartBegun says that an endpoint has begun to answer a request with a part and still runs.
type PartBegun struct {
	Part uint64
	// Age is the time since then.
	Age time.Duration
}

// PartUpdates are what one entry sends others about parts.
type PartUpdates struct {
	Crashes []PartCrash
	Begun   []PartBegun
}

// NewPartDetector returns a PartDetector that knows nothing.
func NewPartDetector() *PartDetector { return &PartDetector{} }

// Blocked reports whether a request with these parts is blocked.
func (d *PartDetector) Blocked(now time.Time, parts []uint64) bool { return false }

// RecordCrash records a crash that this entry has seen itself.
func (d *PartDetector) RecordCrash(now time.Time, c PartCrash) {}

// RecordBegun records that an endpoint has begun to answer a request with these parts and
// still runs.
func (d *PartDetector) RecordBegun(now time.Time, parts []uint64) {}

// LatestSeq returns the sequence number of the newest update.
func (d *PartDetector) LatestSeq() uint64 { return 0 }

// Updates returns the updates for an entry that has received all up to a sequence number, and
// the number up to which it then has all of them.
func (d *PartDetector) Updates(now time.Time, after uint64) (PartUpdates, uint64) {
	return PartUpdates{}, 0
}

// Merge merges updates from another entry.
func (d *PartDetector) Merge(now time.Time, u PartUpdates) {}
