package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/router"
)

// TestDrainingEnginesAreAsked guards against streams that are lost when all entries restart while
// the engine that they ran at drains, though others of its version serve.
func TestDrainingEnginesAreAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving, first, second := engine("a", router.Decode), engine("b", router.Decode), engine("c", router.Decode)
		leaving.SoftwareVersion, first.SoftwareVersion, second.SoftwareVersion = "v1", "v1", "v2"
		leaving.Draining = true
		f := &fakeEndpoints{cached: map[string]string{"s1": leaving.ID}}
		f.setDefaults()
		route := resumableRoute
		route.Timeout, route.Services = 14*time.Second, []router.Share{{Service: llm.Name, Weight: 1}}
		r := router.New(router.Settings{DataCentre: "dc-1", RetryRatio: 2, RetryWindow: 10 * time.Second, RetrySlack: 1000, SingleEntry: true, Restarted: true, Seed: 1},
			f, event.Nop(), metrics.NewSet())
		r.SetDirectory(router.NewDirectory(1, 0, []*router.Route{&route}, []*router.Service{llm}, []*router.Endpoint{leaving, first, second}))
		c := newCall(route, llm)
		c.Deadline = c.Deadline.Add(-4 * time.Second)
		c.Timeout -= 4 * time.Second
		c.ResumeAfter, c.Resumes = 3, "begun-before"
		_, fail := r.Generate(t.Context(), c, new(fakeSink))
		assert.Nil(t, fail)
		assert.Equal(t, "v1", r.Releases().Find(c.ReceivedAt, llm.Name, "begun-before", "").Version)
		time.Sleep(10 * time.Second)
	})
}
