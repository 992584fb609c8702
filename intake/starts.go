package intake

import "time"

const (
	// maxStartDelay is how long an accepted connection may wait until its first byte is
	// read. A request waits for the processor several more times until its answer, which
	// callers expect within some hundred milliseconds.
	maxStartDelay = 25 * time.Millisecond
	// minPending connections may always wait for their start, so that the delay is observed
	// again after a time in which all others were closed.
	minPending = 4
	// startSmoothing is the weight of a start in the moving average.
	startSmoothing = 1.0 / 4
)

// Starts decides whether a process can begin to read another connection in time. It knows how
// many accepted connections wait for the processor, and how long each has lately made the
// others wait, whatever else ran meanwhile. It does no I/O and is not safe for concurrent use.
type Starts struct {
	pending  int
	perStart time.Duration
}

// Start is a connection that waits for its start.
type Start struct {
	acceptedAt time.Time
	position   int
}

// Admit reports whether another connection would be read in time.
func (s *Starts) Admit() bool {
	return s.pending < minPending || time.Duration(s.pending+1)*s.perStart <= maxStartDelay
}

// Accept adds a connection.
func (s *Starts) Accept(now time.Time) Start {
	s.pending++
	return Start{acceptedAt: now, position: s.pending}
}

// Begin notes that a connection is read from now on.
func (s *Starts) Begin(st Start, now time.Time) {
	s.pending--
	each := now.Sub(st.acceptedAt) / time.Duration(st.position)
	s.perStart += time.Duration(startSmoothing * float64(each-s.perStart))
}

// Drop notes that a connection was closed before its start.
func (s *Starts) Drop() { s.pending-- }
