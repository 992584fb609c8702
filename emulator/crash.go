package emulator

import (
	"fmt"
	"slices"
	"time"

	"ebonypulley/router"
)

// restartTime is how long after its crash an engine runs again, as another
// incarnation; until then it stays published.
const restartTime = 3 * time.Second

// Crash is the end of an engine.
type Crash struct {
	At       time.Time
	Endpoint string
	// Content is that of the call that crashed it, zero for another reason.
	Content uint64
}

// Reach is the arrival of a call that crashes engines.
type Reach struct {
	At time.Time
	// Call is the caller's attempt.
	Call     string
	Endpoint string
}

// Poison makes calls of a content crash each engine that starts them.
func (f *Fleet) Poison(content uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poison[content] = true
}

func (f *Fleet) crashes(content uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poison[content]
}

func (f *Fleet) reached(c *router.Call, e *router.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poison[c.Content] {
		f.Reached = append(f.Reached, Reach{At: time.Now(), Call: c.ID, Endpoint: e.ID})
	}
}

// at returns the engine that runs as an endpoint.
func (f *Fleet) at(e *router.Endpoint) (*engine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if engine := f.engines[e.ID]; engine != nil {
		return engine, nil
	}
	if slices.ContainsFunc(f.list, func(x *router.Endpoint) bool { return x.ID == e.ID }) {
		return nil, router.ErrAbsent.New("connection refused by %s", e.ID)
	}
	return nil, router.ErrMoved.New("another engine runs in the place of %s", e.ID)
}

// run starts an engine in a place; f.mu is held, or nobody else knows f.
func (f *Fleet) run(place int, role router.Role, pace float64) {
	e := &engine{sheet: f.sheet, slow: pace, role: role, held: make(map[int]int), down: make(chan struct{})}
	e.crash = func(content uint64) { f.end(place, e, content) }
	f.engines[f.list[place].ID] = e
}

// Crash ends the engine in a place, if one runs there, for a reason of its own.
func (f *Fleet) Crash(place int) {
	f.mu.Lock()
	e := f.engines[f.list[place].ID]
	f.mu.Unlock()
	f.end(place, e, 0)
}

// end ends an engine that runs in a place and starts another later.
func (f *Fleet) end(place int, e *engine, content uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.list[place].ID
	if e == nil || f.engines[id] != e {
		return
	}
	delete(f.engines, id)
	close(e.down)
	f.Crashes = append(f.Crashes, Crash{At: time.Now(), Endpoint: id, Content: content})
	role := e.stage()
	time.AfterFunc(restartTime, func() { f.restart(place, role, e.slow) })
}

// restart starts another incarnation in a place.
func (f *Fleet) restart(place int, role router.Role, pace float64) {
	f.mu.Lock()
	next := *f.list[place]
	next.ID = fmt.Sprintf("%s.%d", next.Addr, len(f.Crashes))
	f.list[place] = &next
	f.run(place, role, pace)
	f.mu.Unlock()
	f.Changed()
}
