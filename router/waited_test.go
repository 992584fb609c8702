package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestResumeThatWaitedIsNotGuessed guards against a resumed stream that goes on at another version
// because its attempt waited in a connection: what was left of the caller's timeout when it was sent
// makes the stream look younger, and the endpoint that began it was removed meanwhile.
func TestResumeThatWaitedIsNotGuessed(t *testing.T) {
	const timeout = 14 * time.Second
	synctest.Test(t, func(t *testing.T) {
		first, second := engine("a", router.Decode), engine("b", router.Decode)
		first.SoftwareVersion, second.SoftwareVersion = "v1", "v2"
		f := new(fakeEndpoints)
		r := newRouter(f, first, second)
		_, fail := r.Generate(t.Context(), newCall(resumableRoute, llm), new(fakeSink))
		assert.Nil(t, fail, "the timeouts of callers are known")
		time.Sleep(time.Minute)
		resumed := 0
		for i := range 8 {
			c := newCall(resumableRoute, llm)
			c.ID, c.Route.Timeout = fmt.Sprint("begins-", i), timeout
			c.ReceivedAt, c.Timeout, c.Deadline = time.Now(), timeout, time.Now().Add(timeout)
			if r.Releases().Preferred("llm", c.ID) != "v1" {
				continue
			}
			// the stream begins at another entry
			time.Sleep(100 * time.Millisecond)
			r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, []*router.Endpoint{second}))
			time.Sleep(3 * time.Second) // the attempt waits
			resume := newCall(resumableRoute, llm)
			resume.ID, resume.Resumes, resume.ResumeAfter, resume.Route = fmt.Sprint("resumes-", i), c.ID, 5, c.Route
			resume.ReceivedAt, resume.Timeout, resume.Deadline = time.Now(), timeout-200*time.Millisecond, time.Now().Add(timeout)
			_, fail := r.Generate(t.Context(), resume, new(fakeSink))
			assert.NotNil(t, fail, "%s began at v1", c.ID)
			resumed++
			r.SetDirectory(router.NewDirectory(1, 0, nil, []*router.Service{llm}, []*router.Endpoint{first, second}))
			time.Sleep(time.Minute)
		}
		assert.NotZero(t, resumed)
	})
}
