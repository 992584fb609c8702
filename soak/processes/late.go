package processes

import (
	"context"
	"sync"
	"syscall"
	"time"

	"ebonypulley"
)

const (
	// lateCallGap is the time between two requests beside late arrivals, so that the slack is most
	// of the retry budget.
	lateCallGap = 20 * time.Millisecond
	// breakInterval is the time between two resets of the connections to a stopped worker.
	breakInterval = 50 * time.Millisecond
	// refusalDelay is how long workers think about a refusal, longer than the margin of the time
	// that they are told.
	refusalDelay = 700 * time.Millisecond
	// failingTime is how long workers fail after what was held back has arrived.
	failingTime = 4 * time.Second
)

// lateFault is a way in which requests reach workers after their entries have given them up. It
// holds requests back for a time and returns when they have arrived.
type lateFault struct {
	name string
	do   func(r *run, ctx context.Context, held time.Duration)
}

var lateFaults = []lateFault{
	{"workers stop, entries are killed one by one", func(r *run, ctx context.Context, held time.Duration) {
		r.stopSome(ctx, held, func() { r.killInTurn(ctx, held) })
	}},
	{"workers stop, all entries are killed", func(r *run, ctx context.Context, held time.Duration) {
		r.stopSome(ctx, held, func() {
			ebonypulley.Sleep(ctx, held/4)
			r.killAll(r.randomMilliseconds(50, 300))
		})
	}},
	{"workers stop, connections break", func(r *run, ctx context.Context, held time.Duration) {
		r.stopSome(ctx, held, func() { r.breakStopped(ctx, held) })
	}},
	{"connections hold bytes back", func(r *run, ctx context.Context, held time.Duration) {
		for began := time.Now(); time.Since(began) < held && ctx.Err() == nil; ebonypulley.Sleep(ctx, breakInterval) {
			r.randomWorker().proxy.hold(held - time.Since(began))
		}
	}},
	{"workers refuse late", func(r *run, ctx context.Context, held time.Duration) {
		r.setRefusalDelay(refusalDelay)
		r.setFailing(true)
		ebonypulley.Sleep(ctx, held)
		r.setRefusalDelay(0)
	}},
	{"entries are paused together", func(r *run, ctx context.Context, held time.Duration) {
		r.setFailing(true)
		for began := time.Now(); time.Since(began) < held && ctx.Err() == nil; ebonypulley.Sleep(ctx, r.randomMilliseconds(50, 300)) {
			r.pauseAll(r.randomMilliseconds(100, 600))
		}
	}},
}

// delayArrivals plays late arrivals until ctx ends, each kind in turn, beside a steady load.
// After each, workers fail for a while, so that the rest of the retry budget is used up.
func (r *run) delayArrivals(ctx context.Context) {
	r.wg.Go(func() { r.callSteadily(ctx, lateCallGap) })
	ebonypulley.Sleep(ctx, retryWindow)
	for n := int(r.set.Seed); ctx.Err() == nil; n++ {
		f, held := lateFaults[n%len(lateFaults)], r.randomMilliseconds(3000, 20000)
		r.inject(fault{f.name + " for " + held.String(), func(r *run) {
			f.do(r, ctx, held)
			r.note("what was held back arrives")
			r.setFailing(true)
			ebonypulley.Sleep(ctx, failingTime)
			r.setFailing(false)
		}})
		ebonypulley.Sleep(ctx, r.randomMilliseconds(1000, 8000))
	}
}

// stopSome stops all workers of each kind but the last for a time, and does something meanwhile.
func (r *run) stopSome(ctx context.Context, d time.Duration, meanwhile func()) {
	for i, k := range r.workers[:len(r.workers)-1] {
		if r.workers[i+1].workerKind == k.workerKind {
			k.proxy.frozen.Store(true)
			defer k.proxy.frozen.Store(false)
		}
	}
	over := time.After(d)
	meanwhile()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

// setRefusalDelay sets how long failing workers take to refuse.
func (r *run) setRefusalDelay(d time.Duration) {
	for _, k := range r.workers {
		k.refusalDelay.Store(int64(d))
	}
}

// killInTurn kills one entry after the other for a time.
func (r *run) killInTurn(ctx context.Context, d time.Duration) {
	began := time.Now()
	for i := 0; ctx.Err() == nil && time.Since(began) < d; i++ {
		ebonypulley.Sleep(ctx, d/time.Duration(2*len(r.entries)))
		r.entries[i%len(r.entries)].replace(syscall.SIGKILL, r.randomMilliseconds(50, 300))
	}
}

// breakStopped resets the connections to stopped workers for a time.
func (r *run) breakStopped(ctx context.Context, d time.Duration) {
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < d; ebonypulley.Sleep(ctx, breakInterval) {
		for _, k := range r.workers {
			if k.proxy.frozen.Load() {
				k.proxy.breakClients()
			}
		}
	}
}

// pauseAll pauses all entries for a time.
func (r *run) pauseAll(d time.Duration) {
	var paused sync.WaitGroup
	for _, e := range r.entries {
		paused.Go(func() {
			e.markDisturbed()
			e.signal(syscall.SIGSTOP)
			time.Sleep(d)
			e.signal(syscall.SIGCONT)
			e.markDisturbed()
		})
	}
	paused.Wait()
}
