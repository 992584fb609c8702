package processes

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxAttempts is the number of workers at which a request may run. More than
	// maxOverrunRequests requests must not exceed it.
	maxAttempts        = 2
	maxOverrunRequests = 3
)

// workerLog records at which workers requests run.
type workerLog struct {
	mu   sync.Mutex
	runs map[string][]workerRun
	// overruns holds the requests that ran at too many workers.
	overruns map[string]bool
}

// workerRun is a run that began at an incarnation of a worker.
type workerRun struct {
	worker      *worker
	incarnation string
	at          time.Time
}

func newWorkerLog() *workerLog {
	return &workerLog{runs: make(map[string][]workerRun), overruns: make(map[string]bool)}
}

// lost reports whether the worker has ended or was cut off since the run began.
func (w workerRun) lost() bool {
	return w.worker.instanceID() != w.incarnation || w.worker.proxy.cutSince(w.at)
}

// record records that a request begins to run at a worker.
func (l *workerLog) record(id string, k *worker) {
	next := workerRun{k, k.instanceID(), time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	others := slices.DeleteFunc(l.runs[id], func(w workerRun) bool { return w.lost() || w.incarnation == next.incarnation })
	l.runs[id] = append(others, next)
	if len(l.runs[id]) > maxAttempts {
		l.overruns[id] = true
	}
}

// checkAttempts checks that requests ran at no more workers than their route allows.
func (r *run) checkAttempts() {
	l := r.arrivals.runs
	l.mu.Lock()
	defer l.mu.Unlock()
	r.note("%d requests ran at more than %d workers", len(l.overruns), maxAttempts)
	if len(l.overruns) > maxOverrunRequests {
		r.violation("%d requests ran at more than %d workers", len(l.overruns), maxAttempts)
	}
}
