package router

import (
	"slices"
	"time"

	"ebonypulley/quota"
)

// Directory is an immutable, consistent snapshot of the published routes, services,
// workspaces and endpoints.
type Directory struct {
	// Version is the version of the configuration, or zero if there is none.
	Version uint64
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody  int64
	hosts    map[string]*hostRoutes
	services map[string]*Service
	// endpoints holds the endpoints that accept new work, by service.
	endpoints map[string][]*Endpoint
	// leaving holds those that drain.
	leaving []*Endpoint
	// workspaces maps key digests to workspaces; it is nil if callers need no key. limits
	// holds the limits of the workspaces that have one.
	workspaces map[KeyDigest]*Workspace
	limits     map[quota.ID]quota.Limit
	// ranks holds the ranks of the routes of each service, the most urgent first and each once.
	// classes is the largest number of them.
	ranks   map[string][]int
	classes int
	// resumable holds the longest timeout of the routes of each service whose streams may be
	// resumed.
	resumable map[string]time.Duration
}

// NewDirectory indexes routes, services and endpoints.
func NewDirectory(version uint64, maxBody int64, routes []*Route, services []*Service, endpoints []*Endpoint) *Directory {
	d := &Directory{
		Version:  version,
		MaxBody:  maxBody,
		hosts:    make(map[string]*hostRoutes),
		services: make(map[string]*Service, len(services)),
		ranks:    make(map[string][]int),

		resumable: make(map[string]time.Duration),
	}
	for _, r := range routes {
		d.addRoute(r)
		d.recordRank(r)
		d.recordResumable(r)
	}
	for _, h := range d.hosts {
		h.sortLengths()
	}
	for _, s := range services {
		d.services[s.Name] = s
	}
	return d.WithEndpoints(endpoints)
}

// WithWorkspaces returns a copy of the directory in which callers need a workspace key.
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

// RequiresKey reports whether callers need a workspace key.
func (d *Directory) RequiresKey() bool { return d.workspaces != nil }

// Workspace returns the workspace that a key belongs to, or nil.
func (d *Directory) Workspace(key KeyDigest) *Workspace { return d.workspaces[key] }

// WithEndpoints returns a copy of the directory with other endpoints.
//
// The copy shares the route index: endpoints change far more often than routes, and
// indexing 4,000 routes takes 15 ms of CPU time on a full core and about 100 ms on the
// smallest entry.
func (d *Directory) WithEndpoints(endpoints []*Endpoint) *Directory {
	out := *d
	out.endpoints, out.leaving = make(map[string][]*Endpoint), nil
	for _, e := range endpoints {
		if e.Draining {
			out.leaving = append(out.leaving, e)
			continue
		}
		out.endpoints[e.Service] = append(out.endpoints[e.Service], e)
	}
	return &out
}

// decodeEngines returns the engines of a service that decode, also those that drain.
func (d *Directory) decodeEngines(service string) []*Endpoint {
	list := slices.Clone(d.Endpoints(service, Decode))
	for _, e := range d.leaving {
		if e.Service == service && e.Role == Decode {
			list = append(list, e)
		}
	}
	return list
}

// AllServicesServed reports whether each service has an endpoint that can answer requests.
func (d *Directory) AllServicesServed() bool {
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

// without returns a copy of the directory without the endpoints in ids.
func (d *Directory) without(ids map[string]time.Time) *Directory {
	kept := slices.Clone(d.leaving)
	for _, list := range d.endpoints {
		for _, e := range list {
			if _, out := ids[e.ID]; !out {
				kept = append(kept, e)
			}
		}
	}
	return d.WithEndpoints(kept)
}

// hostRoutes indexes the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// prefixLengths holds the distinct prefix lengths in descending order. There are many
	// routes but few lengths, so a lookup tries each length.
	prefixLengths []int
}

// addRoute indexes a route. If several routes have the same host and prefix, the first
// one is used.
func (d *Directory) addRoute(r *Route) {
	h := d.hosts[r.Host]
	if h == nil {
		h = &hostRoutes{byPrefix: make(map[string]*Route)}
		d.hosts[r.Host] = h
	}
	if _, taken := h.byPrefix[r.Prefix]; !taken {
		h.byPrefix[r.Prefix] = r
	}
}

func (h *hostRoutes) sortLengths() {
	for prefix := range h.byPrefix {
		if !slices.Contains(h.prefixLengths, len(prefix)) {
			h.prefixLengths = append(h.prefixLengths, len(prefix))
		}
	}
	slices.Sort(h.prefixLengths)
	slices.Reverse(h.prefixLengths)
}

// recordResumable updates the longest timeout of the streams of the route's services.
func (d *Directory) recordResumable(r *Route) {
	if !r.Resumable {
		return
	}
	for _, s := range r.Services {
		d.resumable[s.Service] = max(d.resumable[s.Service], r.Timeout)
	}
}

// recordRank updates the ranks of the route's services.
func (d *Directory) recordRank(r *Route) {
	for _, s := range r.Services {
		ranks := d.ranks[s.Service]
		if i, known := slices.BinarySearch(ranks, r.Rank); !known {
			d.ranks[s.Service] = slices.Insert(ranks, i, r.Rank)
		}
		d.classes = max(d.classes, len(d.ranks[s.Service]))
	}
}

// CallersDiffer reports whether the callers of a service differ in urgency or belong to
// workspaces, so that it matters who is served first.
func (d *Directory) CallersDiffer(service string) bool {
	return d.RequiresKey() || len(d.ranks[service]) > 1
}

// HasMoreUrgent reports whether the service has a more urgent route than r.
func (d *Directory) HasMoreUrgent(r *Route, service string) bool {
	ranks := d.ranks[service]
	return len(ranks) > 0 && ranks[0] < r.Rank
}

// Urgency returns the position of the route's rank among those of a service, 0 being the most
// urgent, and the largest number of ranks that a service has.
func (d *Directory) Urgency(r *Route, service string) (urgency, classes int) {
	urgency, _ = slices.BinarySearch(d.ranks[service], r.Rank)
	return urgency, d.classes
}

// Route returns the route with the longest prefix of path, or nil.
func (d *Directory) Route(host, path string) *Route {
	h := d.hosts[host]
	if h == nil {
		return nil
	}
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		if r := h.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service with this name, or nil.
func (d *Directory) Service(name string) *Service { return d.services[name] }

// Endpoints returns the endpoints of a service and role that accept new work.
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

// serviceOf returns the service of a listed endpoint, empty if there is none.
func (d *Directory) serviceOf(endpoint string) string {
	for service, list := range d.endpoints {
		if slices.ContainsFunc(list, func(e *Endpoint) bool { return e.ID == endpoint }) {
			return service
		}
	}
	return ""
}

// EndpointCount returns the number of endpoints that accept new work.
func (d *Directory) EndpointCount() (n int) {
	for _, list := range d.endpoints {
		n += len(list)
	}
	return n
}

// Contains reports whether the endpoint still accepts new work.
func (d *Directory) Contains(e *Endpoint) bool {
	for _, x := range d.endpoints[e.Service] {
		if x.ID == e.ID {
			return true
		}
	}
	return false
}
