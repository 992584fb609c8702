package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/rendezvous"
)

// Lookup of cached prompts for resumed generations.
//
// When entries crash with tens of answers in progress, their callers resume at other
// entries, which have no state about them. Each prompt is still cached at the engine that
// generated the first part of the answer. Elsewhere it would be prefilled once more,
// which costs about as much as the answer itself.
const (
	// cacheListTTL is how long the list of an engine's cached prompts is used.
	cacheListTTL = 700 * time.Millisecond
	// cacheLookupTimeout bounds the lookup for one prompt. If it expires, the prompt is
	// prefilled once more.
	cacheLookupTimeout = 150 * time.Millisecond
	// cacheLookupStagger is how long one batch of engines may take to answer before the
	// next batch is asked too.
	cacheLookupStagger = 50 * time.Millisecond
	// maxCacheLookups is the maximum number of engines asked for one prompt, however large
	// the fleet.
	maxCacheLookups = 8 * sampleSize
)

// cacheIndex holds the cached sessions of decode engines, by engine ID.
type cacheIndex struct {
	mu      sync.Mutex
	engines map[string]*cachedSessions
	swept   time.Time
}

// cachedSessions holds the sessions that one engine caches. done is closed when the
// engine has answered or the request timed out.
type cachedSessions struct {
	at       time.Time
	done     chan struct{}
	sessions map[string]bool
	// complete says that the engine has cached no other sessions.
	complete bool
}

// cachingEngine returns the engine of a software version, empty for any, that caches a session's
// prompt, or nil.
//
// Generations are placed among the first engines in the rendezvous order of their content
// hash, so those are asked first, in growing batches. After a crash of many entries,
// asking hundreds of engines for each resumed generation would occupy small VMs with
// connection set-up for seconds.
func (r *Router) cachingEngine(ctx context.Context, c *Call, version string) *Endpoint {
	if c.Session == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cacheLookupTimeout)
	defer cancel()
	engines := ofVersion(r.enginesByHash(c), version)
	found := make(chan *Endpoint, len(engines))
	pending := 0
	for batch := sampleSize; len(engines) > 0; batch *= 2 {
		n := min(batch, len(engines))
		for _, e := range engines[:n] {
			go func() { found <- r.checkCached(ctx, c.Session, e) }()
		}
		engines, pending = engines[n:], pending+n
		timeout := cacheLookupStagger
		if len(engines) == 0 {
			timeout = cacheLookupTimeout
		}
		if e := firstFound(found, &pending, timeout); e != nil {
			return e
		}
	}
	return nil
}

// cachedVersion returns the software version of the engines that cache a call's prompt. It returns
// false if engines of several versions do, or none, or if one of another version does not answer.
// With one version the first engine that has the prompt is enough.
func (r *Router) cachedVersion(ctx context.Context, c *Call) (version string, ok bool) {
	if c.Session == "" {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, cacheLookupTimeout)
	defer cancel()
	all := r.Directory().decodeEngines(c.Service.Name)
	versions := softwareVersions(all)
	if len(versions) == 1 {
		return versions[0], r.cachingEngine(ctx, c, versions[0]) != nil
	}
	lists := make(map[*cachedSessions]string)
	for _, v := range versions {
		for _, e := range byHash(c, ofVersion(all, v)) {
			lists[r.cachedSessions(e)] = v
		}
	}
	caching, unknown := make(map[string]bool), make(map[string]bool)
	for list, v := range lists {
		switch cached, answered := list.has(ctx, c.Session); {
		case !answered:
			unknown[v] = true
		case cached:
			caching[v] = true
		}
	}
	for version = range caching {
		delete(unknown, version)
	}
	return version, len(caching) == 1 && len(unknown) == 0
}

// has waits for the list and reports whether it has a session. It returns false if the engine
// did not answer, or the session may be in a part that can't be read. A list that has come counts
// also once ctx has ended.
func (l *cachedSessions) has(ctx context.Context, session string) (cached, answered bool) {
	select {
	case <-l.done:
	case <-ctx.Done():
		select {
		case <-l.done:
		default:
			return false, false
		}
	}
	cached = l.sessions[session]
	return cached, cached || l.complete
}

// enginesByHash returns the engines to ask for a call's prompt, in rendezvous order.
func (r *Router) enginesByHash(c *Call) []*Endpoint {
	return byHash(c, r.Directory().Endpoints(c.Service.Name, Decode))
}

// byHash returns the first engines for a call in rendezvous order, at most maxCacheLookups.
func byHash(c *Call, all []*Endpoint) []*Endpoint {
	order := rendezvous.Order(c.ContentHash, len(all), func(i int) string { return all[i].ID })
	engines := make([]*Endpoint, 0, maxCacheLookups)
	for _, i := range order[:min(len(order), maxCacheLookups)] {
		engines = append(engines, all[i])
	}
	return engines
}

// firstFound returns the first engine found, or nil when none is pending or the time is
// up.
func firstFound(found <-chan *Endpoint, pending *int, timeout time.Duration) *Endpoint {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for ; *pending > 0; *pending-- {
		select {
		case e := <-found:
			if e != nil {
				return e
			}
		case <-timer.C:
			return nil
		}
	}
	return nil
}

// checkCached returns the engine if it caches a session's prompt, else nil.
func (r *Router) checkCached(ctx context.Context, session string, e *Endpoint) *Endpoint {
	if cached, _ := r.cachedSessions(e).has(ctx, session); !cached {
		return nil
	}
	return e
}

// cachedSessions returns the sessions that an engine caches. Concurrent callers share one
// request.
func (r *Router) cachedSessions(e *Endpoint) *cachedSessions {
	now := time.Now()
	r.cacheIndex.mu.Lock()
	defer r.cacheIndex.mu.Unlock()
	r.cacheIndex.sweep(now)
	list := r.cacheIndex.engines[e.ID]
	if list == nil || now.Sub(list.at) > cacheListTTL {
		list = &cachedSessions{at: now, done: make(chan struct{})}
		r.cacheIndex.engines[e.ID] = list
		go r.fetchCached(list, e)
	}
	return list
}

// sweep drops expired lists. The caller holds c.mu.
func (c *cacheIndex) sweep(now time.Time) {
	if c.engines == nil {
		c.engines = make(map[string]*cachedSessions)
	}
	if now.Sub(c.swept) < cacheListTTL {
		return
	}
	c.swept = now
	maps.DeleteFunc(c.engines, func(_ string, l *cachedSessions) bool { return now.Sub(l.at) > cacheListTTL })
}

// fetchCached requests the cached sessions of an engine.
func (r *Router) fetchCached(list *cachedSessions, e *Endpoint) {
	defer close(list.done)
	ctx, cancel := context.WithTimeout(context.Background(), cacheLookupTimeout)
	defer cancel()
	sessions, err := r.endpoints.Cached(ctx, e)
	if withoutPartial(err) != nil {
		r.log.Emit(event.CacheStateUnknown, zap.String("endpoint", e.ID), event.Err(err))
		return
	}
	list.sessions, list.complete = sessions, err == nil && sessions != nil
}

// withoutPartial returns err unless it says that only a part of a list is missing, which the
// client has logged.
func withoutPartial(err error) error {
	if errorx.IsOfType(err, ErrPartial) {
		return nil
	}
	return err
}
