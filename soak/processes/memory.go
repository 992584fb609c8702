package processes

import (
	"slices"
	"sync"

	"ebonypulley/standin"
)

const (
	// memoryTokens is the memory of a worker in tokens.
	memoryTokens = 60_000
	// maxCachedParts is how many prompt parts a worker keeps.
	maxCachedParts = 128
)

// memory holds the runs of one incarnation of a worker and the prompt parts that it keeps.
type memory struct {
	mu   sync.Mutex
	runs map[string]standin.EngineRun // by attempt ID
	// parts are the parts kept, the most recently used last.
	parts []standin.PromptPart
}

func newMemory() *memory { return &memory{runs: make(map[string]standin.EngineRun)} }

// begin records that an attempt begins to run.
func (m *memory) begin(c standin.WorkerHeaders) {
	tokens := 0
	for _, p := range c.PromptParts {
		tokens += p.Tokens
	}
	m.cache(c.PromptParts)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[c.AttemptID] = standin.EngineRun{AttemptID: c.AttemptID, Tokens: tokens, Events: c.LastEvent}
}

// setEvents records how many events of a stream have been made.
func (m *memory) setEvents(id string, events int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if run, ok := m.runs[id]; ok {
		run.Events = events
		m.runs[id] = run
	}
}

// end records that an attempt no longer runs. Its prompt stays.
func (m *memory) end(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.runs, id)
}

// cache records the use of prompt parts; the least recently used ones yield.
func (m *memory) cache(parts []standin.PromptPart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parts = slices.DeleteFunc(m.parts, func(p standin.PromptPart) bool { return slices.Contains(parts, p) })
	m.parts = append(m.parts, parts...)
	m.parts = slices.Delete(m.parts, 0, max(0, len(m.parts)-maxCachedParts))
}

// state returns what the worker tells of its memory.
func (m *memory) state(stage string, capacity int) standin.EngineMemory {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := standin.EngineMemory{Stage: stage, Capacity: capacity, Cached: slices.Clone(m.parts)}
	for _, run := range m.runs {
		s.Runs = append(s.Runs, run)
	}
	return s
}

// currentMemory returns the memory of the current incarnation.
func (k *worker) currentMemory() *memory {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.memory
}
