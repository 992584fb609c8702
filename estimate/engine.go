package estimate

import "time"

// SLO holds the service level objectives of a route as its operators set them.
// Estimates derive from them until there are samples: operators who set an
// objective have engines that can meet it.
type SLO struct {
	// Target is the time to the first event.
	Target time.Duration
	// MaxGap is the longest time between two events; zero if there is no such objective.
	MaxGap time.Duration
}

// Prior estimates, mostly as fractions of an SLO. Only their rough size matters:
// the first samples replace them.
const (
	// priorPrefillFraction is the fraction of the target that the prefill of the
	// request's own prompt takes.
	priorPrefillFraction = 0.25
	// priorHandoffFraction is the fraction of the target that the handoff takes.
	priorHandoffFraction = 0.125
	// priorGapFraction is the fraction of the longest gap between events that a
	// gap usually has.
	priorGapFraction = 0.125
	// priorMaxGap is the longest gap between events if the SLO sets none.
	priorMaxGap = 300 * time.Millisecond
	// priorAnswerFraction is the fraction of the allowed tokens that an answer has.
	priorAnswerFraction = 0.5
	// priorDurationFraction is the fraction of the caller's timeout that an answer
	// lasts.
	priorDurationFraction = 0.25
)

// EngineModel models the speed of one service's engines, learned from all of them. The
// relative speed of a single engine is a factor that the caller applies. It is not
// safe for concurrent use.
type EngineModel struct {
	// Slowdown is how many times as long a prefill takes on an engine of the
	// decode stage as on one of the prefill stage, as published. It is used until
	// there are samples.
	Slowdown float64

	prefill         LinearFit   // duration of a prefill, by the tokens queued before it and its own
	prefillPerToken LowQuantile // duration of a prefill per such token
	localPrefill    LinearFit   // time to the first event where the decode engine does the prefill, by the same tokens
	handoff         [2]Mean     // time from the end of the prefill to the first event, see handoffIndex
	gap             LinearFit   // gap between events without a concurrent prefill, by number of streams
	interference    Mean        // what a concurrent prefill adds to a gap
	answerTokens    Mean        // tokens of a complete answer
	answerDuration  Mean        // time from the first to the last event of a complete answer
}

// NewEngineModel returns a model without samples.
func NewEngineModel() *EngineModel {
	return &EngineModel{gap: LinearFit{Flat: true}}
}

// Duration is an estimated duration: its mean, and how far above the mean an ordinary
// observation may lie.
type Duration struct {
	Mean, Spread time.Duration
}

// UpperBound returns the longest duration that is still ordinary.
func (t Duration) UpperBound() time.Duration { return t.Mean + t.Spread }

// Add returns the sum of two estimates.
func (t Duration) Add(o Duration) Duration {
	return Duration{Mean: t.Mean + o.Mean, Spread: t.Spread + o.Spread}
}

// Scale returns the estimate multiplied by a factor.
func (t Duration) Scale(factor float64) Duration {
	return Duration{Mean: time.Duration(float64(t.Mean) * factor), Spread: time.Duration(float64(t.Spread) * factor)}
}

func newDuration(mean, spread float64) Duration {
	return Duration{Mean: duration(mean), Spread: duration(spread)}
}

// RecordPrefill records a prefill; tokens counts its own tokens and those queued before
// it.
func (e *EngineModel) RecordPrefill(tokens int, took time.Duration) {
	e.prefill.Add(float64(tokens), milliseconds(took))
	if tokens > 0 {
		e.prefillPerToken.Add(milliseconds(took) / float64(tokens))
	}
}

// RecordAbandonedPrefill records a prefill that was abandoned after a time.
func (e *EngineModel) RecordAbandonedPrefill(tokens int, after time.Duration) {
	e.prefill.AddCensored(float64(tokens), milliseconds(after))
}

// PrefillTime returns the estimated duration of a prefill, including the wait for those
// queued before it; tokens counts the tokens of all of them, own those of the
// prompt itself.
func (e *EngineModel) PrefillTime(tokens, own int, slo SLO) Duration {
	if e.prefill.Known() {
		return newDuration(e.prefill.At(float64(tokens)), e.prefill.Spread())
	}
	mean := milliseconds(slo.Target) * priorPrefillFraction * float64(tokens) / float64(max(own, 1))
	return newDuration(mean, mean)
}

// LocalPrefillTTFT returns the estimated time to the first event at a decode engine that
// does the prefill itself; tokens and own have the same meaning as for PrefillTime.
func (e *EngineModel) LocalPrefillTTFT(tokens, own int, slo SLO) Duration {
	if e.localPrefill.Known() {
		return newDuration(e.localPrefill.At(float64(tokens)), e.localPrefill.Spread())
	}
	return e.PrefillTime(tokens, own, slo).Scale(max(e.Slowdown, 1)).Add(e.HandoffTime(false, slo))
}

// RecordLocalPrefillTTFT records the time to the first event at a decode engine that did
// the prefill itself.
func (e *EngineModel) RecordLocalPrefillTTFT(tokens int, took time.Duration) {
	e.localPrefill.Add(float64(tokens), milliseconds(took))
}

