package router

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/estimate"
	"ebonypulley/poison"
)

// decodeAttempt is one attempt at a decode endpoint, and learns from the time to its
// first event.
type decodeAttempt struct {
	g        *generationRun
	endpoint *Endpoint
	watchdog *watchdog
	// work is the memory accounted at the endpoint, prefillWork the prompt while the
	// endpoint prefills it itself.
	work, prefillWork *Work
	// warm says that the endpoint probably caches the prompt. result is the prefill
	// result, or nil.
	warm   bool
	result *PrefillResult
	sentAt time.Time
	// prefillTokens counts the tokens of the prompt and of those queued before it at the
	// endpoint.
	prefillTokens int
	begun         bool
	// progress is how far the endpoint's answer has come since firstEventAt. survived is the deepest
	// depth that is recorded, poison.Beginning - 1 for none, outlived says that the answer is counted
	// as one that has outlived its beginning.
	progress     poison.Progress
	firstEventAt time.Time
	survived     poison.Depth
	outlived     bool
}

// stream delivers events until the end of the answer.
func (u *decodeAttempt) stream(ctx context.Context, s Stream) error {
	g := u.g
	if a := s.Failed(); a != nil {
		g.failedAnswer = a
		return errFailed.New("the endpoint reports a failure")
	}
	for {
		ev, err := s.Next()
		if err == io.EOF {
			u.recordWhole()
			return g.begin(s)
		}
		if err != nil {
			return err
		}
		if u.abandoned() {
			return ErrLost.New("the first event arrived after the attempt was abandoned")
		}
		u.learnFirstEvent()
		u.countEvent()
		u.watchdog.pause()
		if err := g.deliver(ctx, s, ev, u.endpoint); err != nil {
			return err
		}
		u.onEvent()
	}
}

// countEvent counts an event, and records what the answer has survived with it.
func (u *decodeAttempt) countEvent() {
	now := time.Now()
	if u.progress.Events == 0 {
		u.firstEventAt = now
		u.recordAlive(now)
	}
	u.progress.Events++
	u.progress.Lasted = now.Sub(u.firstEventAt)
	if d, ok := u.progress.Survived(); ok {
		u.recordSurvived(now, d)
	}
	if u.progress.Ran() {
		u.recordOutlived(now)
	}
}

// recordWhole records an answer that has come to its end.
func (u *decodeAttempt) recordWhole() {
	if u.progress.Events == 0 || !u.blamesParts() {
		return
	}
	now, d := time.Now(), u.progress.SurvivedWhole()
	u.recordSurvived(now, d)
	u.recordOutlived(now)
	if d < poison.Late {
		u.g.r.parts.RecordShort(now, u.endpoint.ID, u.g.c.ContentHash, u.g.c.PromptParts)
	}
}

// recordSurvived records a depth that the answer has survived, unless it is known already.
func (u *decodeAttempt) recordSurvived(now time.Time, d poison.Depth) {
	if u.blamesParts() && d > u.survived {
		u.survived = d
		u.g.r.parts.RecordSurvived(now, u.g.c.PromptParts, d)
	}
}

// recordOutlived counts the answer as one that has outlived its beginning, once.
func (u *decodeAttempt) recordOutlived(now time.Time) {
	if u.blamesParts() && !u.outlived {
		u.outlived = true
		u.g.r.parts.RecordOutlived(now)
	}
}

// recordAlive records that the endpoint answers.
func (u *decodeAttempt) recordAlive(now time.Time) {
	if !u.g.r.usesAgents() {
		u.g.r.parts.RecordAlive(now, u.endpoint.ID)
	}
}

// blamesParts reports whether a crash of the endpoint may be blamed on parts of the prompt.
func (u *decodeAttempt) blamesParts() bool { return len(u.g.c.PromptParts) > 0 && !u.g.r.usesAgents() }

// abandoned reports whether the watchdog ended the attempt before the caller received
// anything.
//
// An event may be in flight when the attempt is abandoned. Delivering it would begin an
// answer that is then truncated, where a failure or another attempt is still possible.
func (u *decodeAttempt) abandoned() bool { return !u.g.begun && u.watchdog.verdict() != undecided }

// onEvent accounts for a delivered event and resets the watchdog.
func (u *decodeAttempt) onEvent() {
	u.prefillWork.End()
	u.work.Grow(Load{KVTokens: u.g.c.stride()})
	if u.g.unplaced {
		return // the watchdog stays paused until the next event with a number
	}
	if u.g.mayContinueElsewhere() {
		u.watchdog.reset(u.g.eventLimits(u.endpoint))
	} else {
		u.watchdog.stop()
	}
}

// learnFirstEvent updates the estimates with the time to the first event.
func (u *decodeAttempt) learnFirstEvent() {
	if u.begun {
		return
	}
	u.begun = true
	u.learn(func(m *estimate.EngineModel, took time.Duration) {
		if u.result != nil {
			m.RecordHandoff(u.remoteDC(), took)
			return
		}
		m.RecordLocalPrefillTTFT(u.prefillTokens, took)
	})
}

// learnTimeout updates the estimates with the time waited, if the endpoint hung before its
// first event.
func (u *decodeAttempt) learnTimeout() {
	if u.begun || u.watchdog.verdict() != hanging {
		return
	}
	u.learn(func(m *estimate.EngineModel, took time.Duration) {
		if u.result != nil {
			m.RecordAbandonedHandoff(u.remoteDC(), took)
			return
		}
		m.RecordAbandonedLocalPrefill(u.prefillTokens, took)
	})
}

// learn updates the estimates of the service's engines. A cached prompt says nothing
// about the expected times.
func (u *decodeAttempt) learn(change func(m *estimate.EngineModel, took time.Duration)) {
	if u.warm || u.g.r.usesAgents() {
		return
	}
	took := time.Since(u.sentAt)
	u.g.r.loads.UpdateModel(u.g.c.Service, func(m *estimate.EngineModel) { change(m, took) })
}

// asUnreachable turns the error of an attempt that the watchdog ended while it was still
// connecting into ErrUnreachable: when an engine accepts no connection, the watchdog fires
// before the dial times out.
func (g *generationRun) asUnreachable(found func() verdict, err error) error {
	if found() != undecided && errorx.IsOfType(err, ErrNotSent) && !errorx.IsOfType(err, ErrUnreachable) {
		g.r.metrics.Add("attempts_withdrawn."+g.c.Service.Name, 1)
		return ErrUnreachable.Wrap(err, "abandoned while connecting")
	}
	return err
}

func (u *decodeAttempt) remoteDC() bool { return u.result.Endpoint.DataCentre != u.endpoint.DataCentre }
