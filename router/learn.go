package router

import (
	"time"

	"ebonypulley/estimate"
)

// The speeds of engines are learned rather than configured. A figure that suits one
// deployment makes the router at another abandon work in progress and send it again,
// until all engines are busy with abandoned work. Package estimate learns the speed of a
// service's engines; the code here also learns how each engine compares with the others.

// engineModel returns the model of a service's engines. The caller holds l.mu.
func (l *LoadTracker) engineModel(s *Service) *estimate.EngineModel {
	m := l.engineModels[s.Name]
	if m == nil {
		m = estimate.NewEngineModel()
		l.engineModels[s.Name] = m
	}
	if s.Engine != nil {
		m.Slowdown = s.Engine.LocalPrefillSlowdown
	}
	return m
}

// EngineModel returns a copy of the model of a service's engines.
func (l *LoadTracker) EngineModel(s *Service) estimate.EngineModel {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.engineModel(s)
}

// UpdateModel calls change with the model of a service's engines. It holds the lock meanwhile.
func (l *LoadTracker) UpdateModel(s *Service, change func(m *estimate.EngineModel)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.engineModel(s))
}

// RecordPrefill records the duration of a prefill of this many tokens, including those
// queued before it.
func (l *LoadTracker) RecordPrefill(now time.Time, e *Endpoint, s *Service, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.healthOf(now, e.ID)
	h.failureRate *= 1 - failureWeight
	h.recordSuccess(now)
	m := l.engineModel(s)
	m.RecordPrefill(tokens, took)
	l.learnSlowdown(now, e.ID, took, m.PrefillTime(tokens, tokens, estimate.SLO{}).Mean)
}

// RecordGap records a gap between two events of a stream, without prefill interference,
// at an engine that runs this many streams.
func (l *LoadTracker) RecordGap(now time.Time, e *Endpoint, s *Service, streams int, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.engineModel(s)
	m.RecordGap(streams, gap)
	h := l.healthOf(now, e.ID)
	if expected := m.EventGap(streams, estimate.SLO{}).Mean; expected > 0 {
		ratio := float64(gap) / float64(expected) / l.learnPace(now, e.ID, gap, float64(gap)/(float64(expected)*h.stepSlowdown))
		h.stepSlowdown += (ratio - h.stepSlowdown) * gapWeight
		l.showCold(now, e.ID, gapWeight)
	}
}

// RecordCall records a successful plain call and its duration.
func (l *LoadTracker) RecordCall(now time.Time, e *Endpoint, took time.Duration) {
	l.RecordSuccess(now, e.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.callModel(e.Service)
	m.Add(float64(took))
	l.learnSlowdown(now, e.ID, took, time.Duration(m.Mean(0)))
}

// learnSlowdown updates an endpoint's slowdown with an observed duration and the one expected
// at the service's endpoints. The caller holds l.mu.
func (l *LoadTracker) learnSlowdown(now time.Time, endpoint string, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	h := l.healthOf(now, endpoint)
	ratio := float64(took) / float64(expected)
	factor := l.learnPace(now, endpoint, took, ratio/h.slowdown)
	h.lasting = l.paces.Says(endpoint)
	h.updateSlowdown(ratio / factor)
	l.showCold(now, endpoint, sampleWeight)
}

// learnPace records that work, which ended now, took ratio times as long as expected at the
// endpoint's usual pace. It returns how much longer it took because of the pace. The caller
// holds l.mu.
func (l *LoadTracker) learnPace(now time.Time, endpoint string, took time.Duration, ratio float64) float64 {
	began := now.Add(-took)
	factor, told := l.paces.During(began, now, endpoint)
	if told {
		l.paces.Learn(began, now, endpoint, ratio)
	}
	return factor
}

// callModel returns the estimate of a service's call duration in nanoseconds. The caller
// holds l.mu.
func (l *LoadTracker) callModel(service string) *estimate.Mean {
	m := l.callTimes[service]
	if m == nil {
		m = new(estimate.Mean)
		l.callTimes[service] = m
	}
	return m
}

// CallTime returns the expected duration of a service's plain calls.
func (l *LoadTracker) CallTime(service string, target time.Duration) estimate.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.callModel(service)
	prior := float64(target) * priorCallFraction
	return estimate.Duration{Mean: time.Duration(m.Mean(prior)), Spread: time.Duration(m.Spread(prior))}
}

// priorCallFraction is the fraction of its latency target that a plain call is assumed to
// take until one was observed.
const priorCallFraction = 0.25

// slo returns the latency objectives of the call's route.
func (c *Call) slo() estimate.SLO {
	return estimate.SLO{Target: c.Route.LatencyTarget, MaxGap: c.Route.MaxGap}
}
