package emulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"ebonypulley/router"
)

// engine emulates one model engine with continuous batching: work is done in steps.
type engine struct {
	spec *EngineSpec
	// onCrash is called, without holding mu, when a poison job reaches its first token. It
	// closes down.
	onCrash func(j *job)
	down    chan struct{}
	// slowdown multiplies the duration of each step.
	slowdown float64
	// pace returns how much longer a step takes at a moment than usual.
	pace func(now time.Time) float64

	mu        sync.Mutex
	role      router.Role
	switching bool
	// prefillQueue holds the prompts that wait for prefill. A decode engine computes them in
	// chunks beside its streams.
	prefillQueue []*job
	streams      []*job
	// preempted streams have lost their KV memory and wait for room to be computed again.
	preempted    []*job
	reservations map[int]int // reserved tokens by handle
	nextID       int
	stepping     bool
	// frozenUntil is when a frozen engine goes on.
	frozenUntil time.Time
}

// job is a prefill or a stream.
type job struct {
	ctx context.Context
	// contentHash is that of the call. A poison job crashes the engine that starts it, once it has
	// written crashAfter events or is about to complete a shorter answer.
	contentHash uint64
	poison      bool
	crashAfter  int64
	// crashTime, if set, is how long after its first event a poison job crashes the engine instead, even if
	// its answer is complete by then.
	crashTime time.Duration
	// poisonPart is the part of the prompt that makes it a poison job, or zero.
	poisonPart   uint64
	promptTokens int
	prefillLeft  int // prompt tokens still to be computed
	answerTokens int
	generated    int
	lastEvent    int64
	events       chan int64 // numbers of generated events; closed when the answer is complete
	done         chan error // receives nil when a prefill is complete
}

func (j *job) kvTokens() int { return j.promptTokens + j.generated }

// usedKV returns the KV memory in use, in tokens. The caller holds e.mu.
func (e *engine) usedKV() int {
	total := 0
	for _, j := range e.streams {
		total += j.kvTokens()
	}
	for _, j := range e.prefillQueue {
		if j.events != nil {
			total += j.kvTokens()
		}
	}
	for _, tokens := range e.reservations {
		total += tokens
	}
	return total
}

// reserve reserves KV memory for at most hold and returns the handle of the reservation, or
// zero if there is not enough memory.
func (e *engine) reserve(tokens int, hold time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.switching || e.usedKV()+tokens > e.spec.KVCapacity {
		return 0
	}
	e.nextID++
	id := e.nextID
	e.reservations[id] = tokens
	time.AfterFunc(hold, func() { e.release(id) })
	return id
}

func (e *engine) release(id int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.reservations, id)
}

// submit queues a job. It returns false if the engine has another role, is switching roles or
// has no room.
func (e *engine) submit(j *job, role router.Role, reservation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.switching || e.role != role {
		return false
	}
	if role == router.Decode {
		_, reserved := e.reservations[reservation]
		delete(e.reservations, reservation)
		if !reserved && (e.usedKV()+j.promptTokens > e.spec.KVCapacity || len(e.streams) >= e.spec.Slots) {
			return false
		}
	}
	if j.prefillLeft > 0 {
		e.prefillQueue = append(e.prefillQueue, j)
	} else {
		e.streams = append(e.streams, j)
	}
	if !e.stepping {
		e.stepping = true
		go e.runSteps()
	}
	return true
}

// runSteps runs steps until the engine is idle.
func (e *engine) runSteps() {
	for {
		d, ok := e.beginStep()
		if !ok {
			return
		}
		time.Sleep(time.Duration(float64(d) * e.slowdown * e.pace(time.Now())))
		e.awaitThaw()
		if j := e.poisonStream(); j != nil {
			e.onCrash(j)
			return
		}
		e.endStep()
	}
}

// poisonStream returns a stream that crashes the engine now, or nil.
func (e *engine) poisonStream() *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.IndexFunc(e.streams, func(j *job) bool {
		return j.poison && j.crashTime == 0 && (j.lastEvent >= j.crashAfter || j.generated+1 >= j.answerTokens)
	}); i >= 0 {
		return e.streams[i]
	}
	return nil
}

