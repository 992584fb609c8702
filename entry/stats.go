package entry

import (
	"ebonypulley/invariant"
	"ebonypulley/metrics"
)

// Stats is the state of an entry that expvar publishes.
type Stats struct {
	Name           string           `json:"name"`
	DataCentre     string           `json:"data_centre"`
	Generation     uint64           `json:"generation"`
	Draining       bool             `json:"draining"`
	ReadyEndpoints int              `json:"ready_endpoints"`
	Violations     int64            `json:"violations"`
	Metrics        metrics.Snapshot `json:"metrics"`
}

// Stats returns the entry's current statistics.
func (e *Entry) Stats() Stats {
	return Stats{
		Name:           e.settings.Name,
		DataCentre:     e.settings.DataCentre,
		Generation:     e.store.Generation(),
		Draining:       e.draining.Load(),
		ReadyEndpoints: e.ReadyEndpoints(),
		Violations:     invariant.Violations(),
		Metrics:        e.metrics.Snapshot(),
	}
}
