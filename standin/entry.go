package standin

// WorkerEntry is the entry that a worker of the platform publishes about itself
// in the store.
type WorkerEntry struct {
	Service string `json:"service"`
	// Address is the worker's IP:port.
	Address string `json:"address"`
	// Zone is the worker's data centre.
	Zone string `json:"zone"`
	// Version is the version of the worker's software.
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// ColdLeftMs is the time left, in milliseconds, for which the worker is slow
	// after its start.
	ColdLeftMs int `json:"cold_left_ms"`
	// Sequence counts the worker's heartbeats.
	Sequence int `json:"sequence"`
	// Stage is empty for plain services.
	Stage string `json:"stage,omitempty"`
	// StartedAtMs is the worker's start time in Unix milliseconds; it is omitted if zero.
	StartedAtMs int64 `json:"born,omitempty"`
}

// NewWorkerEntry returns the entry of a ready worker in the first data centre.
func NewWorkerEntry(service, address, stage string) WorkerEntry {
	return WorkerEntry{Service: service, Address: address, Zone: "dc-1", Version: "v1", Slots: 6, State: "ready", Stage: stage}
}

// Draining returns the entry of the same worker while it is draining: it accepts
// no new work.
func (e WorkerEntry) Draining() WorkerEntry {
	e.State = "draining"
	return e
}
