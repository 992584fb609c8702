package entry

import (
	"ebonypulley/invariant"
	"ebonypulley/metrics"
)

// Stats is what expvar shows of an entry.
type Stats struct {
	Name           string           `json:"name"`
	DataCentre     string           `json:"data_centre"`
	Generation     uint64           `json:"generation"`
	Draining       bool             `json:"draining"`
	ReadyEndpoints int              `json:"ready_endpoints"`
	Violations     int64            `json:"violations"`
	Metrics        metrics.Snapshot `json:"metrics"`
}

// Stats returns the current figures.
func (e *Entry) Stats() Stats {
	return Stats{
		Name:           e.set.Name,
		DataCentre:     e.set.DataCentre,
		Generation:     e.store.Generation(),
		Draining:       e.draining.Load(),
		ReadyEndpoints: e.ReadyEndpoints(),
		Violations:     invariant.Violations(),
		Metrics:        e.metrics.Snapshot(),
	}
}
