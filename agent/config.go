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

// peerSilence is after how long without any entry the agent reads the
// configuration service itself.
const peerSilence = 5 * time.Second

// watchService follows the configuration service while no entry is
// connected. Normally entries bring the document, so that the service does
// not see thousands of agents.
func (a *Agent) watchService(ctx context.Context) error {
	w := source.Watcher{
		URL:   a.set.ConfigService,
		Store: a.store,
		Log:   a.log,
		HTTP:  a.health.client,
		Needed: func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return time.Since(a.peerSeen) > peerSilence
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

// configure puts a document in force here.
func (a *Agent) configure(doc *config.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := doc.Endpoint(a.set.Name)
	if e == nil {
		a.remove()
		return
	}
	a.readmit()
	pool := doc.Pool(e.Pool)
	a.endpoint = *e
	a.pool = *pool
	a.setModel(doc.Service(pool.Service).Model)
	if a.gate == nil {
		a.gate = lease.NewTable(capacityOf(pool), doc.Limits.LeaseTTL.D())
		a.startWorker()
	}
	a.gate.Configure(capacityOf(pool), doc.Limits.LeaseTTL.D())
	if w, ok := a.worker.(*plainWorker); ok {
		w.configure(doc)
	}
	a.health.wake()
}

// setModel changes the declared model. Until the engine serves it, nothing new
// is taken; answers of the old model end whole first.
func (a *Agent) setModel(model string) {
	if a.model == model {
		return
	}
	a.model = model
	if a.worker != nil {
		a.health.down = true
		a.tellAll()
	}
}

func capacityOf(p *config.Pool) lease.Capacity {
	return lease.Capacity{Requests: p.Requests, Tokens: p.Tokens, Headroom: p.Headroom, Queue: p.Queue}
}

// remove stops new work when the document no longer declares this endpoint;
// work in progress ends whole.
func (a *Agent) remove() {
	if a.removed {
		return
	}
	a.removed = true
	a.log.Emit(event.EndpointRemoved, zap.Uint64("generation", a.store.Generation()))
	a.closeGate()
	a.tellAll()
}

func (a *Agent) readmit() {
	if !a.removed {
		return
	}
	a.removed = false
	if a.gate != nil && !a.draining {
		a.gate.Open()
	}
	a.tellAll()
}

// startWorker begins the work of the declared role.
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

// role returns the role that the worker does now.
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

// switching reports whether another role is declared than the one done now.
func (a *Agent) switching() bool { return a.worker != nil && a.role() != a.pool.Role }

// switchRole changes the role once the work of the old one has ended whole.
func (a *Agent) switchRole() {
	if a.switching() && a.quiet() {
		a.startWorker()
		a.health.wake()
		a.tellAll()
	}
}

// linkRate returns the rate in bytes a second that the link from an
// endpoint's data centre allows this one.
func (a *Agent) linkRate(endpoint string) float64 {
	link := a.store.Current().Document.Link(a.dataCentreOf(endpoint), a.set.DataCentre)
	if link == nil {
		return undeclaredLinkRate
	}
	return link.MBytesPerSecond * bytesPerMB
}

const (
	bytesPerMB = 1e6
	// undeclaredLinkRate is used between data centres without a declared
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
		Window: doc.Limits.IdempotencyWindow.D(),
		Count:  doc.Limits.IdempotencyKeys,
	}
}
