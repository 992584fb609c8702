package router

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonypulley"
	"ebonypulley/event"
	"ebonypulley/release"
)

// versionRetryDelay is when a caller should resume at another entry that may know the version
// of its stream: entries tell each other at least so often.
const versionRetryDelay = 500 * time.Millisecond

var (
	// errVersionUnknown is returned for a stream that can't go on here because it is unknown at
	// which software version it began.
	errVersionUnknown = ErrNotRun.NewSubtype("version-unknown")
	// errVersionGone is returned for a stream whose software version no endpoint has any more.
	errVersionGone = ErrNotRun.NewSubtype("version-gone")
)

// setVersions tells the tracker of versions which endpoints are published.
func (r *Router) setVersions(now time.Time, d *Directory) {
	for name := range d.services {
		endpoints := d.Endpoints(name, Decode)
		list := make([]release.Endpoint, 0, len(endpoints))
		for _, e := range endpoints {
			list = append(list, release.Endpoint{ID: e.ID, Version: e.SoftwareVersion})
		}
		r.releases.SetEndpoints(now, name, list)
	}
}

// softwareVersions returns the software versions of endpoints.
func softwareVersions(endpoints []*Endpoint) (versions []string) {
	for _, e := range endpoints {
		if !slices.Contains(versions, e.SoftwareVersion) {
			versions = append(versions, e.SoftwareVersion)
		}
	}
	return versions
}

// beginnerID returns the ID of the request that brings, or brought, the first event of the
// stream; empty if unknown.
func (c *Call) beginnerID() string {
	if c.ResumeAfter == NoEvent {
		return c.ID
	}
	return c.Resumes
}

// tracksVersion reports whether the stream may go on after it broke off.
func (g *generationRun) tracksVersion() bool { return g.c.Route.Resumable && !g.r.usesAgents() }

// chooseVersion chooses the software version of a new stream, and finds that of one that the
// caller resumes.
func (g *generationRun) chooseVersion(ctx context.Context) error {
	if !g.tracksVersion() {
		return nil
	}
	if g.c.ResumeAfter == NoEvent {
		g.updateVersion()
		return nil
	}
	f := g.findVersion(ctx)
	g.recordFinding(f)
	if !f.Found() {
		return errVersionUnknown.New("it is unknown at which software version %q began", g.c.Resumes)
	}
	g.version, g.versionFixed = f.Version, true
	return nil
}

// findVersion finds the software version of the stream that the caller resumes. What is unknown
// may become known once this entry is in step, or while it is recovered from engines, or from what
// they still have cached.
func (g *generationRun) findVersion(ctx context.Context) release.Finding {
	var f release.Finding
	find := func() bool {
		f = g.r.releases.Find(time.Now(), release.Query{
			Service: g.c.Service.Name, Request: g.c.Resumes, Session: g.c.Session,
			After: g.earliestBegin(), Before: g.c.ReceivedAt,
		})
		return f.Found()
	}
	if find(); f.Behind {
		g.r.awaitInStep(ctx, func() bool { return find() || !f.Behind })
	}
	if !f.Found() {
		g.r.recovery.await(ctx, find)
	}
	if !f.Found() && !f.Behind {
		if version, ok := g.r.cachedVersion(ctx, g.c); ok {
			f.Version, f.Source = version, release.Cached
		}
	}
	return f
}

const (
	// maxBehindWait bounds how long a request waits until this entry knows what is published now;
	// its caller may resume at another one then.
	maxBehindWait = 400 * time.Millisecond
	// behindPollInterval is the interval at which it looks.
	behindPollInterval = 5 * time.Millisecond
)

// awaitInStep asks for what is published now until inStep returns true.
func (r *Router) awaitInStep(ctx context.Context, inStep func() bool) {
	defer r.releases.Await()()
	ctx, cancel := context.WithTimeout(ctx, maxBehindWait)
	defer cancel()
	for began := time.Now(); ; {
		r.OnBehind()
		if !ebonypulley.Sleep(ctx, behindPollInterval) || inStep() {
			r.metrics.Histogram("version_in_step").Record(time.Since(began))
			return
		}
	}
}

// recordFinding counts and logs how the version of a resumed stream was found.
func (g *generationRun) recordFinding(f release.Finding) {
	g.r.metrics.Add("version_"+string(f.Source), 1)
	now := time.Now()
	g.r.log.Emit(event.VersionFound, zap.String("request", g.c.ID), zap.String("resumes", g.c.Resumes), zap.String("service", g.c.Service.Name),
		zap.String("software", f.Version), zap.String("source", string(f.Source)), zap.Int64("after", g.c.ResumeAfter),
		zap.Duration("known_for", timeSince(g.c.ReceivedAt, f.Since, 0)), zap.Duration("began_within", timeSince(g.c.ReceivedAt, g.earliestBegin(), -time.Second)),
		zap.Bool("behind", f.Behind), zap.Duration("current_ago", timeSince(now, f.Current, -time.Second)), zap.Duration("checked_ago", timeSince(now, f.Checked, -time.Second)))
}

// timeSince returns the time since at, or another value if at is the zero time.
func timeSince(now, at time.Time, otherwise time.Duration) time.Duration {
	if at.IsZero() {
		return otherwise
	}
	return now.Sub(at)
}

// earliestBegin returns when the caller's stream began at the earliest: with the caller's first
// attempt, whose timeout was no longer than that of the route, then or now, or the longest seen. What was left of
// it when this attempt was sent doesn't tell, as the attempt may have waited in a connection. The
// zero time says that it is unknown.
func (g *generationRun) earliestBegin() time.Time {
	if !g.r.knowsTimeouts(g.c) {
		return time.Time{}
	}
	return g.c.ReceivedAt.Add(-max(g.r.longestTimeout(g.c), g.c.Route.Timeout, g.currentTimeout()))
}

// currentTimeout returns the timeout of the call's route by what is published now: that of the call
// is from when it was read.
func (g *generationRun) currentTimeout() time.Duration {
	if route := g.r.Directory().Route(g.c.Route.Host, g.c.Route.Prefix); route != nil {
		return route.Timeout
	}
	return 0
}

// fixVersion records at which software version the stream goes on from now on.
func (g *generationRun) fixVersion(at *Endpoint) {
	if g.tracksVersion() {
		g.version, g.versionFixed = at.SoftwareVersion, true
	}
}

// announceVersion records that a stream is about to begin at an endpoint, so that other entries
// hear of it before its caller has the first event.
func (g *generationRun) announceVersion(at *Endpoint) {
	if id := g.c.beginnerID(); id != "" && g.tracksVersion() {
		g.r.releases.Begin(time.Now(), g.earliestBegin(), g.c.Service.Name, id, at.SoftwareVersion)
	}
}

// endVersion records that the stream no longer runs at this entry.
func (g *generationRun) endVersion() {
	if id := g.c.beginnerID(); id != "" && g.tracksVersion() {
		g.r.releases.End(id)
	}
}

// versionGone reports whether the stream can go on only at a software version that no endpoint
// has, although there are others.
func (g *generationRun) versionGone() bool { return g.versionFixed && g.lacksVersion() }

// lacksVersion reports whether there are endpoints, and none has the software version.
func (g *generationRun) lacksVersion() bool {
	if g.version == "" {
		return false
	}
	endpoints := g.r.Directory().Endpoints(g.c.Service.Name, Decode)
	return len(endpoints) > 0 && !slices.ContainsFunc(endpoints, func(e *Endpoint) bool { return e.SoftwareVersion == g.version })
}