// RecordAbandonedLocalPrefill records an attempt at a decode engine that did the prefill
// itself, abandoned before the first event.
func (e *EngineModel) RecordAbandonedLocalPrefill(tokens int, after time.Duration) {
	e.localPrefill.AddCensored(float64(tokens), milliseconds(after))
}

// handoffIndex returns the index of a handoff estimate: 0 within a data centre, 1
// between two.
func handoffIndex(remote bool) int {
	if remote {
		return 1
	}
	return 0
}

// RecordHandoff records the time from the end of the prefill to the first event, which
// includes the transfer of the KV cache; remote reports that it came from another
// data centre.
func (e *EngineModel) RecordHandoff(remote bool, took time.Duration) {
	e.handoff[handoffIndex(remote)].Add(milliseconds(took))
}

// RecordAbandonedHandoff records a handoff that was abandoned before the first event.
func (e *EngineModel) RecordAbandonedHandoff(remote bool, after time.Duration) {
	e.handoff[handoffIndex(remote)].AddCensored(milliseconds(after))
}

// HandoffTime returns the estimated time from the end of the prefill to the first
// event. If there are samples only for the other value of remote, it uses those.
func (e *EngineModel) HandoffTime(remote bool, slo SLO) Duration {
	m := &e.handoff[handoffIndex(remote)]
	if !m.Known() {
		m = &e.handoff[handoffIndex(!remote)]
	}
	prior := milliseconds(slo.Target) * priorHandoffFraction
	return newDuration(m.Mean(prior), m.Spread(prior))
}

// RecordGap records the gap between two events of one of several streams at an engine
// that did no prefill meanwhile.
func (e *EngineModel) RecordGap(streams int, gap time.Duration) {
	e.gap.Add(float64(streams), milliseconds(gap))
}

// RecordGapWithPrefill records a gap during which the engine did a prefill.
func (e *EngineModel) RecordGapWithPrefill(streams int, gap time.Duration) {
	if !e.gap.Known() {
		return
	}
	e.interference.Add(max(milliseconds(gap)-e.gap.At(float64(streams)), 0))
}

// EventGap returns the estimated gap between two events while the engine does no
// prefill.
func (e *EngineModel) EventGap(streams int, slo SLO) Duration {
	if e.gap.Known() {
		return newDuration(e.gap.At(float64(streams)), e.gap.Spread())
	}
	prior := milliseconds(slo.maxGap()) * priorGapFraction
	return newDuration(prior, prior)
}

// GapPerStream returns how much each additional stream lengthens the gap between two
// events; zero without samples.
func (e *EngineModel) GapPerStream() time.Duration {
	if !e.gap.Known() {
		return 0
	}
	return duration(e.gap.Slope())
}

// PrefillInterference returns how much a prefill of the given duration lengthens a gap of
// the streams at the same engine: one mean deviation more than the mean, and at most the
// prefill itself. Without samples, the whole prefill is assumed to fall between two
// events.
func (e *EngineModel) PrefillInterference(prefill time.Duration) time.Duration {
	if !e.interference.Known() {
		return prefill
	}
	return min(duration(e.interference.Mean(0)+e.interference.Spread(0)/spreadFactor), prefill)
}

// RecordAnswer records a complete answer; took is the time from its first to its last
// event.
func (e *EngineModel) RecordAnswer(tokens int, took time.Duration) {
	e.answerTokens.Add(float64(tokens))
	e.answerDuration.Add(milliseconds(took))
}

// ExpectedTokens returns the expected number of tokens of an answer that may have up to
// allowed tokens.
func (e *EngineModel) ExpectedTokens(allowed int) int {
	return min(int(e.answerTokens.Mean(priorAnswerFraction*float64(allowed))), allowed)
}

// MeanTokens returns the mean number of tokens of an answer; zero without samples.
func (e *EngineModel) MeanTokens() int { return int(e.answerTokens.Mean(0)) }

// PrefillTimePerToken returns how long a prefill engine is busy per prompt token, as a low
// quantile of the samples; zero without samples.
func (e *EngineModel) PrefillTimePerToken() time.Duration { return duration(e.prefillPerToken.Value()) }

// PrefillSamples returns the number of prefills recorded.
func (e *EngineModel) PrefillSamples() int { return e.prefill.samples }

// minDurationSamples is the number of complete answers from which on their mean
// duration is used even if it is below the prior: the first answers to end are the
// shortest.
const minDurationSamples = 30

// AnswerDuration returns the expected duration of an answer, from its first to its last
// event; timeout is the caller's timeout.
func (e *EngineModel) AnswerDuration(timeout time.Duration) time.Duration {
	prior := milliseconds(timeout) * priorDurationFraction
	if e.answerDuration.samples < minDurationSamples {
		return duration(max(e.answerDuration.Mean(prior), prior))
	}
	return duration(e.answerDuration.Mean(prior))
}

func (slo SLO) maxGap() time.Duration {
	if slo.MaxGap > 0 {
		return slo.MaxGap
	}
	return priorMaxGap
}
