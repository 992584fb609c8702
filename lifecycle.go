package ebonypulley

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Daemon is a process of the router, or a simulated process that stands in for one of
// its dependencies.
type Daemon interface {
	// Run serves until ctx ends, then stops at once. It returns nil if it
	// ended because of ctx or after Drain.
	Run(ctx context.Context) error
	// Drain refuses new work, completes work in progress and then makes Run
	// return. It blocks until that is done or ctx ends.
	Drain(ctx context.Context) error
}

// Reloader is a daemon that can reload its settings while it runs.
type Reloader interface {
	// Reload reads the settings again. On an error the former ones remain
	// active.
	Reload() error
}

// Bounded is a daemon whose drain must have ended the process within a time.
type Bounded interface {
	DrainBound() time.Duration
}

// Group runs functions concurrently. The first error cancels them all.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// NewGroup returns a group whose context ends with parent, on the first error
// or on Stop.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context of the group's functions.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs fn in a goroutine of the group. An error other than a cancellation ends the
// group's context.
func (g *Group) Go(fn func(ctx context.Context) error) {
	g.wg.Go(func() {
		err := fn(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		g.mu.Lock()
		g.errs = append(g.errs, err)
		g.mu.Unlock()
		g.cancel()
	})
}

// Stop ends the group's context without an error.
func (g *Group) Stop() { g.cancel() }

// Wait blocks until all functions have returned, and returns their joined errors.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(g.errs...)
}
