package ebonypulley

import (
	"context"
	"errors"
	"sync"
)

// Daemon is one process of the system, or one of its stand-ins.
type Daemon interface {
	// Run serves until ctx ends, then stops at once. It returns nil when it
	// ended because of ctx or after Drain.
	Run(ctx context.Context) error
	// Drain stops taking new work, lets work in progress end whole, and then
	// makes Run return. It blocks until that is so or ctx ends.
	Drain(ctx context.Context) error
}

// Reloader is a daemon that can take changed settings while it runs.
type Reloader interface {
	// Reload reads the settings again. On an error the former ones stay in
	// force.
	Reload() error
}

// Group runs functions together: the first error ends them all.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// NewGroup returns a group whose context ends with parent, on the first error
// or by Stop.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context is the context that the group's functions run under.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts fn in the group.
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

// Wait blocks until all functions have returned and joins their errors.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(g.errs...)
}
