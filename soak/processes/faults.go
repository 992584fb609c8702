package processes

import (
	"context"
	"strings"
	"syscall"
	"time"
)

// fault is a kind of fault. Its do function injects it and returns when it is
// over.
type fault struct {
	name string
	do   func(r *run)
}

// faults are the faults that a run picks from.
var faults = []fault{
	{"kill", func(r *run) { r.randomEntry().replace(syscall.SIGKILL, r.randomMilliseconds(100, 1500)) }},
	{"terminate", func(r *run) { r.randomEntry().replace(syscall.SIGTERM, r.randomMilliseconds(50, 500)) }},
	{"hang up", func(r *run) { r.randomEntry().signal(syscall.SIGHUP) }},
	{"pause", func(r *run) {
		e := r.randomEntry()
		e.markDisturbed()
		e.signal(syscall.SIGSTOP)
		time.Sleep(r.randomMilliseconds(200, 2500))
		e.signal(syscall.SIGCONT)
		e.markDisturbed()
	}},
	{"kill all", func(r *run) { r.killAll(500 * time.Millisecond) }},
	{"store down", func(r *run) {
		r.storeDown.Add(1)
		r.store.SetDown(true)
		time.Sleep(r.randomMilliseconds(300, 4000))
		r.store.SetDown(false)
		r.storeBack.Store(time.Now().UnixNano())
		r.storeDown.Add(-1)
	}},
	{"store forgets", func(r *run) { r.store.Compact() }},
	{"store cut", func(r *run) {
		p := r.randomEntry().store
		p.blockedSide.Store(int32(1 + r.randomInt(2)))
		time.Sleep(r.randomMilliseconds(500, 4000))
		p.blockedSide.Store(0)
	}},
	{"worker reset", func(r *run) { r.randomWorker().proxy.reset() }},
	{"worker silent", func(r *run) { r.randomWorker().proxy.silence() }},
	{"worker one way", func(r *run) {
		p := r.randomWorker().proxy
		p.blockedSide.Store(int32(1 + r.randomInt(2)))
		time.Sleep(r.randomMilliseconds(200, 2000))
		p.blockedSide.Store(0)
	}},
	{"worker slow link", func(r *run) {
		p := r.randomWorker().proxy
		p.delay.Store(int64(r.randomMilliseconds(20, 200)))
		time.Sleep(r.randomMilliseconds(500, 3000))
		p.delay.Store(0)
	}},
	{"worker hangs", func(r *run) {
		k := r.randomWorker()
		k.hanging.Store(true)
		time.Sleep(r.randomMilliseconds(500, 3000))
		k.hanging.Store(false)
	}},
	{"worker freezes", func(r *run) {
		p := r.randomWorker().proxy
		p.frozen.Store(true)
		time.Sleep(r.randomMilliseconds(800, 1500))
		p.frozen.Store(false)
	}},
	{"worker breaks events", func(r *run) {
		k := r.randomWorker()
		k.breaksEvents.Store(true)
		time.Sleep(r.randomMilliseconds(300, 2000))
		k.breaksEvents.Store(false)
	}},
	{"worker crashes", func(r *run) {
		if k := r.randomWorker(); k.crashing.CompareAndSwap(false, true) {
			defer k.crashing.Store(false)
			r.crashWorker(k, r.randomMilliseconds(300, 1500))
		}
	}},
	{"worker leaves", func(r *run) {
		k := r.randomWorker()
		r.leave(k, false)
		k.publish(r.store, "ready")
	}},
	{"configuration", func(r *run) { r.publish() }},
	{"key replaced", func(r *run) { r.rotateKey() }},
}

// endlessAnswer is a fault of workers that is injected beside a bad part only, so that seeds of other
// runs keep their faults.
var endlessAnswer = fault{"worker writes without end", func(r *run) {
	k := r.randomWorker()
	k.endless.Store(true)
	time.Sleep(r.randomMilliseconds(200, 1000))
	k.endless.Store(false)
}}

// lastFaults are injected once in each run, one after the other, after the random ones.
var lastFaults = []fault{
	{"flood", func(r *run) { r.flood(r.randomEntry()) }},
}

