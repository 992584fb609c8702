package router

import (
	"context"
	"time"

	"ebonypulley"
)

// maxSuspectWait is how long a suspect may wait: the time in which answers elsewhere clear sound
// parts and the crashes under bad ones become known to all entries.
const maxSuspectWait = 600 * time.Millisecond

// awaitVerdict lets a generation wait while a part of its prompt is suspected of crashing engines,
// as long as it can still be on time. It is not called for one whose answer has begun.
//
// A bad part in a burst crashes all engines before the first crashes are known everywhere.
func (g *generationRun) awaitVerdict(ctx context.Context) error {
	now := time.Now()
	until := earlier(now.Add(maxSuspectWait), g.policy.placeBy)
	for waited := false; now.Before(until) && g.r.parts.Suspected(now, g.c.PromptParts); now = time.Now() {
		if !waited {
			waited = true
			g.r.metrics.Add("suspects_waited", 1)
		}
		if !ebonypulley.Sleep(ctx, min(roomPollInterval, until.Sub(now))) {
			return ctx.Err()
		}
		if err := g.r.refusePoison(g.c); err != nil {
			return err
		}
	}
	return nil
}
