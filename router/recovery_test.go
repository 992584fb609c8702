package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/release"
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
		r := newRestartedRouter(f, &route, leaving, first, second)
		c := newCall(route, llm)
		c.Deadline = c.Deadline.Add(-4 * time.Second)
		c.Timeout -= 4 * time.Second
		c.ResumeAfter, c.Resumes = 3, "begun-before"
		_, fail := r.Generate(t.Context(), c, new(fakeSink))
		assert.Nil(t, fail)
		assert.Equal(t, "v1", r.Releases().Find(time.Now(), release.Query{After: c.ReceivedAt, Service: llm.Name, Request: "begun-before", Session: ""}).Version)
		time.Sleep(10 * time.Second)
	})
}

// TestTimeoutsAreNotGuessed guards against a stream that is resumed at another version because the
// entry has just started and takes what is left of its caller's timeout for all of it.
func TestTimeoutsAreNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine("b", router.Decode)
		e.SoftwareVersion = "v2"
		f := new(fakeEndpoints)
		f.setDefaults()
		route := resumableRoute
		route.Timeout, route.Services = 5*time.Second, []router.Share{{Service: llm.Name, Weight: 1}}
		r := newRestartedRouter(f, &route, e)
		time.Sleep(1500 * time.Millisecond)
		resume := func() *router.Failure {
			c := newCall(route, llm) // its caller had 10 s
			c.Deadline, c.Timeout = time.Now().Add(7*time.Second), 7*time.Second
			c.ResumeAfter, c.Resumes = 3, "begun-before"
			_, fail := r.Generate(t.Context(), c, new(fakeSink))
			return fail
		}
		assert.NotNil(t, resume())
		c := newCall(route, llm)
		c.Deadline, c.Timeout = time.Now().Add(10*time.Second), 10*time.Second
		_, fail := r.Generate(t.Context(), c, new(fakeSink))
		assert.Nil(t, fail)
		assert.NotNil(t, resume())
		time.Sleep(11 * time.Second) // longer than any caller waits, and lists may lag
		assert.Nil(t, resume())
	})
}
