package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/release"
)

// Recovery of the software versions of streams after a restart of all entries.
//
// No entry is left that knows at which version the streams in progress began, but engines still
// run them, or have their prompts cached until new ones displace these. So an entry that starts
// and hears of no other one that has known the endpoints for longer asks a share of the engines
// at once, and tells the others what it finds.
const (
	// recoveryCallTimeout bounds one call to an engine.
	recoveryCallTimeout = 250 * time.Millisecond
	// recoveryCalls is the number of engines asked at a time.
	recoveryCalls = 8
	// maxRecoveryEngines bounds the engines that one entry asks.
	maxRecoveryEngines = 64
	// recoveryTellTime is how long others take to tell what they found.
	recoveryTellTime = 250 * time.Millisecond
	// recoveryPollInterval is the interval at which a waiting request looks for its version.
	recoveryPollInterval = 25 * time.Millisecond
	// maxRecoveryWait bounds how long it waits: callers give up after a silence of 2 s.
	maxRecoveryWait = time.Second
)

// recoveryPauses are the pauses before the rounds, each of which asks the engines that have not
// answered yet. The first one lets other entries tell what they know.
var recoveryPauses = []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond}

// versionRecovery recovers the versions of streams that began before this entry started.
type versionRecovery struct {
	r       *Router
	started time.Time
	once    sync.Once
	running atomic.Bool
	// assigned reports whether this entry is to ask an engine.
	assigned atomic.Pointer[func(e *Endpoint) bool]
	// answered holds the IDs of the engines that have answered. It is used by run only.
	answered map[string]bool
}

func newVersionRecovery(r *Router) *versionRecovery {
	v := &versionRecovery{r: r, started: time.Now(), answered: make(map[string]bool)}
	all := func(*Endpoint) bool { return true }
	v.assigned.Store(&all)
	return v
}

// AssignEngines sets which engines this entry asks after a restart of all entries. All entries
// together should ask each engine once.
func (r *Router) AssignEngines(assigned func(e *Endpoint) bool) {
	r.recovery.assigned.Store(&assigned)
}

// begin starts the recovery, once, if there are engines.
func (v *versionRecovery) begin(d *Directory) {
	if v.r.usesAgents() || len(v.unknown(d)) == 0 {
		return
	}
	v.once.Do(func() {
		v.running.Store(true)
		go v.run()
	})
}

// unknown returns the services of which not all engines are known that were published since a
// stream that is resumed now may have begun.
func (v *versionRecovery) unknown(d *Directory) (services []string) {
	for name, longest := range d.resumable {
		if len(d.decodeEngines(name)) > 0 && !v.r.releases.Knows(v.started.Add(-longest), name) {
			services = append(services, name)
		}
	}
	return services
}

// run asks the engines in rounds.
func (v *versionRecovery) run() {
	defer v.running.Store(false)
	for _, pause := range recoveryPauses {
		time.Sleep(pause)
		services := v.unknown(v.r.Directory())
		if len(services) == 0 {
			return
		}
		v.ask(v.enginesToAsk(services))
	}
	time.Sleep(recoveryTellTime)
}

// enginesToAsk returns the engines that this entry asks in a round, in random order.
func (v *versionRecovery) enginesToAsk(services []string) (list []*Endpoint) {
	assigned := *v.assigned.Load()
	for _, name := range services {
		for _, e := range v.r.Directory().decodeEngines(name) {
			if !v.answered[e.ID] && assigned(e) {
				list = append(list, e)
			}
		}
	}
	for i := range list {
		k := i + v.r.random(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:max(0, min(len(list), maxRecoveryEngines-len(v.answered)))]
}

// ask asks engines what they run and have cached, some at a time.
func (v *versionRecovery) ask(engines []*Endpoint) {
	began := time.Now()
	var mu sync.Mutex
	var g sync.WaitGroup
	slots := make(chan struct{}, recoveryCalls)
	requests, sessions, answered := 0, 0, 0
	for _, e := range engines {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			state, ok := v.askEngine(e)
			v.r.releases.Recover(time.Now(), state)
			mu.Lock()
			defer mu.Unlock()
			requests, sessions = requests+len(state.Requests), sessions+len(state.Sessions)
			if ok {
				v.answered[e.ID] = true
				answered++
			}
		})
	}
	g.Wait()
	if len(engines) == 0 {
		return
	}
	v.r.metrics.Add("recovery_engines_asked", int64(len(engines)))
	v.r.log.Emit(event.VersionsRecovered, zap.Int("asked", len(engines)), zap.Int("answered", answered),
		zap.Int("requests", requests), zap.Int("prompts", sessions), zap.Duration("took", time.Since(began)))
}

// askEngine asks one engine. It returns false if a call failed, with what the other one told.
func (v *versionRecovery) askEngine(e *Endpoint) (state release.EngineState, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryCallTimeout)
	defer cancel()
	state = release.EngineState{Service: e.Service, Version: e.SoftwareVersion}
	running, failed := v.r.endpoints.Running(ctx, e)
	state.Requests = running
	cached, err := v.r.endpoints.Cached(ctx, e)
	for session := range cached {
		state.Sessions = append(state.Sessions, session)
	}
	if err = errors.Join(failed, withoutPartial(err)); err != nil {
		v.r.log.Emit(event.CacheStateUnknown, zap.String("endpoint", e.ID), event.Err(err))
	}
	return state, err == nil
}

// await calls found repeatedly while the recovery is in progress, until it returns true.
func (v *versionRecovery) await(ctx context.Context, found func() bool) {
	for end := time.Now().Add(maxRecoveryWait); v.running.Load() && time.Now().Before(end); {
		if !ebonypulley.Sleep(ctx, recoveryPollInterval) || found() {
			return
		}
	}
}
