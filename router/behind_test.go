package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestResumeWhileBehind guards against a stream that goes on at another version at an entry that has
// to wait for what is published now: at what the engines that it knows have cached, or by the timeout
// that its route had before.
func TestResumeWhileBehind(t *testing.T) {
	const before, raised = 4 * time.Second, 30 * time.Second
	cases := map[string]struct {
		confirmed bool
		timeout   time.Duration
		cached    map[string]string
		found     bool
	}{
		"nothing heard, cached at an engine": {timeout: before, cached: map[string]string{"s1": "b"}},
		"same timeout":                       {confirmed: true, timeout: before, found: true},
		"timeout raised meanwhile":           {confirmed: true, timeout: raised},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			first, second := engine("a", router.Decode), engine("b", router.Decode)
			first.SoftwareVersion, second.SoftwareVersion = "v1", "v2"
			f := &fakeEndpoints{cached: c.cached}
			r := newRouter(f, first, second)
			route := resumableRoute
			route.Timeout, route.Prefix = before, "/draft/"
			call := func() *router.Call {
				c := newCall(route, llm)
				c.Timeout, c.Deadline = before, c.ReceivedAt.Add(before)
				return c
			}
			_, fail := r.Generate(t.Context(), call(), new(fakeSink))
			assert.Nil(t, fail, "the timeouts of callers are known")
			time.Sleep(time.Minute)
			id := "0"
			for r.Releases().Preferred("llm", id) != "v1" {
				id += "0"
			}
			r.SetDirectory(router.NewDirectory(1, 0, []*router.Route{&route}, []*router.Service{llm}, []*router.Endpoint{second}))
			time.Sleep(before + 6*time.Second)
			r.Releases().ExpectOthers()
			r.OnBehind = func() {
				if c.confirmed {
					now := route
					now.Timeout = c.timeout
					r.SetDirectory(router.NewDirectory(2, 0, []*router.Route{&now}, []*router.Service{llm}, []*router.Endpoint{second}))
					r.Releases().Confirm(time.Now(), time.Now())
					r.Releases().HeardAll(time.Now())
				}
			}
			resume := call()
			resume.ID, resume.Resumes, resume.ResumeAfter = "resumes", id, 2
			_, fail = r.Generate(t.Context(), resume, new(fakeSink))
			assert.Equal(t, c.found, fail == nil, name)
			if !c.confirmed {
				assert.Zero(t, count(f.recorded(), "cached"), "%s: engines that were asked", name)
			}
		})
	}
}
