package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/config"
	"ebonypulley/engine"
	"ebonypulley/event"
	"ebonypulley/wire"
)

const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = time.Second
	// downThreshold is the number of consecutive failed checks after which the
	// endpoint counts as down.
	downThreshold = 2
	// freeTimeout bounds one request that frees memory at an engine.
	freeTimeout       = time.Second
	freeRetryInterval = 100 * time.Millisecond
)

// health is the state of the endpoint as the agent last observed it.
type health struct {
	client   *http.Client
	trigger  chan struct{}
	down     bool
	epoch    uint64
	failures int
	// orphanCandidates are the engine's requests that had no job here at the
	// last check. Only the health loop uses it.
	orphanCandidates map[string]bool
}

func newHealth(client *http.Client) health {
	return health{client: client, trigger: make(chan struct{}, 1), down: true}
}

// checkNow triggers a health check without waiting for the next tick.
func (h *health) checkNow() {
	select {
	case h.trigger <- struct{}{}:
	default:
	}
}

// healthLoop checks the endpoint periodically and keeps its model and role as
// declared.
func (a *Agent) healthLoop(ctx context.Context) error {
	defer a.health.client.CloseIdleConnections()
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-a.health.trigger:
		}
		a.mu.Lock()
		ready, role, endpoint := a.worker != nil, a.pool.Role, a.endpoint
		a.mu.Unlock()
		if !ready {
			continue
		}
		checkCtx, cancel := context.WithTimeout(ctx, healthTimeout)
		epoch, err := a.check(checkCtx, role, endpoint)
		cancel()
		if ctx.Err() == nil {
			a.recordCheck(epoch, err)
		}
	}
}

func (a *Agent) check(ctx context.Context, role config.Role, e config.Endpoint) (uint64, error) {
	if role == config.Plain {
		return 0, a.checkPlain(ctx, e)
	}
	client := engine.NewClient(e.URL, a.health.client)
	if err := a.reconcileEngine(ctx, client); err != nil {
		return 0, err
	}
	if role == config.Decode {
		if err := a.freeOrphans(ctx, client); err != nil {
			return 0, err
		}
	}
	l, err := client.Load(ctx)
	return l.Epoch, err
}

func (a *Agent) checkPlain(ctx context.Context, e config.Endpoint) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/health", nil)
	if err != nil {
		return errorx.IllegalArgument.Wrap(err, "health")
	}
	resp, err := a.health.client.Do(req)
	if err != nil {
		return engine.ErrUnreachable.Wrap(err, "health")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return engine.ErrRefused.New("health: %d", resp.StatusCode)
	}
	return nil
}

func (a *Agent) recordCheck(epoch uint64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &a.health
	if err != nil {
		h.failures++
		if h.failures >= downThreshold && !h.down {
			h.down = true
			a.log.Emit(event.EndpointDown, event.Err(err))
			a.broadcastLoad()
		}
		return
	}
	h.failures = 0
	h.epoch = epoch
	if h.down {
		h.down = false
		a.log.Emit(event.EndpointUp)
		a.broadcastLoad()
	}
}

// errLoading is returned while the engine is still carrying out an order.
var errLoading = engine.ErrRefused.New("the engine is loading its model")

// errBusy is returned while an order waits for work in progress.
var errBusy = engine.ErrRefused.New("answers of the old model are still in progress")

// readyForOrder marks the endpoint as down, so that it gets no new work, and
// reports whether the work in progress has completed.
//
// Without this, a new model that an operator declares while answers are being
// generated would abort all of them at once.
func (a *Agent) readyForOrder() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.health.down = true
	return a.idle()
}

// reconcileEngine orders the engine to switch to the declared model and role if
// it has others. Only this agent sends orders to its engine. The fencing number
// is the wall-clock time of the agent's start, which grows across restarts
// without being stored.
//
// An agent may be paused while its endpoint is given to an agent on another VM,
// and order the old model back when it resumes. Engines that check the fencing
// number refuse that order, because the number of the paused agent is still
// that of its start. With other engines, the agent's listening port only
// prevents a second agent on the same VM.
func (a *Agent) reconcileEngine(ctx context.Context, client *engine.Client) error {
	state, err := client.State(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	want := engine.State{Model: a.model, Role: string(a.role())}
	a.mu.Unlock()
	if state.Model == want.Model && state.Role == want.Role {
		if state.Loading {
			return errLoading
		}
		return nil
	}
	if state.Model != "" && !a.readyForOrder() {
		return errBusy
	}
	order := engine.Order{Fence: a.fence, Model: want.Model, Role: want.Role}
	if err := client.SendOrder(ctx, order); err != nil {
		a.log.Emit(event.OrderRefused, event.Err(err))
		return err
	}
	a.log.Emit(event.OrderSent, zap.String("model", want.Model), zap.String("role", want.Role))
	return errLoading
}

// abortConfirmed frees what the engine holds for an attempt and returns when
// the engine has confirmed it; until then it repeats the request. The lease is
// kept meanwhile, because the memory may still be in use.
func (a *Agent) abortConfirmed(client *engine.Client, id wire.ID) {
	ctx := a.group.Context()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, freeTimeout)
		err := client.Abort(callCtx, id.String())
		cancel()
		if err == nil {
			return
		}
		ebonypulley.Sleep(ctx, freeRetryInterval)
	}
}

// spawn runs fn in the agent's group; fn must return when the group is stopped.
func (a *Agent) spawn(fn func()) {
	a.group.Go(func(context.Context) error {
		fn()
		return nil
	})
}

func isGone(err error) bool { return errorx.IsOfType(err, engine.ErrGone) }

// isProtocolError reports whether a connection ended because of a protocol
// violation rather than by closing or a network error.
func isProtocolError(err error) bool {
	var netErr net.Error
	closed := err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe) || errors.As(err, &netErr)
	return !closed
}
