package processes

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"ebonypulley"
	"ebonypulley/standin"
)

const (
	// streamFaultsAtOnce is how many faults of streams overlap.
	streamFaultsAtOnce = 4
	// largeEvent is the size in bytes of a large event. Some of them fill all buffers of a caller that
	// reads slowly.
	largeEvent = 20 << 10
	// slowFraction is the fraction of callers that read slowly, with pauses of up to maxReadPause.
	slowFraction = 0.25
	maxReadPause = 150 * time.Millisecond
	// A throttled entry runs and pauses by turns, as within a share of a processor.
	throttledRun   = 30 * time.Millisecond
	throttledPause = 70 * time.Millisecond
	// maxExtraDelay is how long after an answer an extra one may follow.
	maxExtraDelay = 20 * time.Millisecond
)

// streamFault is a fault that may lose, double or reorder events. It lasts for d.
type streamFault struct {
	name string
	do   func(r *run, k *worker, d time.Duration)
}

var streamFaults = []streamFault{
	{"entry stopped", func(r *run, _ *worker, d time.Duration) {
		e := r.randomEntry()
		e.markDisturbed()
		e.signal(syscall.SIGSTOP)
		time.Sleep(d)
		e.signal(syscall.SIGCONT)
		e.markDisturbed()
	}},
	{"entry throttled", func(r *run, _ *worker, d time.Duration) {
		e := r.randomEntry()
		for began := time.Now(); time.Since(began) < d; time.Sleep(throttledRun) {
			e.markDisturbed()
			e.signal(syscall.SIGSTOP)
			time.Sleep(throttledPause)
			e.signal(syscall.SIGCONT)
		}
		e.markDisturbed()
	}},
	{"worker breaks events", func(_ *run, k *worker, d time.Duration) {
		k.breaksEvents.Store(true)
		time.Sleep(d)
		k.breaksEvents.Store(false)
	}},
	{"worker breaks streams", func(r *run, k *worker, d time.Duration) {
		k.breaksAfter.Store(int64(1 + r.randomInt(20)))
		time.Sleep(d)
		k.breaksAfter.Store(0)
	}},
	{"connections held back", func(r *run, k *worker, d time.Duration) {
		k.proxy.hold(d)
		time.Sleep(d)
	}},
	{"worker freezes", func(_ *run, k *worker, d time.Duration) {
		k.proxy.frozen.Store(true)
		time.Sleep(d)
		k.proxy.frozen.Store(false)
	}},
	{"worker one way", func(r *run, k *worker, d time.Duration) {
		k.proxy.blockedSide.Store(int32(1 + r.randomInt(2)))
		time.Sleep(d)
		k.proxy.blockedSide.Store(0)
	}},
	{"connections reset", func(_ *run, k *worker, d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(d / 4) {
			k.proxy.reset()
		}
	}},
	{"large events", func(_ *run, k *worker, d time.Duration) {
		k.largeEvents.Store(true)
		time.Sleep(d)
		k.largeEvents.Store(false)
	}},
	{"extra answers", func(_ *run, k *worker, d time.Duration) {
		k.extraAnswers.Store(true)
		time.Sleep(d)
		k.extraAnswers.Store(false)
	}},
	{"worker crashes", func(r *run, k *worker, d time.Duration) { r.crashWorker(k, d) }},
}

// disturbStreams overlaps faults of streams until ctx ends.
func (r *run) disturbStreams(ctx context.Context) {
	if r.set.Fleet == nil {
		r.startStreamCallers(ctx)
	}
	var over sync.WaitGroup
	for range streamFaultsAtOnce {
		over.Go(func() {
			for ctx.Err() == nil {
				f, k, d := streamFaults[r.randomInt(len(streamFaults))], r.randomWorker(), r.randomMilliseconds(100, 4000)
				r.inject(fault{fmt.Sprintf("%s for %s, worker %d", f.name, d, k.number), func(r *run) { f.do(r, k, d) }})
				ebonypulley.Sleep(ctx, r.randomMilliseconds(0, 300))
			}
		})
	}
	over.Wait()
}

// readPause returns the pause of a caller before it reads each event.
func (r *run) readPause() time.Duration {
	if !r.set.Streams || r.randomFloat() >= slowFraction {
		return 0
	}
	return time.Duration(r.randomFloat() * float64(maxReadPause))
}

// padding returns a comment that makes an event large, or nothing.
func (k *worker) padding() string {
	if !k.largeEvents.Load() {
		return ""
	}
	return ": " + strings.Repeat("x", largeEvent) + "\n"
}

// onConnState sends an extra answer some time after the last one of a connection, unless the next
// request has come.
func (k *worker) onConnState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		k.idle.Delete(c)
		return
	}
	if !k.extraAnswers.Load() {
		return
	}
	k.idle.Store(c, true)
	time.AfterFunc(time.Duration(time.Now().UnixNano())%maxExtraDelay, func() {
		if _, idle := k.idle.LoadAndDelete(c); idle {
			_, _ = c.Write(k.extraAnswer()) // fails if the connection has ended
		}
	})
}

// extraAnswer returns a whole answer to the attempt that ran last.
func (k *worker) extraAnswer() []byte {
	k.mu.Lock()
	id := k.lastAttempt
	k.mu.Unlock()
	body := "answer to " + id
	h := http.Header{"Content-Length": {fmt.Sprint(len(body))}}
	standin.SetAnswerHeaders(h, id)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&b) // a buffer takes all
	b.WriteString("\r\n" + body)
	return b.Bytes()
}
