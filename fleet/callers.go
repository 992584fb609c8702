package fleet

import (
	"encoding/hex"
	"net/http"

	"ebonypulley/config"
	"ebonypulley/load"
)

// AddWorkspace adds a workspace with this key to a document. Its tier is the first that is
// restricted to spare capacity, or the first that is not.
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

// Caller returns a client of the fleet, as CallerOf does for a document.
func (f *Fleet) Caller(client *http.Client) load.Caller { return CallerOf(f.Plan.Document, client) }

// CallerOf returns a client of a document's entries that calls its first model service and its
// first route.
func CallerOf(doc *config.Document, client *http.Client) load.Caller {
	c := load.Caller{HTTP: client, Balancer: load.NewBalancer(client, URLs(doc))}
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
		if call.Method == http.MethodPost && c.Book == "" {
			c.Book = path
		}
		if call.Method == http.MethodGet {
			c.Look = path
		}
	}
	return c
}

// URLs returns the base URLs of all entries for callers, in declared order.
func URLs(doc *config.Document) []string {
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

// Prefill sums up the prefill work of a fleet in tokens.
type Prefill struct {
	Computed int64
	Cached   int64
	Wasted   int64
	// Expired counts prefill results, not tokens, that no decode engine fetched before they
	// expired.
	Expired int64
}

// Prefill returns the prefill work of the engines and the part that the entries counted as
// wasted.
func (f *Fleet) Prefill() Prefill {
	var p Prefill
	for _, e := range f.Engines {
		s := e.Stats()
		p.Computed += s.PrefillTokens
		p.Cached += s.CachedTokens
		p.Expired += s.ExpiredResults
	}
	for _, e := range f.Entries {
		p.Wasted += e.Metrics().Count("wasted_prefill_tokens")
	}
	return p
}
