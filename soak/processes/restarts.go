package processes

import (
	"context"
	"syscall"
	"time"
)

// restartRepeatedly pauses each entry at random times until ctx ends, and kills all entries, at
// once and one by one in turn.
func (r *run) restartRepeatedly(ctx context.Context) {
	for _, e := range r.entries {
		r.wg.Go(func() { r.pauseRepeatedly(ctx, e) })
	}
	r.wg.Go(func() {
		for n := r.set.Seed; ctx.Err() == nil; n++ {
			r.inject(fault{"restart entries", func(r *run) {
				if n%2 == 0 {
					r.killAll(r.randomMilliseconds(100, 1000))
					return
				}
				for _, e := range r.entries {
					e.replace(syscall.SIGKILL, r.randomMilliseconds(50, 200))
				}
			}})
			time.Sleep(r.randomMilliseconds(1500, 5000))
		}
	})
}

// pauseRepeatedly stops an entry briefly at random times, so that some of its requests are sent long
// after it decided to send them.
func (r *run) pauseRepeatedly(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		time.Sleep(r.randomMilliseconds(200, 1500))
		e.markDisturbed()
		e.signal(syscall.SIGSTOP)
		time.Sleep(r.randomMilliseconds(100, 400))
		e.signal(syscall.SIGCONT)
		e.markDisturbed()
	}
}
