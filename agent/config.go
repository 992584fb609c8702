package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonypulley/attempt"
	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/lease"
	"ebonypulley/source"
)

// peerSilenceLimit is after how long without a heartbeat from any entry the
// agent reads the configuration service itself.
const peerSilenceLimit = 5 * time.Second

// watchConfigService reads the configuration service while no entry is
// connected. Normally entries send the document, so that thousands of agents do
// not poll the service.
func (a *Agent) watchConfigService(ctx context.Context) error {
	w := source.ConfigWatcher{
		URL:   a.settings.ConfigService,
		Store: a.store,
		Log:   a.log,
		HTTP:  a.health.client,
		ShouldRead: func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return time.Since(a.lastHeartbeat) > peerSilenceLimit
		},
	}
	return w.Run(ctx)
}

func (a *Agent) configLoop(ctx context.Context) error {
	changed := a.store.Watch()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			a.configure(a.store.Current().Document)
		}
	}
}

// configure applies a configuration document.
func (a *Agent) configure(doc *config.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := doc.Endpoint(a.settings.Name)
	if e == nil {
		a.remove()
		return
	}
	a.readmit()
	pool := doc.Pool(e.Pool)
	a.endpoint = *e
	a.pool = *pool
	a.setModel(doc.Service(pool.Service).Model)
	if a.leases == nil {
		a.leases = lease.NewTable(capacityOf(pool), doc.Limits.LeaseTTL.D())
		a.startWorker()
	}
	a.leases.Configure(capacityOf(pool), doc.Limits.LeaseTTL.D())
	if w, ok := a.worker.(*plainWorker); ok {
		w.configure(doc)
	}
	a.health.checkNow()
}

// setModel changes the declared model. The agent takes no new work until the
// engine serves it; answers of the old model complete first.
func (a *Agent) setModel(model string) {
	if a.model == model {
		return
	}
	a.model = model
	if a.worker != nil {
		a.health.down = true
		a.broadcastLoad()
	}
}

func capacityOf(p *config.Pool) lease.Capacity {
	return lease.Capacity{Requests: p.MaxRequests, Tokens: p.KVCapacity, Headroom: p.Headroom, Queue: p.MaxQueue}
}

// remove refuses new work when the configuration document no longer declares
// this endpoint. Work in progress completes.
func (a *Agent) remove() {
	if a.removed {
		return
	}
	a.removed = true
	a.log.Emit(event.EndpointRemoved, zap.Uint64("generation", a.store.Generation()))
	a.drainLeases()
	a.broadcastLoad()
}

func (a *Agent) readmit() {
	if !a.removed {
		return
	}
	a.removed = false
	if a.leases != nil && !a.draining {
		a.leases.Open()
	}
	a.broadcastLoad()
}

// startWorker creates the worker of the declared role.
func (a *Agent) startWorker() {
	switch a.pool.Role {
	case config.Prefill:
		a.worker = newPrefillWorker(a, a.endpoint.URL)
	case config.Decode:
		a.worker = newDecodeWorker(a, a.endpoint.URL)
	default:
		a.worker = newPlainWorker(a, a.endpoint.URL, a.store.Current().Document)
	}
}

// role returns the role of the current worker.
func (a *Agent) role() config.Role {
	switch a.worker.(type) {
	case *prefillWorker:
		return config.Prefill
	case *decodeWorker:
		return config.Decode
	default:
		return config.Plain
	}
}

// roleChangePending reports whether the declared role differs from that of the
// current worker.
func (a *Agent) roleChangePending() bool { return a.worker != nil && a.role() != a.pool.Role }

// switchRole switches to the declared role once all work of the old role has
// completed.
func (a *Agent) switchRole() {
	if a.roleChangePending() && a.idle() {
		a.startWorker()
		a.health.checkNow()
		a.broadcastLoad()
	}
}

// linkRate returns the rate, in bytes per second, of the link from an
// endpoint's data centre to this one.
func (a *Agent) linkRate(endpoint string) float64 {
	link := a.store.Current().Document.Link(a.dataCentreOf(endpoint), a.settings.DataCentre)
	if link == nil {
		return undeclaredLinkRate
	}
	return link.MBytesPerSecond * bytesPerMB
}

const (
	bytesPerMB = 1e6
	// undeclaredLinkRate is assumed between data centres that have no declared
	// link: 1 GB/s.
	undeclaredLinkRate = 1e9
)

func (a *Agent) dataCentreOf(endpoint string) string {
	if e := a.store.Current().Document.Endpoint(endpoint); e != nil {
		return e.DataCentre
	}
	return ""
}

func keyLimits(doc *config.Document) attempt.KeyLimits {
	return attempt.KeyLimits{
		Window:  doc.Limits.IdempotencyWindow.D(),
		MaxKeys: doc.Limits.MaxIdempotencyKeys,
	}
}
