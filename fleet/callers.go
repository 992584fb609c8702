package fleet

import (
	"encoding/hex"
	"net/http"

	"ebonypulley/config"
	"ebonypulley/load"
)

// AddWorkspace adds a workspace with this key to a document, in the first tier whose Spare equals
// spare.
func AddWorkspace(doc *config.Document, name, key string, spare bool) {
	hash := config.HashKey(key)
	for _, t := range doc.Tiers {
		if t.Spare == spare {
			doc.Workspaces = append(doc.Workspaces, config.Workspace{
				Name:      name,
				Tier:      t.Name,
				KeySHA256: []string{hex.EncodeToString(hash[:])},
			})
			return
		}
	}
}

// NewCaller returns a client of the fleet, as NewCaller does for a document.
func (f *Fleet) NewCaller(client *http.Client) load.Caller { return NewCaller(f.Plan.Document, client) }

// NewCaller returns a client of a document's entries that calls its first model service and its
// first route.
func NewCaller(doc *config.Document, client *http.Client) load.Caller {
	c := load.Caller{Client: client, Balancer: load.NewBalancer(client, EntryURLs(doc))}
	for _, s := range doc.Services {
		if s.Kind == config.ModelService {
			c.Model = s.Model
			break
		}
	}
	route := doc.Routes[0]
	c.Route = route.Name
	for _, call := range route.Calls {
		path := examplePath(call.Path)
		if call.Method == http.MethodPost && c.NonIdempotentPath == "" {
			c.NonIdempotentPath = path
		}
		if call.Method == http.MethodGet {
			c.IdempotentPath = path
		}
	}
	return c
}

// EntryURLs returns the base URLs of all entries for callers, in declared order.
func EntryURLs(doc *config.Document) []string {
	var urls []string
	for _, e := range doc.Entries {
		urls = append(urls, "http://"+e.HTTP)
	}
	return urls
}

// examplePath returns a path that matches a declared path, in which a final * is a wildcard.
func examplePath(path string) string {
	if n := len(path) - 1; n > 0 && path[n] == '*' {
		return path[:n] + "12"
	}
	return path
}

// PrefillStats sums up the prefill work of a fleet in tokens.
type PrefillStats struct {
	ComputedTokens int64
	CachedTokens   int64
	WastedTokens   int64
	// ExpiredResults counts prefill results, not tokens, that no decode engine fetched before they
	// expired.
	ExpiredResults int64
}

// PrefillStats returns the prefill work of the engines and the part that the entries counted as
// wasted.
func (f *Fleet) PrefillStats() PrefillStats {
	var p PrefillStats
	for _, e := range f.Engines {
		s := e.Stats()
		p.ComputedTokens += s.PrefillTokens
		p.CachedTokens += s.CachedTokens
		p.ExpiredResults += s.ExpiredResults
	}
	for _, e := range f.Entries {
		p.WastedTokens += e.Metrics().Count("wasted_prefill_tokens")
	}
	return p
}
