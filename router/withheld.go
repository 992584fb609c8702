package router

import (
	"context"
	"time"

	"ebonypulley/release"
)

// errUnheard is returned for an attempt at another version than other entries would resume the stream
// at, if not all of them have heard of it in time. Nothing was sent to the decode endpoint.
var errUnheard = ErrNotRun.NewSubtype("version-unheard")

// withholdVersion tells other entries that the stream may begin at another version than they work
// out, if it is to begin at such an endpoint.
func (g *generationRun) withholdVersion(at *Endpoint) *release.Withheld {
	g.versionFrom = nil // the versions of a directory are known a moment after it
	g.updateVersion()
	if !g.differs(at) {
		return nil
	}
	w := g.r.releases.Withhold(time.Now(), g.c.Service.Name, g.c.beginnerID())
	return &w
}

// updateVersion chooses the version of a stream that has not begun, if there were no several versions
// when it was last placed, or no endpoint has the one chosen any more.
func (g *generationRun) updateVersion() {
	d := g.r.Directory()
	if d == g.versionFrom || g.versionFixed || !g.tracksVersion() {
		return
	}
	g.versionFrom = d
	if g.version == "" || g.lacksVersion() {
		g.version = g.r.releases.Preferred(g.c.Service.Name, g.c.beginnerID())
	}
}

// differs reports whether a stream that has not begun would begin at an endpoint at another version
// than other entries work out.
func (g *generationRun) differs(at *Endpoint) bool {
	return g.tracksVersion() && g.c.beginnerID() != "" && !g.versionFixed && g.version != "" && g.version != at.SoftwareVersion
}

// awaitHeard waits until all other entries have heard of a withheld version; nil is none. From then on
// the stream is to be at the version of the endpoint: another change of it has to be heard again.
func (g *generationRun) awaitHeard(ctx context.Context, w *release.Withheld, at *Endpoint) error {
	if w == nil || w.IsZero() {
		return nil
	}
	began := time.Now()
	if !g.r.releases.AwaitHeard(ctx, *w) {
		if ctx.Err() == nil {
			g.unheard = true
			g.r.metrics.Add("version_unheard", 1)
		}
		return errUnheard.New("not all entries have heard that the stream may begin at version %s", at.SoftwareVersion)
	}
	g.r.metrics.Histogram("version_heard").Record(time.Since(began))
	g.version = at.SoftwareVersion
	return nil
}
