package router

import (
	"slices"
	"time"

	"ebonypulley/quota"
)

// Directory is one consistent view of what is published. It is read-only.
type Directory struct {
	// Version is that of the configuration; zero means none.
	Version uint64
	// MaxBody is the longest request body in bytes.
	MaxBody  int64
	hosts    map[string]*hostRoutes
	services map[string]*Service
	// endpoints take new work; by service.
	endpoints map[string][]*Endpoint
	// workspaces are those published, nil if callers need no key, by the digests of their
	// keys, and limits the limits of those that have one.
	workspaces map[KeyDigest]*Workspace
	limits     map[quota.ID]quota.Limit
	// firsts holds the rank of each service's most urgent routes.
	firsts map[string]int
}

// NewDirectory indexes routes, services and the endpoints that take new work.
func NewDirectory(version uint64, maxBody int64, routes []*Route, services []*Service, endpoints []*Endpoint) *Directory {
	d := &Directory{
		Version:  version,
		MaxBody:  maxBody,
		hosts:    make(map[string]*hostRoutes),
		services: make(map[string]*Service, len(services)),
		firsts:   make(map[string]int),
	}
	for _, r := range routes {
		d.add(r)
		d.rank(r)
	}
	for _, h := range d.hosts {
		h.sort()
	}
	for _, s := range services {
		d.services[s.Name] = s
	}
	return d.WithEndpoints(endpoints)
}

// WithWorkspaces returns a directory whose callers need the key of a workspace, and that
// shares the rest.
func (d *Directory) WithWorkspaces(list []*Workspace) *Directory {
	out := *d
	out.workspaces = make(map[KeyDigest]*Workspace, len(list))
	out.limits = make(map[quota.ID]quota.Limit)
	for _, w := range list {
		for _, key := range w.Keys {
			out.workspaces[key] = w
		}
		if !w.Limit.Unlimited() {
			out.limits[w.ID] = w.Limit
		}
	}
	return &out
}

// Keyed reports whether callers need a key.
func (d *Directory) Keyed() bool { return d.workspaces != nil }

// Workspace returns the workspace of a key, or nil.
func (d *Directory) Workspace(key KeyDigest) *Workspace { return d.workspaces[key] }

// WithEndpoints returns a directory of other endpoints that shares the rest.
//
// Dozens of endpoints come and go beside thousands of
// routes. Indexing 4,000 routes anew for each takes 15 ms of a core, a tenth of a
// second on the smallest entry.
func (d *Directory) WithEndpoints(endpoints []*Endpoint) *Directory {
	out := *d
	out.endpoints = make(map[string][]*Endpoint)
	for _, e := range endpoints {
		out.endpoints[e.Service] = append(out.endpoints[e.Service], e)
	}
	return &out
}

// Complete reports whether each service has an endpoint that can answer.
func (d *Directory) Complete() bool {
	for name, s := range d.services {
		role := Plain
		if s.Engine != nil {
			role = Decode
		}
		if len(d.Endpoints(name, role)) == 0 {
			return false
		}
	}
	return true
}

// without returns a directory without some endpoints that shares the rest.
func (d *Directory) without(ids map[string]time.Time) *Directory {
	var kept []*Endpoint
	for _, list := range d.endpoints {
		for _, e := range list {
			if _, out := ids[e.ID]; !out {
				kept = append(kept, e)
			}
		}
	}
	return d.WithEndpoints(kept)
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// lengths are those of the prefixes, each once, the longest first: routes
	// are many, lengths few.
	lengths []int
}

// add indexes a route; the first one of a host and prefix counts.
func (d *Directory) add(r *Route) {
	h := d.hosts[r.Host]
	if h == nil {
		h = &hostRoutes{byPrefix: make(map[string]*Route)}
		d.hosts[r.Host] = h
	}
	if _, taken := h.byPrefix[r.Prefix]; !taken {
		h.byPrefix[r.Prefix] = r
	}
}

func (h *hostRoutes) sort() {
	for prefix := range h.byPrefix {
		if !slices.Contains(h.lengths, len(prefix)) {
			h.lengths = append(h.lengths, len(prefix))
		}
	}
	slices.Sort(h.lengths)
	slices.Reverse(h.lengths)
}

// rank notes the rank of a route at its services.
func (d *Directory) rank(r *Route) {
	for _, s := range r.Services {
		first, ok := d.firsts[s.Service]
		if !ok || r.Rank < first {
			d.firsts[s.Service] = r.Rank
		}
	}
}

// Yields reports whether a service has more urgent routes than this one.
func (d *Directory) Yields(r *Route, service string) bool {
	first, ok := d.firsts[service]
	return ok && first < r.Rank
}

// Route returns the route of the longest prefix of path, or nil.
func (d *Directory) Route(host, path string) *Route {
	h := d.hosts[host]
	if h == nil {
		return nil
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r := h.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (d *Directory) Service(name string) *Service { return d.services[name] }

// Endpoints returns those of a service and role that take new work.
func (d *Directory) Endpoints(service string, role Role) []*Endpoint {
	all := d.endpoints[service]
	list := make([]*Endpoint, 0, len(all))
	for _, e := range all {
		if e.Role == role {
			list = append(list, e)
		}
	}
	return list
}

// Size returns the number of endpoints.
func (d *Directory) Size() (n int) {
	for _, list := range d.endpoints {
		n += len(list)
	}
	return n
}

// Has reports whether an endpoint still takes new work.
func (d *Directory) Has(e *Endpoint) bool {
	for _, x := range d.endpoints[e.Service] {
		if x.ID == e.ID {
			return true
		}
	}
	return false
}
