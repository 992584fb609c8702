package router

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ebonypulley/queue"
	"ebonypulley/quota"
)

// waitCase is one request of TestWaitListAgainstOracle.
type waitCase struct {
	cancel  context.CancelFunc
	refused bool
	// blocked says that the request is to wait no longer.
	blocked bool
	// err is the result, set once done.
	err   error
	done  bool
	holds bool
}

var errRefused = errors.New("refused")

// waitStep is one step of TestWaitListAgainstOracle.
type waitStep struct {
	Kind, Caller, Rank, Workspace, RefusedStarts int
	Time                                         time.Duration
	Wake                                         bool
}

// waitPlay is the room and the requests of TestWaitListAgainstOracle.
type waitPlay struct {
	l          *waitList
	free, room int
	all        []*waitCase
	wrong      string
}

// arrive adds a request, whose first starts are refused.
func (p *waitPlay) arrive(s waitStep) {
	w := new(waitCase)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	giveUpAt := time.Now().Add(s.Time)
	r := &queue.Request{Rank: s.Rank, Workspace: quota.ID(s.Workspace), Cost: 1, StartBy: giveUpAt, GiveUpAt: giveUpAt}
	p.all = append(p.all, w)
	try := func(now time.Time) (bool, error) {
		if w.refused || w.holds {
			p.wrong = "tried after its end"
		}
		if p.free > 0 {
			p.free--
			w.holds = true
			return true, nil
		}
		if w.refused = !now.Before(r.GiveUpAt); w.refused {
			return false, errRefused
		}
		return false, nil
	}
	refused := func() error {
		if w.refused || w.holds {
			p.wrong = "refused after its end"
		}
		if w.refused = w.blocked; w.refused {
			return errRefused
		}
		return nil
	}
	go func() {
		for starts := 0; ; starts++ {
			w.err = p.l.wait(ctx, r, &waiter{try: try, refused: refused})
			if w.err != nil || starts == s.RefusedStarts {
				w.done = true
				return
			}
			p.l.mu.Lock()
			p.free++
			w.holds = false
			p.l.mu.Unlock()
		}
	}()
}

func (p *waitPlay) step(s waitStep) {
	switch s.Kind {
	case 0, 1:
		p.arrive(s)
	case 2:
		p.l.mu.Lock()
		p.free, p.room = p.free+1, p.room+1
		p.l.mu.Unlock()
		if s.Wake {
			p.l.wakeSoon(time.Now())
		}
	case 3:
		if len(p.all) > 0 {
			p.all[s.Caller%len(p.all)].cancel()
		}
	case 4:
		time.Sleep(s.Time)
	case 5:
		if len(p.all) > 0 {
			p.l.mu.Lock()
			p.all[s.Caller%len(p.all)].blocked = true
			p.l.mu.Unlock()
		}
		p.l.refuse()
	}
}

// check returns what is wrong at the end.
func (p *waitPlay) check() string {
	held := 0
	for _, w := range p.all {
		w.cancel()
		if !w.done || (w.err == nil) != w.holds {
			return fmt.Sprintf("result %v, holds room %t, ended %t", w.err, w.holds, w.done)
		}
		if w.holds {
			held++
		}
	}
	if p.free+held != p.room || p.l.queue.Len() != 0 || len(p.l.waiters) != 0 {
		return fmt.Sprintf("%d free and %d held of %d, %d wait", p.free, held, p.room, p.l.queue.Len())
	}
	return p.wrong
}

// TestWaitListAgainstOracle: over any order of arrivals, callers that leave, refused starts,
// room that appears, wakes that are lost and requests that become blocked, each request must end once, never as refused after
// it started, and no room may be lost.
func TestWaitListAgainstOracle(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) waitStep {
		n := rapid.IntRange(0, 4)
		return waitStep{
			Kind: rapid.IntRange(0, 5).Draw(rt, "kind"), Caller: rapid.IntRange(0, 50).Draw(rt, "caller"), Rank: n.Draw(rt, "rank"), Workspace: n.Draw(rt, "workspace"),
			RefusedStarts: n.Draw(rt, "refused starts"), Time: time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond, Wake: rapid.Bool().Draw(rt, "wake"),
		}
	}), 1, 60)
	rapid.Check(t, func(rt *rapid.T) {
		list := steps.Draw(rt, "steps")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			p := &waitPlay{l: newWaitList(queue.ByUrgency)}
			for _, s := range list {
				p.step(s)
				synctest.Wait()
			}
			time.Sleep(300 * time.Millisecond)
			synctest.Wait()
			wrong = p.check()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
