package router_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ebonypulley/router"
)

// TestLongestPrefix guards against requests that go to the service of a shorter prefix, or
// to none. For any set of prefixes, the route is the one with the longest prefix of the
// path; of equal ones, the first.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`/([ab]/){0,4}`)
		var routes []*router.Route
		for _, prefix := range rapid.SliceOfN(word, 0, 12).Draw(t, "prefixes") {
			routes = append(routes, &router.Route{Host: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"), Prefix: prefix})
		}
		d := router.NewDirectory(1, 0, routes, nil, nil)
		path := word.Draw(t, "path") + "end"
		var want *router.Route
		for _, r := range routes {
			fits := r.Host == "x" && len(r.Prefix) <= len(path) && path[:len(r.Prefix)] == r.Prefix
			if fits && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		assert.Same(t, want, d.Route("x", path))
	})
}
