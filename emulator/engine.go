package emulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"ebonypulley/router"
)

// engine is one emulated engine. Its work runs in steps, as real ones do.
type engine struct {
	sheet *Sheet
	// crash is called, without a lock, when a job starts that crashes the engine; down
	// is closed then.
	crash func(content uint64)
	down  chan struct{}
	// slow stretches all that it does.
	slow float64

	mu       sync.Mutex
	role     router.Role
	changing bool
	// prompts wait for the prefill stage, or for a decode engine's spare time.
	prompts []*job
	streams []*job
	// preempted streams hold no memory and wait for it.
	preempted []*job
	held      map[int]int // reserved tokens by handle
	nextID    int
	working   bool
}

// job is a prefill or a stream.
type job struct {
	ctx context.Context
	// content is that of the call, crashes that it crashes the engine which starts it.
	content uint64
	crashes bool
	prompt  int
	left    int // prompt tokens to compute
	answer  int
	made    int
	after   int64
	events  chan int64 // closed at the whole end
	done    chan error // the end of a prefill
}

func (j *job) memory() int { return j.prompt + j.made }

// used is the memory in use; e.mu is held.
func (e *engine) used() int {
	sum := 0
	for _, j := range e.streams {
		sum += j.memory()
	}
	for _, j := range e.prompts {
		if j.events != nil {
			sum += j.memory()
		}
	}
	for _, tokens := range e.held {
		sum += tokens
	}
	return sum
}

// reserve holds memory; it returns zero if there is none.
func (e *engine) reserve(tokens int, life time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing || e.used()+tokens > e.sheet.KVTokens {
		return 0
	}
	e.nextID++
	id := e.nextID
	e.held[id] = tokens
	time.AfterFunc(life, func() { e.release(id) })
	return id
}

func (e *engine) release(id int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, id)
}

// add takes a job; it returns false if there is no room or the stage is
// another.
func (e *engine) add(j *job, role router.Role, reservation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing || e.role != role {
		return false
	}
	if role == router.Decode {
		_, reserved := e.held[reservation]
		delete(e.held, reservation)
		if !reserved && (e.used()+j.prompt > e.sheet.KVTokens || len(e.streams) >= e.sheet.Slots) {
			return false
		}
	}
	if j.left > 0 {
		e.prompts = append(e.prompts, j)
	} else {
		e.streams = append(e.streams, j)
	}
	if !e.working {
		e.working = true
		go e.work()
	}
	return true
}

// work runs steps until there is nothing to do.
func (e *engine) work() {
	for {
		d, ok := e.plan()
		if !ok {
			return
		}
		time.Sleep(time.Duration(float64(d) * e.slow))
		if j := e.fatal(); j != nil {
			e.crash(j.content)
			return
		}
		e.finish()
	}
}

// fatal returns a stream that crashes the engine with its first token, or nil.
func (e *engine) fatal() *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.IndexFunc(e.streams, func(j *job) bool { return j.crashes }); i >= 0 {
		return e.streams[i]
	}
	return nil
}

// plan drops what nobody waits for and returns the time of the next step.
func (e *engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gone := func(j *job) bool { return j.ctx.Err() != nil }
	e.prompts = slices.DeleteFunc(e.prompts, gone)
	e.streams = slices.DeleteFunc(e.streams, gone)
	e.preempted = slices.DeleteFunc(e.preempted, gone)
	e.preempt()
	if len(e.prompts)+len(e.streams)+len(e.preempted) == 0 {
		e.working = false
		return 0, false
	}
	if e.role == router.Prefill && len(e.prompts) > 0 {
		return e.sheet.promptTime(e.piece()), true
	}
	return e.sheet.stepTime(len(e.streams), e.piece()), true
}

// preempt takes the memory of the newest stream when it runs out, and gives it
// back to the first of those when there is some.
func (e *engine) preempt() {
	if last := len(e.streams) - 1; last > 0 && e.used() > e.sheet.KVTokens {
		j := e.streams[last]
		e.streams = e.streams[:last]
		j.left = j.memory()
		e.preempted = append(e.preempted, j)
		return
	}
	if len(e.preempted) > 0 && e.used()+e.preempted[0].memory() <= e.sheet.KVTokens {
		e.prompts = append(e.prompts, e.preempted[0])
		e.preempted = e.preempted[1:]
	}
}

// piece is the number of prompt tokens of the next step.
func (e *engine) piece() int {
	if len(e.prompts) == 0 {
		return 0
	}
	size := e.sheet.Chunk
	if e.role == router.Decode {
		size = max(size/chunkParts, 1)
	}
	return min(e.prompts[0].left, size)
}

// finish ends a step.
func (e *engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.streams[:0]
	for _, j := range e.streams {
		if !e.token(j) {
			kept = append(kept, j)
		}
	}
	e.streams = kept
	if n := e.piece(); n > 0 {
		e.computed(n)
	}
}

// token generates one token of a stream; it returns true at the whole end.
func (e *engine) token(j *job) bool {
	j.made++
	if j.made%e.sheet.Stride == 0 || j.made >= j.answer {
		j.after++
		j.events <- j.after
	}
	if j.made < j.answer {
		return false
	}
	close(j.events)
	return true
}

// computed takes n tokens off the first prompt.
func (e *engine) computed(n int) {
	j := e.prompts[0]
	if j.left -= n; j.left > 0 {
		return
	}
	e.prompts = e.prompts[1:]
	if j.done != nil {
		j.done <- nil
		return
	}
	e.streams = append(e.streams, j)
}

// change changes the stage when what runs has ended; changed is called then.
func (e *engine) change(to router.Role, changed func()) {
	e.mu.Lock()
	e.changing = true
	e.mu.Unlock()
	go func() {
		for e.busy() {
			time.Sleep(e.sheet.Step)
		}
		time.Sleep(e.sheet.Switch)
		e.mu.Lock()
		e.role, e.changing = to, false
		e.mu.Unlock()
		changed()
	}()
}

func (e *engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.working
}