// beginStep removes jobs that were cancelled and returns the duration of the next step, or
// false if there are no jobs.
func (e *engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gone := func(j *job) bool { return j.ctx.Err() != nil }
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, gone)
	e.streams = slices.DeleteFunc(e.streams, gone)
	e.preempted = slices.DeleteFunc(e.preempted, gone)
	e.preempt()
	if len(e.prefillQueue)+len(e.streams)+len(e.preempted) == 0 {
		e.stepping = false
		return 0, false
	}
	if e.role == router.Prefill && len(e.prefillQueue) > 0 {
		return e.spec.prefillTime(e.nextChunk()), true
	}
	return e.spec.stepTime(len(e.streams), e.nextChunk()), true
}

// preempt takes the KV memory of the newest stream when memory runs out, and queues the oldest
// preempted stream again when there is room for it. The caller holds e.mu.
func (e *engine) preempt() {
	if last := len(e.streams) - 1; last > 0 && e.usedKV() > e.spec.KVCapacity {
		j := e.streams[last]
		e.streams = e.streams[:last]
		j.prefillLeft = j.kvTokens()
		e.preempted = append(e.preempted, j)
		return
	}
	if len(e.preempted) > 0 && e.usedKV()+e.preempted[0].kvTokens() <= e.spec.KVCapacity {
		e.prefillQueue = append(e.prefillQueue, e.preempted[0])
		e.preempted = e.preempted[1:]
	}
}

// nextChunk returns the number of prompt tokens computed in the next step.
func (e *engine) nextChunk() int {
	if len(e.prefillQueue) == 0 {
		return 0
	}
	size := e.spec.ChunkTokens
	if e.role == router.Decode {
		size = max(size/decodeChunkDivisor, 1)
	}
	return min(e.prefillQueue[0].prefillLeft, size)
}

// endStep applies the results of a step: a token for each stream, and a chunk of the first
// prompt.
func (e *engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	unfinished := e.streams[:0]
	for _, j := range e.streams {
		if !e.generateToken(j) {
			unfinished = append(unfinished, j)
		}
	}
	e.streams = unfinished
	if tokens := e.nextChunk(); tokens > 0 {
		e.advancePrefill(tokens)
	}
}

// generateToken generates one token of a stream. It returns true when the answer is complete.
func (e *engine) generateToken(j *job) bool {
	j.generated++
	if j.generated%e.spec.Stride == 0 || j.generated >= j.answerTokens {
		if j.lastEvent++; j.lastEvent == 1 && j.poison && j.crashTime > 0 {
			time.AfterFunc(j.crashTime, func() { e.onCrash(j) })
		}
		j.events <- j.lastEvent
	}
	if j.generated < j.answerTokens {
		return false
	}
	close(j.events)
	return true
}

// advancePrefill counts tokens as computed for the first prompt in the queue. When the prompt
// is complete, its prefill ends or its stream starts.
func (e *engine) advancePrefill(tokens int) {
	j := e.prefillQueue[0]
	if j.prefillLeft -= tokens; j.prefillLeft > 0 {
		return
	}
	e.prefillQueue = e.prefillQueue[1:]
	if j.done != nil {
		j.done <- nil
		return
	}
	e.streams = append(e.streams, j)
}

// switchStage stops admission, waits until the running jobs have ended and then changes the
// role. It calls onSwitched after the change.
func (e *engine) switchStage(to router.Role, onSwitched func()) {
	e.mu.Lock()
	e.switching = true
	e.mu.Unlock()
	go func() {
		for e.busy() {
			time.Sleep(e.spec.Step)
		}
		time.Sleep(e.spec.StageSwitchTime)
		e.mu.Lock()
		e.role, e.switching = to, false
		e.mu.Unlock()
		onSwitched()
	}()
}

func (e *engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepping
}
