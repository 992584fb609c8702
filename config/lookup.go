package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// minLeaseTTL is three heartbeat intervals.
const minLeaseTTL = 1500 * time.Millisecond

// KeyHash is the SHA-256 hash of a workspace key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key that a caller sent.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses the hexadecimal form that the document uses.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(h) {
		return h, errorx.IllegalFormat.New("not a hexadecimal SHA-256 hash")
	}
	copy(h[:], b)
	return h, nil
}

func find[T any](list []T, match func(T) bool) *T {
	for i := range list {
		if match(list[i]) {
			return &list[i]
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service {
	return find(d.Services, func(s Service) bool { return s.Name == name })
}

// ServiceOfModel returns the service that serves a model, or nil.
func (d *Document) ServiceOfModel(model string) *Service {
	return find(d.Services, func(s Service) bool { return s.Kind == ModelService && s.Model == model })
}

// Pool returns the pool of that name, or nil.
func (d *Document) Pool(name string) *Pool {
	return find(d.Pools, func(p Pool) bool { return p.Name == name })
}

// Tier returns the tier of that name, or nil.
func (d *Document) Tier(name string) *Tier {
	return find(d.Tiers, func(t Tier) bool { return t.Name == name })
}

// Endpoint returns the endpoint of that name, or nil.
func (d *Document) Endpoint(name string) *Endpoint {
	return find(d.Endpoints, func(e Endpoint) bool { return e.Name == name })
}

// Route returns the route of that name, or nil.
func (d *Document) Route(name string) *Route {
	return find(d.Routes, func(r Route) bool { return r.Name == name })
}

// Link returns the link between two data centres in either direction, or nil.
func (d *Document) Link(a, b string) *Link {
	return find(d.Links, func(l Link) bool {
		return l.From == a && l.To == b || l.From == b && l.To == a
	})
}

// ServiceEndpoints returns the endpoints of a service's pools with a role, in the order of the
// document.
func (d *Document) ServiceEndpoints(service string, role Role) []Endpoint {
	pools := make(map[string]bool)
	for _, p := range d.Pools {
		if p.Service == service && p.Role == role {
			pools[p.Name] = true
		}
	}
	var list []Endpoint
	for _, e := range d.Endpoints {
		if pools[e.Pool] {
			list = append(list, e)
		}
	}
	return list
}

// Call returns the first declaration that matches a method and a path below the
// route, or nil.
func (r *Route) Call(method, path string) *Call {
	return find(r.Calls, func(c Call) bool { return c.Method == method && c.matches(path) })
}

const wildcard = "/*"

func (c Call) matches(path string) bool {
	if prefix, ok := strings.CutSuffix(c.Path, wildcard); ok {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return path == c.Path
}

// covers reports whether c matches every call that other matches.
func (c Call) covers(other Call) bool {
	if c.Method != other.Method {
		return false
	}
	if prefix, ok := strings.CutSuffix(other.Path, wildcard); ok {
		return strings.HasSuffix(c.Path, wildcard) && c.matches(prefix)
	}
	return c.matches(other.Path)
}

// ServiceEndpointsHash returns a hash of the names of a plain service's endpoints. Processes
// with the same hash agree on the endpoint that owns each Idempotency-Key.
func (d *Document) ServiceEndpointsHash(service string) uint64 {
	var names []string
	for _, e := range d.ServiceEndpoints(service, Plain) {
		names = append(names, e.Name)
	}
	slices.Sort(names)
	h := xxhash.New()
	for _, name := range names {
		_, _ = h.WriteString(name)
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}
