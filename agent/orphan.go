package agent

import (
	"context"

	"go.uber.org/zap"

	"ebonypulley/engine"
	"ebonypulley/event"
)

// freeOrphans aborts requests that the engine holds and this agent has no job
// for. A request is aborted only if two consecutive checks found it, because a
// check may overlap with an import that has just begun.
//
// An agent that crashes leaves its requests in the engine. Their memory is then
// neither under a lease nor freed by anybody. All work for the engine passes
// through this agent, so no caller waits for a request without a job here.
func (a *Agent) freeOrphans(ctx context.Context, client *engine.Client) error {
	list, err := client.Requests(ctx)
	if err != nil {
		return err
	}
	unknown := a.unknownRequests(list.IDs)
	for id := range unknown {
		if !a.health.orphanCandidates[id] {
			continue
		}
		a.log.Emit(event.OrphanFreed, zap.String("attempt", id))
		if err := client.Abort(ctx, id); err != nil {
			return err
		}
	}
	a.health.orphanCandidates = unknown
	return nil
}

// unknownRequests returns those of the engine's requests that have no job here.
func (a *Agent) unknownRequests(ids []string) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	unknown := make(map[string]bool)
	for _, id := range ids {
		unknown[id] = true
	}
	if w, ok := a.worker.(*decodeWorker); ok {
		for id := range w.jobs {
			delete(unknown, id.String())
		}
	}
	return unknown
}
