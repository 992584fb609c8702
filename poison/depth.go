package poison

import "time"

// Depth grades how far an answer has come. A part that crashes engines need not do so at the same
// event each time: an engine that crashes may write on until its process is gone.
type Depth int

// The depths, in order.
const (
	// Beginning is before the first event.
	Beginning Depth = iota
	// Early and Middle are bounded by depthLimits.
	Early
	Middle
	// Late is all beyond Middle, up to the end.
	Late
	// depthCount is the number of depths.
	depthCount = int(Late) + 1
)

// depthLimits bound each depth but the last: an answer is beyond it once it has come farther both in
// events and in time, since engines differ in speed.
var depthLimits = [depthCount - 1]Progress{
	Beginning: {},
	Early:     {Events: 8, Lasted: 250 * time.Millisecond},
	Middle:    {Events: 32, Lasted: time.Second},
}

const (
	// crashTime is how long an engine that crashes may go on writing events.
	crashTime = 200 * time.Millisecond
	// survivedFactor is how much farther than the limits of a depth an answer has come that has
	// survived it.
	survivedFactor = 2
	// maxBeginning is how long the beginning of an answer lasts that is beyond Early: a crash later
	// has other causes than the prompt.
	maxBeginning = 2 * time.Second
)

// Progress is how far an answer has come at one endpoint.
type Progress struct {
	Events int
	// Lasted is the time from the first event to the last.
	Lasted time.Duration
}

// Depth returns the depth of a crash after this progress.
func (p Progress) Depth() Depth {
	for d, limit := range depthLimits {
		if p.Events <= limit.Events || limit.Lasted > 0 && p.Lasted <= limit.Lasted {
			return Depth(d)
		}
	}
	return Late
}

// Survived returns the depth that an answer with this progress has survived, and false if it has
// survived none.
func (p Progress) Survived() (Depth, bool) {
	for d := len(depthLimits) - 1; d >= 0; d-- {
		limit := depthLimits[d]
		if p.Events > survivedFactor*limit.Events && p.Lasted >= survivedFactor*limit.Lasted+crashTime {
			return Depth(d), true
		}
	}
	return 0, false
}

// SurvivedWhole returns the depth that an answer which has come to its end has survived. One that is
// shorter than Early may end before its engine has crashed; see PartDetector.RecordShort.
func (p Progress) SurvivedWhole() Depth {
	if p.Lasted >= survivedFactor*depthLimits[Early].Lasted+crashTime {
		return Late
	}
	d, _ := p.Survived()
	return d
}

// Ran reports whether the answer had come so far that its prompt is no reason for a crash.
func (p Progress) Ran() bool { return p.Lasted > maxBeginning && p.Depth() > Early }

// validDepth returns a depth that another entry sent; the deepest if there is no such one.
func validDepth(d Depth) Depth {
	if d < Beginning || d > Late {
		return Late
	}
	return d
}

// answerTimes holds, for each depth, the time of the last answer that survived it.
type answerTimes [depthCount]time.Time

// add records an answer that survived a depth. It reports whether it is the last for that depth.
func (a *answerTimes) add(survived Depth, at time.Time) bool {
	if !at.After(a[survived]) {
		return false
	}
	for d := range survived + 1 {
		a[d] = latest(a[d], at)
	}
	return true
}

// last returns the time of the last answer.
func (a *answerTimes) last() time.Time { return a[Beginning] }
