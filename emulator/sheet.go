// Package emulator emulates a fleet of model engines. It runs in real time or in the virtual
// time of a test. The speed and capacity of its engines come from an EngineSpec, so that the
// router can be tested against engines whose figures it was not tuned for.
package emulator

import "time"

// EngineSpec is the performance of one kind of engine.
type EngineSpec struct {
	// Step is the duration of a decode step without streams; each stream in the batch adds
	// StepPerStream.
	Step, StepPerStream time.Duration
	// PrefillRate is the number of prompt tokens per millisecond that the prefill stage
	// computes. The decode stage computes half as many, in chunks of a quarter of the size.
	PrefillRate float64
	// ChunkTokens is the size of a prefill chunk in tokens.
	ChunkTokens int
	// FirstTokenDelay is the part of the time to first token that is not prefill, KV transfer
	// or a decode step.
	FirstTokenDelay time.Duration
	// KVCapacity is the KV memory in tokens, Slots the maximum number of streams in a batch,
	// and Stride the number of tokens per event.
	KVCapacity, Slots, Stride int
	// TransferSetup is the fixed time of a KV transfer, TransferRate its speed in tokens per
	// millisecond.
	TransferSetup time.Duration
	TransferRate  float64
	// ResultTTL is how long the result of a prefill is kept.
	ResultTTL time.Duration
	// StageSwitchTime is the time an idle engine takes to change its stage.
	StageSwitchTime time.Duration
}

// decodePrefillSlowdown is the factor by which prefill is slower on the decode stage, and
// decodeChunkDivisor the factor by which its chunks are smaller.
const (
	decodePrefillSlowdown = 2
	decodeChunkDivisor    = 4
)

// prefillTime returns the time in which the prefill stage computes this number of tokens.
func (s *EngineSpec) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillRate * float64(time.Millisecond))
}

// transferTime returns the duration of a KV transfer of this number of tokens.
func (s *EngineSpec) transferTime(tokens int) time.Duration {
	return s.TransferSetup + time.Duration(float64(tokens)/s.TransferRate*float64(time.Millisecond))
}

// stepTime returns the duration of one decode step with this number of streams and a prefill
// chunk of this size.
func (s *EngineSpec) stepTime(streams, chunk int) time.Duration {
	return s.Step + time.Duration(streams)*s.StepPerStream + decodePrefillSlowdown*s.prefillTime(chunk)
}

// Workload describes the expected generations, for capacity estimates.
type Workload struct {
	// Mean numbers of tokens.
	MeanPrompt, MeanAnswer int
}

// IdleTTFT returns the time to the first event on idle engines.
func (s *EngineSpec) IdleTTFT(prompt int) time.Duration {
	return s.prefillTime(prompt) + s.transferTime(prompt) + s.FirstTokenDelay + time.Duration(s.Stride)*s.stepTime(1, 0)
}

// Capacity returns the maximum rate of generations per second that this number of engines can
// serve, and the number of prefill engines at which they reach it.
func (s *EngineSpec) Capacity(engines int, w Workload) (rate float64, prefills int) {
	memory := float64(w.MeanPrompt) + float64(w.MeanAnswer)/2
	streams := min(int(float64(s.KVCapacity)/memory), s.Slots)
	duration := time.Duration(w.MeanAnswer) * s.stepTime(streams, 0)
	for p := 1; p < engines; p++ {
		prefillRate := float64(p) / s.prefillTime(w.MeanPrompt).Seconds()
		decodeRate := float64(engines-p) * float64(streams) / duration.Seconds()
		if feasible := min(prefillRate, decodeRate); feasible > rate {
			rate, prefills = feasible, p
		}
	}
	return rate, prefills
}
