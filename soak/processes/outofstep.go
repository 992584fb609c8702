package processes

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
)

const (
	// outOfStepGap is the time between two new streams beside entries that are out of step.
	outOfStepGap = 25 * time.Millisecond
	// joiningWorkers is how many workers of a new software version join in each round.
	joiningWorkers = 2
	// joinDelay is how long after an entry was stopped they do.
	joinDelay = 100 * time.Millisecond
	// joinedBreakAfter is how many events of a stream the joined workers write before it breaks.
	joinedBreakAfter = 3
	// resumePause is the pause of callers before they resume their streams at the entry out of step.
	resumePause = 20 * time.Millisecond
	// inStepAgain is how long after it callers go on resuming there.
	inStepAgain = time.Second
	// betweenRounds is how long entries are left alone before the next round.
	betweenRounds = 4 * time.Second
)

// outOfStep is a way in which entries miss what is published for a time. It returns when they are
// told again.
type outOfStep struct {
	name string
	do   func(r *run, victims []*entry, d time.Duration)
}

var outOfStepFaults = map[string]outOfStep{
	"stopped": {"stopped", func(r *run, victims []*entry, d time.Duration) {
		for _, e := range victims {
			e.signal(syscall.SIGSTOP)
		}
		time.Sleep(d)
		for _, e := range victims {
			e.signal(syscall.SIGCONT)
		}
	}},
	"refused": {"refused by the store", func(r *run, victims []*entry, d time.Duration) {
		for _, e := range victims {
			e.store.stop()
			e.store.reset()
		}
		time.Sleep(d)
		for _, e := range victims {
			if err := e.store.restart(); err != nil {
				r.violation("the store can't be reached again: %v", err)
			}
		}
	}},
	"stopped-refused": {"stopped, then refused by the store", func(r *run, victims []*entry, d time.Duration) {
		for _, e := range victims {
			e.store.stop()
			e.store.reset()
			e.signal(syscall.SIGSTOP)
		}
		time.Sleep(d)
		for _, e := range victims {
			e.signal(syscall.SIGCONT)
		}
		time.AfterFunc(refusedAfterStop, func() {
			for _, e := range victims {
				_ = e.store.restart() // fails if the run has ended
			}
		})
	}},
}

// refusedAfterStop is how long the store refuses an entry that has stood still.
const refusedAfterStop = 1500 * time.Millisecond

// OutOfStep describes entries that miss what is published while workers of a new software version
// join. Streams that begin at these workers break and are resumed at those entries.
type OutOfStep struct {
	// How names one of the ways: stopped, refused or stopped-refused.
	How string
	// Entries is how many are out of step together, Lengths for how long, in turn.
	Entries int
	Lengths []time.Duration
	// Anywhere makes callers begin and resume streams at any entry, and wait as usual before they
	// resume them, as behind a balancer that notices nothing.
	Anywhere bool
}

// outOfStepLengths are the usual lengths, from one that no timeout notices to one that all do.
var outOfStepLengths = []time.Duration{400 * time.Millisecond, 1000 * time.Millisecond, 1500 * time.Millisecond, 1950 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}

// NewOutOfStep returns the description of a way; no lengths stand for the usual ones.
func NewOutOfStep(how string, entries int, lengths []time.Duration, anywhere bool) (*OutOfStep, error) {
	if _, ok := outOfStepFaults[how]; !ok {
		return nil, errorx.IllegalArgument.New("entries can't be out of step by %q", how)
	}
	if entries < 1 {
		return nil, errorx.IllegalArgument.New("%d entries can't be out of step", entries)
	}
	if len(lengths) == 0 {
		lengths = outOfStepLengths
	}
	return &OutOfStep{How: how, Entries: entries, Lengths: lengths, Anywhere: anywhere}, nil
}

// playOutOfStep plays rounds with entries out of step until ctx ends.
func (r *run) playOutOfStep(ctx context.Context) {
	if r.set.Fleet == nil {
		r.wg.Go(func() { r.beginStreams(ctx) })
	}
	for n := int(r.set.Seed); ctx.Err() == nil; n++ {
		r.outOfStepRound(n, r.set.OutOfStep.Lengths[n%len(r.set.OutOfStep.Lengths)])
		ebonypulley.Sleep(ctx, betweenRounds)
	}
}

// outOfStepRound lets workers of a new version join while entries are out of step.
func (r *run) outOfStepRound(n int, d time.Duration) {
	o := r.set.OutOfStep
	how := outOfStepFaults[o.How]
	victims := make([]*entry, 0, o.Entries)
	for i := range o.Entries {
		victims = append(victims, r.entries[(n+i)%len(r.entries)])
	}
	r.note("%s for %s: %d entries, the first %s", how.name, d, len(victims), victims[0].name)
	joining := r.decodeWorkers(true)[:joiningWorkers]
	r.setResumeAt(victims)
	time.AfterFunc(joinDelay, func() {
		for _, k := range joining {
			k.join(2 + n)
			k.breaksAfter.Store(joinedBreakAfter)
			k.publish(r.store, "ready")
		}
		r.note("%d workers of release %d join", len(joining), 2+n)
	})
	r.inject(fault{how.name, func(r *run) { how.do(r, victims, d) }})
	r.note("over")
	time.Sleep(max(inStepAgain, joinDelay-d+inStepAgain))
	r.setResumeAt(nil)
	for _, k := range joining {
		k.breaksAfter.Store(0)
	}
	r.note("%d streams joined so far", r.joined.Load())
	r.leaveOldest(joiningWorkers)
}

// leaveOldest lets decode workers of the oldest release leave.
func (r *run) leaveOldest(n int) {
	for _, k := range r.decodeWorkers(false)[:n] {
		r.wg.Go(func() { r.leave(k, true) })
	}
}

func (r *run) setResumeAt(entries []*entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumeAt = entries
}

// outOfStepEntry returns an entry for a new stream, which is in step, or for one that is resumed.
func (r *run) outOfStepEntry(resume bool) *entry {
	r.mu.Lock()
	out := r.resumeAt
	r.mu.Unlock()
	switch {
	case resume && len(out) > 0:
		return out[r.randomInt(len(out))]
	case len(out) == len(r.entries):
		return r.randomEntry()
	}
	for {
		if e := r.randomEntry(); !slices.Contains(out, e) {
			return e
		}
	}
}

// callEntry returns an entry for a new request, or for one that is resumed or repeated.
func (r *run) callEntry(k requestKind, resume bool) *entry {
	if o := r.set.OutOfStep; o == nil || o.Anywhere || !k.stream {
		return r.pickEntry()
	}
	return r.outOfStepEntry(resume)
}

// beginStreams sends resumable generations at a steady rate until ctx ends.
func (r *run) beginStreams(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	kind, caller := requestKind{path: "/draft/", stream: true}, identity{key: schoolKey, workspace: school, permanent: true}
	for n := 0; ebonypulley.Sleep(ctx, outOfStepGap); n++ {
		r.wg.Go(func() {
			r.call(context.WithoutCancel(ctx), client, kind, fmt.Sprintf("%d-o-%d", r.set.Seed, n), caller)
		})
	}
}
