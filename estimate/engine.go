package estimate

import "time"

// Promise holds the service level objectives (SLO) of a route as its operators set
// them. Estimates derive from them until there are samples: operators who promise
// a latency have engines that can keep it.
type Promise struct {
	// Target is the time to the first event.
	Target time.Duration
	// Gap is the longest time between two events; zero if none is promised.
	Gap time.Duration
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
	// priorMaxGap is the longest gap between events if none is promised.
	priorMaxGap = 300 * time.Millisecond
	// priorAnswerFraction is the fraction of the allowed tokens that an answer has.
	priorAnswerFraction = 0.5
	// priorDurationFraction is the fraction of the caller's time limit that an
	// answer lasts.
	priorDurationFraction = 0.25
)

// Engines models the speed of one service's engines, learned from all of them. The
// relative speed of a single engine is a factor that the caller applies. It is not
// safe for concurrent use.
type Engines struct {
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

// NewEngines returns a model without samples.
func NewEngines() *Engines {
	return &Engines{gap: LinearFit{Flat: true}}
}

// Time is an estimated duration: its mean, and how far above the mean an ordinary
// observation may lie.
type Time struct {
	Mean, Spread time.Duration
}

// High returns the longest duration that is still ordinary.
func (t Time) High() time.Duration { return t.Mean + t.Spread }

// Plus returns the sum of two estimates.
func (t Time) Plus(o Time) Time { return Time{Mean: t.Mean + o.Mean, Spread: t.Spread + o.Spread} }

// Times returns the estimate multiplied by a factor.
func (t Time) Times(factor float64) Time {
	return Time{Mean: time.Duration(float64(t.Mean) * factor), Spread: time.Duration(float64(t.Spread) * factor)}
}

func newTime(mean, spread float64) Time { return Time{Mean: duration(mean), Spread: duration(spread)} }

// Prompted records a prefill; tokens counts its own tokens and those queued before
// it.
func (e *Engines) Prompted(tokens int, took time.Duration) {
	e.prefill.Add(float64(tokens), milliseconds(took))
	if tokens > 0 {
		e.prefillPerToken.Add(milliseconds(took) / float64(tokens))
	}
}

// PromptLost records a prefill that was abandoned after a time.
func (e *Engines) PromptLost(tokens int, after time.Duration) {
	e.prefill.AddCensored(float64(tokens), milliseconds(after))
}

// Prompt returns the estimated duration of a prefill, including the wait for those
// queued before it; tokens counts the tokens of all of them, own those of the
// prompt itself.
func (e *Engines) Prompt(tokens, own int, slo Promise) Time {
	if e.prefill.Known() {
		return newTime(e.prefill.At(float64(tokens)), e.prefill.Spread())
	}
	mean := milliseconds(slo.Target) * priorPrefillFraction * float64(tokens) / float64(max(own, 1))
	return newTime(mean, mean)
}

// Alone returns the estimated time to the first event at a decode engine that does
// the prefill itself; tokens and own have the same meaning as for a prefill.
func (e *Engines) Alone(tokens, own int, slo Promise) Time {
	if e.localPrefill.Known() {
		return newTime(e.localPrefill.At(float64(tokens)), e.localPrefill.Spread())
	}
	return e.Prompt(tokens, own, slo).Times(max(e.Slowdown, 1)).Plus(e.Handoff(false, slo))
}

// BegunAlone records the time to the first event at a decode engine that did the
// prefill itself.
func (e *Engines) BegunAlone(tokens int, took time.Duration) {
	e.localPrefill.Add(float64(tokens), milliseconds(took))
}

// AloneLost records an attempt at such an engine that was abandoned before its
// first event.
func (e *Engines) AloneLost(tokens int, after time.Duration) {
	e.localPrefill.AddCensored(float64(tokens), milliseconds(after))
}

// handoffIndex returns the index of a handoff estimate: 0 within a data centre, 1
// between two.
func handoffIndex(far bool) int {
	if far {
		return 1
	}
	return 0
}

// Begun records the time from the end of the prefill to the first event, which
// includes the transfer of the KV cache; far reports that it came from another
// data centre.
func (e *Engines) Begun(far bool, took time.Duration) {
	e.handoff[handoffIndex(far)].Add(milliseconds(took))
}

// BeginLost records a handoff that was abandoned before the first event.
func (e *Engines) BeginLost(far bool, after time.Duration) {
	e.handoff[handoffIndex(far)].AddCensored(milliseconds(after))
}

// Handoff returns the estimated time from the end of the prefill to the first
// event. If there are samples only for the other value of far, it uses those.
func (e *Engines) Handoff(far bool, slo Promise) Time {
	m := &e.handoff[handoffIndex(far)]
	if !m.Known() {
		m = &e.handoff[handoffIndex(!far)]
	}
	prior := milliseconds(slo.Target) * priorHandoffFraction
	return newTime(m.Mean(prior), m.Spread(prior))
}

// Paused records the gap between two events of one of several streams at an engine
// that did no prefill meanwhile.
func (e *Engines) Paused(streams int, gap time.Duration) {
	e.gap.Add(float64(streams), milliseconds(gap))
}

// Disturbed records a gap during which the engine did a prefill.
func (e *Engines) Disturbed(streams int, gap time.Duration) {
	if !e.gap.Known() {
		return
	}
	e.interference.Add(max(milliseconds(gap)-e.gap.At(float64(streams)), 0))
}

// Pause returns the estimated gap between two events while the engine does no
// prefill.
func (e *Engines) Pause(streams int, slo Promise) Time {
	if e.gap.Known() {
		return newTime(e.gap.At(float64(streams)), e.gap.Spread())
	}
	prior := milliseconds(slo.maxGap()) * priorGapFraction
	return newTime(prior, prior)
}

// Crowd returns how much longer such a gap is for each additional stream.
func (e *Engines) Crowd() time.Duration {
	if !e.gap.Known() {
		return 0
	}
	return duration(e.gap.Slope())
}

// Disturbance returns how much a prefill of the given duration lengthens a gap of
// the streams at the same engine. Without samples, the whole prefill is assumed to
// fall between two events.
func (e *Engines) Disturbance(prefill time.Duration) time.Duration {
	if !e.interference.Known() {
		return prefill
	}
	return min(duration(e.interference.Mean(0)+e.interference.Spread(0)/spreadFactor), prefill)
}

// Ended records a complete answer; took is the time from its first to its last
// event.
func (e *Engines) Ended(tokens int, took time.Duration) {
	e.answerTokens.Add(float64(tokens))
	e.answerDuration.Add(milliseconds(took))
}

// Answer returns the expected number of tokens of an answer that may have up to
// allowed tokens.
func (e *Engines) Answer(allowed int) int {
	return min(int(e.answerTokens.Mean(priorAnswerFraction*float64(allowed))), allowed)
}

// Tokens returns the mean number of tokens of an answer; zero without samples.
func (e *Engines) Tokens() int { return int(e.answerTokens.Mean(0)) }

// TokenTime returns how long a prefill takes per token; zero without samples.
func (e *Engines) TokenTime() time.Duration { return duration(e.prefillPerToken.Value()) }

// Prompts returns the number of prefills recorded.
func (e *Engines) Prompts() int { return e.prefill.samples }

// minDurationSamples is the number of complete answers from which on their mean
// duration is used even if it is below the prior: the first answers to end are the
// shortest.
const minDurationSamples = 30

// Life returns the expected duration of an answer, from its first to its last
// event; wait is the caller's time limit.
func (e *Engines) Life(wait time.Duration) time.Duration {
	prior := milliseconds(wait) * priorDurationFraction
	if e.answerDuration.samples < minDurationSamples {
		return duration(max(e.answerDuration.Mean(prior), prior))
	}
	return duration(e.answerDuration.Mean(prior))
}

func (slo Promise) maxGap() time.Duration {
	if slo.Gap > 0 {
		return slo.Gap
	}
	return priorMaxGap
}
