package emulator

import (
	"fmt"
	"slices"
	"time"

	"ebonypulley/router"
)

// restartDelay is the time from an engine's crash until its next incarnation runs. Until then
// the endpoint stays in the directory.
const restartDelay = 3 * time.Second

// Crash records the crash of an engine.
type Crash struct {
	At       time.Time
	Endpoint string
	// ContentHash is that of the call that crashed the engine, or zero if it crashed for
	// another reason.
	ContentHash uint64
	// Part is the part of the prompt that crashed the engine, or zero.
	Part uint64
}

// PoisonArrival records that a poison call, which crashes engines, reached an engine.
type PoisonArrival struct {
	At time.Time
	// CallID identifies the caller's attempt.
	CallID   string
	Endpoint string
	// Part is the part of the prompt that crashes engines, or zero if the whole content does.
	Part uint64
}

// AddPoison makes calls with this content hash crash each engine that starts to generate for
// them.
func (f *Fleet) AddPoison(hash uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poison[hash] = true
}

func (f *Fleet) isPoison(hash uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poison[hash]
}

// AddPoisonPart makes prompts with this part crash each engine that starts to generate for them.
func (f *Fleet) AddPoisonPart(part uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poisonParts[part] = true
}

// poisonPart returns the first part of a prompt that crashes engines, or zero.
func (f *Fleet) poisonPart(parts []uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.IndexFunc(parts, func(part uint64) bool { return f.poisonParts[part] }); i >= 0 {
		return parts[i]
	}
	return 0
}

func (f *Fleet) recordPoisonArrival(c *router.Call, e *router.Endpoint) {
	part := f.poisonPart(c.PromptParts)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poison[c.ContentHash] || part != 0 {
		f.PoisonArrivals = append(f.PoisonArrivals, PoisonArrival{At: time.Now(), CallID: c.ID, Endpoint: e.ID, Part: part})
	}
}

// lookup returns the running engine of an endpoint. It returns ErrNotListening while the engine
// is down and ErrReplaced after another incarnation has replaced it.
func (f *Fleet) lookup(e *router.Endpoint) (*engine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if engine := f.engines[e.ID]; engine != nil {
		return engine, nil
	}
	if slices.ContainsFunc(f.engineEndpoints, func(x *router.Endpoint) bool { return x.ID == e.ID }) {
		return nil, router.ErrNotListening.New("connection refused by %s", e.ID)
	}
	return nil, router.ErrReplaced.New("%s was replaced by another incarnation", e.ID)
}

// startEngine starts the engine with this index. The caller holds f.mu, or has not published f
// yet.
func (f *Fleet) startEngine(index int, role router.Role, slowdown float64) {
	e := &engine{spec: f.spec, slowdown: slowdown, role: role, reservations: make(map[int]int), down: make(chan struct{})}
	e.pace = func(time.Time) float64 { return 1 }
	if m := f.slowMoments; m.Period > 0 {
		e.pace = func(now time.Time) float64 { return m.pace(index, now) }
	}
	e.onCrash = func(j *job) { f.crashEngine(index, e, j) }
	f.engines[f.engineEndpoints[index].ID] = e
}

// Crash crashes the engine with this index, if it runs, without a poison call.
func (f *Fleet) Crash(index int) {
	f.mu.Lock()
	e := f.engines[f.engineEndpoints[index].ID]
	f.mu.Unlock()
	f.crashEngine(index, e, &job{})
}

// crashEngine stops e, if it is still the engine with this index, because of a job, and schedules
// its restart.
func (f *Fleet) crashEngine(index int, e *engine, cause *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.engineEndpoints[index].ID
	if e == nil || f.engines[id] != e {
		return
	}
	delete(f.engines, id)
	close(e.down)
	f.Crashes = append(f.Crashes, Crash{At: time.Now(), Endpoint: id, ContentHash: cause.contentHash, Part: cause.poisonPart})
	role := e.currentRole()
	time.AfterFunc(restartDelay, func() { f.restart(index, role, e.slowdown) })
}

// restart starts the next incarnation of the engine with this index.
func (f *Fleet) restart(index int, role router.Role, slowdown float64) {
	f.mu.Lock()
	next := *f.engineEndpoints[index]
	next.ID = fmt.Sprintf("%s.%d", next.Addr, len(f.Crashes))
	f.engineEndpoints[index] = &next
	f.startEngine(index, role, slowdown)
	f.mu.Unlock()
	f.OnStageChange()
}
