package router

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonypulley/event"
)

// Entries are killed with tens of answers
// in progress, and their callers ask for the rest at once, at entries that
// know nothing. Each prompt is still cached at the engine that made the first
// part of the answer; elsewhere it would be computed anew, which costs about
// as much as the answer is worth.
const (
	// cachedFor is how long an engine's list of cached prompts is used.
	cachedFor = 700 * time.Millisecond
	// cachedTimeout bounds the questions for one prompt; without an answer it is
	// computed anew.
	cachedTimeout = 150 * time.Millisecond
	// cachedPatience is how long the engines that are asked first may take until the
	// next ones are asked too.
	cachedPatience = 50 * time.Millisecond
	// cachedMost bounds the engines that are asked for one prompt, however many there are.
	cachedMost = 8 * someOf
)

// cachedLists holds what decode engines said that they cache, by the engine's ID.
type cachedLists struct {
	mu      sync.Mutex
	engines map[string]*cachedList
	swept   time.Time
}

// cachedList is what one engine caches; done is closed when it has answered or the time is
// over.
type cachedList struct {
	at       time.Time
	done     chan struct{}
	sessions map[string]bool
}

// holder returns the engine that caches a session's prompt, or nil. Generations go to engines
// that are drawn by what is asked for, so the first of these are asked, then some more.
//
// Hundreds of entries are killed, and each of those that come asks hundreds of engines. It
// shows as answers that go on seconds later, while the small VMs make connections.
func (r *Router) holder(ctx context.Context, c *Call) *Endpoint {
	if c.Session == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cachedTimeout)
	defer cancel()
	engines := r.drawnEngines(c)
	found := make(chan *Endpoint, len(engines))
	pending := 0
	for batch := someOf; len(engines) > 0; batch *= 2 {
		n := min(batch, len(engines))
		for _, e := range engines[:n] {
			go func() { found <- r.cachedAt(ctx, c.Session, e) }()
		}
		engines, pending = engines[n:], pending+n
		patience := cachedPatience
		if len(engines) == 0 {
			patience = cachedTimeout
		}
		if e := firstOf(found, &pending, patience); e != nil {
			return e
		}
	}
	return nil
}

// drawnEngines returns the engines to ask for a call's prompt, in order.
func (r *Router) drawnEngines(c *Call) []*Endpoint {
	all := r.Directory().Endpoints(c.Service.Name, Decode)
	order := drawn(c.Content, len(all), func(i int) string { return all[i].ID })
	engines := make([]*Endpoint, 0, cachedMost)
	for _, i := range order[:min(len(order), cachedMost)] {
		engines = append(engines, all[i])
	}
	return engines
}

// firstOf returns the first engine found, or nil once none is pending or the time is over.
func firstOf(found <-chan *Endpoint, pending *int, patience time.Duration) *Endpoint {
	timer := time.NewTimer(patience)
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

// cachedAt returns the engine if it caches a session's prompt, else nil.
func (r *Router) cachedAt(ctx context.Context, session string, e *Endpoint) *Endpoint {
	list := r.cachedList(e)
	select {
	case <-list.done:
	case <-ctx.Done():
		return nil
	}
	if !list.sessions[session] {
		return nil
	}
	return e
}

// cachedList returns what an engine caches, which callers at the same moment ask once.
func (r *Router) cachedList(e *Endpoint) *cachedList {
	now := time.Now()
	r.cached.mu.Lock()
	defer r.cached.mu.Unlock()
	r.cached.sweep(now)
	list := r.cached.engines[e.ID]
	if list == nil || now.Sub(list.at) > cachedFor {
		list = &cachedList{at: now, done: make(chan struct{})}
		r.cached.engines[e.ID] = list
		go r.askCached(list, e)
	}
	return list
}

// sweep forgets old lists; c.mu is held.
func (c *cachedLists) sweep(now time.Time) {
	if c.engines == nil {
		c.engines = make(map[string]*cachedList)
	}
	if now.Sub(c.swept) < cachedFor {
		return
	}
	c.swept = now
	maps.DeleteFunc(c.engines, func(_ string, l *cachedList) bool { return now.Sub(l.at) > cachedFor })
}

// askCached fills a list.
func (r *Router) askCached(list *cachedList, e *Endpoint) {
	defer close(list.done)
	ctx, cancel := context.WithTimeout(context.Background(), cachedTimeout)
	defer cancel()
	sessions, err := r.endpoints.Cached(ctx, e)
	if err != nil {
		r.log.Emit(event.CacheUnknown, zap.String("endpoint", e.ID), event.Err(err))
		return
	}
	list.sessions = sessions
}

// drawn returns the numbers of so many endpoints in an order of a content's own, by rendezvous
// hashing: it is the same at all entries, and those that stay keep their order when others come
// and go.
func drawn(content uint64, n int, id func(i int) string) []int {
	chances, order := make([]uint64, n), make([]int, n)
	for i := range n {
		chances[i], order[i] = mixed(content^xxhash.Sum64String(id(i))), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(chances[a], chances[b]) })
	return order
}

// mixed spreads the bits of a number, as splitmix64 does.
func mixed(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