const (
	// drainNoticeTime is how long a worker may still get new requests after it was
	// published as draining.
	drainNoticeTime = 3 * time.Second
	// faultAftermath is how long the effects of a fault are tolerated after it has
	// ended: the maximum time until a silent connection is detected.
	faultAftermath = 4 * time.Second
)

// harmless are the faults that must not affect requests in progress.
var harmless = map[string]bool{"hang up": true, "configuration": true, "terminate": true, "worker leaves": true, "key replaced": true}

// phaseDuration is the duration of each phase of a run. Phases with harmless
// faults only, in which no request may be cut or late, alternate with phases
// with all faults.
const phaseDuration = 5 * time.Second

// pickFault picks a random fault of the current phase.
func (r *run) pickFault() fault {
	harmlessOnly := int(time.Since(r.faultsBegan)/phaseDuration)%2 == 0
	for {
		f := faults[r.randomInt(len(faults))]
		if !harmlessOnly || harmless[f.name] {
			return f
		}
	}
}

// injectFaults injects random faults, some of them concurrently, until ctx ends, and then the
// last ones.
func (r *run) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		f := r.pickFault()
		r.wg.Go(func() { r.inject(f) })
		time.Sleep(r.randomMilliseconds(100, 900))
	}
	for _, f := range lastFaults {
		r.inject(f)
	}
}

// workerFaultPause is the longest pause between two random faults of workers beside a bad part.
const workerFaultPause = 1500 * time.Millisecond

// injectWorkerFaults injects random unplanned faults of workers, which leave all entries in contact,
// until ctx ends.
func (r *run) injectWorkerFaults(ctx context.Context) {
	ofWorkers := []fault{endlessAnswer}
	for _, f := range faults {
		if strings.HasPrefix(f.name, "worker ") && !harmless[f.name] {
			ofWorkers = append(ofWorkers, f)
		}
	}
	for ctx.Err() == nil {
		f := ofWorkers[r.randomInt(len(ofWorkers))]
		r.wg.Go(func() { r.inject(f) })
		time.Sleep(r.randomMilliseconds(0, int(workerFaultPause/time.Millisecond)))
	}
}

// inject injects a fault and returns when it is over.
func (r *run) inject(f fault) {
	r.faults.Add(1)
	if !harmless[f.name] {
		r.activeFaults.Add(1)
		defer func() {
			r.lastFaultEnd.Store(time.Now().UnixNano())
			r.activeFaults.Add(-1)
		}()
	}
	r.note("%s", f.name)
	f.do(r)
}

// crashWorker crashes a worker, whose next incarnation runs after a time.
func (r *run) crashWorker(k *worker, down time.Duration) {
	key := k.setDown(false)
	k.proxy.stop()
	k.proxy.reset()
	time.Sleep(down)
	k.newIncarnation() // the address serves the next incarnation before the store lists it
	if err := k.proxy.restart(); err != nil {
		r.violation("the simulated worker at %s can't restart: %v", k.proxy.addr(), err)
	}
	time.Sleep(r.randomMilliseconds(100, 800))
	r.store.Delete(key)
	k.publish(r.store, "ready")
}

// leave publishes a worker as draining and removes it from the store some time later, possibly
// for good.
func (r *run) leave(k *worker, spare bool) {
	since := time.Now()
	k.publish(r.store, "draining")
	time.Sleep(drainNoticeTime + r.randomMilliseconds(500, 1500))
	if k.startedWhileDraining(drainNoticeTime) && r.faultFreeSince(since.Add(-faultAftermath)) {
		r.violation("%s got a new request more than %s after it was published as draining", k.instanceID(), drainNoticeTime)
	}
	r.store.Delete(k.setDown(spare))
	k.newIncarnation()
}

// replace restarts the process unless a restart is in progress.
func (e *entry) replace(s syscall.Signal, pause time.Duration) {
	if !e.replacing.CompareAndSwap(false, true) {
		return
	}
	defer e.replacing.Store(false)
	e.restart(s, pause)
}
