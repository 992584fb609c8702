package processes

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"ebonypulley/standin"
)

const (
	// deadlyBody is the begin of the bodies of requests that crash their workers.
	deadlyBody = "crashes "
	// deadlyTime is how long such requests come, deadlyInterval the time between two of them.
	deadlyTime     = 15 * time.Second
	deadlyInterval = 300 * time.Millisecond
	// deadlyCrashes is the number of crashes after which maxDeadlyRequests of the same content may
	// still reach workers, later than contactTime.
	deadlyCrashes     = 3
	maxDeadlyRequests = 3
)

// deadlyKinds are requests that crash each worker that runs them.
var deadlyKinds = []requestKind{
	{path: "/look/", body: deadlyBody + "when looked up"},
	{path: "/draft/", stream: true, body: deadlyBody + "when drafted"},
}

// deadlyLog records by content when requests that crash their workers reached one, and when they
// crashed it.
type deadlyLog struct {
	mu       sync.Mutex
	arrivals map[string]map[string]time.Time // the last of each attempt
	crashes  map[string][]time.Time
}

func (l *deadlyLog) record(content, id string, crashed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrivals == nil {
		l.arrivals, l.crashes = make(map[string]map[string]time.Time), make(map[string][]time.Time)
	}
	if l.arrivals[content] == nil {
		l.arrivals[content] = make(map[string]time.Time)
	}
	l.arrivals[content][id] = time.Now()
	if crashed {
		l.crashes[content] = append(l.crashes[content], time.Now())
	}
}

// late returns how many requests of a content reached workers later than contactTime after the
// crash that decides, and the number of crashes.
func (l *deadlyLog) late(content string) (requests, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes = len(l.crashes[content])
	if crashes < deadlyCrashes {
		return 0, crashes
	}
	from := l.crashes[content][deadlyCrashes-1].Add(contactTime)
	for _, at := range l.arrivals[content] {
		if at.After(from) {
			requests++
		}
	}
	return requests, crashes
}

// serveDeadly records a request that crashes its worker, and crashes it unless the request only
// has its prompt read. It reports whether the worker has crashed.
func (k *worker) serveDeadly(body string, c standin.WorkerHeaders) bool {
	if !strings.HasPrefix(body, deadlyBody) {
		return false
	}
	if c.Prefill {
		k.deadly.record(body, c.AttemptID, false)
		return false
	}
	k.arrivals.recordArrival(k.service, c.AttemptID, k.instanceID())
	crashes := k.crashing.CompareAndSwap(false, true)
	k.deadly.record(body, c.AttemptID, crashes)
	if crashes {
		k.crash()
	}
	return true
}

// playDeadly sends requests that crash their workers again and again, at any entry, beside others.
func (r *run) playDeadly(ctx context.Context) {
	r.inject(fault{"deadly requests", func(r *run) {
		playCtx, stop := context.WithTimeout(ctx, deadlyTime)
		defer stop()
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		defer client.CloseIdleConnections()
		var senders sync.WaitGroup
		for n := 0; playCtx.Err() == nil; n++ {
			k := deadlyKinds[n%len(deadlyKinds)]
			id := attemptID(fmt.Sprintf("%d-deadly-%d", r.set.Seed, n), identity{workspace: school})
			senders.Go(func() {
				r.request(ctx, client, r.pickEntry(), k, id, identity{key: schoolKey, workspace: school, permanent: true}, newStream(time.Now().Add(callerTimeout), 0))
			})
			time.Sleep(deadlyInterval)
		}
		senders.Wait()
	}})
	r.checkDeadly()
}

func (r *run) checkDeadly() {
	for _, k := range deadlyKinds {
		late, crashes := r.deadly.late(k.body)
		r.note("%q: %d crashes, %d requests reached workers later", k.body, crashes, late)
		r.report.Deadly += fmt.Sprintf(" %s=%d/%d after %d crashes", k.path, late, maxDeadlyRequests, crashes)
		if late > maxDeadlyRequests {
			r.violation("%d requests %q reached workers more than %s after crash %d of %d", late, k.body, contactTime, deadlyCrashes, crashes)
		}
	}
}
