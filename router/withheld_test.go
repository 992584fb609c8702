package router_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestFirstEventWaitsUntilAllHaveHeard guards against a stream that begins at another version than the one
// at which an entry that has not heard of it resumes it; and against waits where nobody can resume it
// elsewhere.
func TestFirstEventWaitsUntilAllHaveHeard(t *testing.T) {
	const never = time.Hour
	const tooLate, roomAfter = 401 * time.Millisecond, 430 * time.Millisecond
	for name, c := range map[string]struct {
		route router.Route
		// others says that there are other entries, which have heard after a time; prefills that prompts
		// are prefilled elsewhere for 100 ms.
		others   bool
		heard    time.Duration
		prefills bool
		// version begins the stream, after a time. That at its own version has room after roomAfter.
		version string
		after   time.Duration
	}{
		"heard":                      {resumableRoute, true, 50 * time.Millisecond, false, "v2", 50 * time.Millisecond},
		"heard during the prefill":   {resumableRoute, true, 50 * time.Millisecond, true, "v2", 100 * time.Millisecond},
		"heard later":                {resumableRoute, true, 150 * time.Millisecond, true, "v2", 150 * time.Millisecond},
		"not heard":                  {resumableRoute, true, never, false, "v1", roomAfter},
		"heard too late":             {resumableRoute, true, tooLate, false, "v1", roomAfter},
		"nobody else":                {resumableRoute, false, never, false, "v2", 0},
		"a route without resumption": {nonResumableRoute, true, never, false, "v2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := engine("a", router.Decode), engine("b", router.Decode)
				own.SoftwareVersion, other.SoftwareVersion = "v1", "v2"
				endpoints := []*router.Endpoint{own, other}
				if c.prefills {
					endpoints = append(endpoints, engine("p", router.Prefill))
				}
				f := new(fakeEndpoints)
				r := newRouter(f, endpoints...)
				if c.others {
					r.Releases().ExpectOthers()
				}
				full := r.Loads().Begin("a", router.Load{KVTokens: llm.Engine.KVCapacity})
				time.AfterFunc(roomAfter, full.End)
				time.AfterFunc(c.heard, func() { r.Releases().SetHeard(r.Releases().LatestSeq()) })
				call, sink := newCall(c.route, llm), new(fakeSink)
				for n := 0; r.Releases().Preferred("llm", call.ID) != "v1"; n++ {
					call.ID = fmt.Sprint(n)
				}
				_, fail := r.Generate(t.Context(), call, sink)
				assert.Nil(t, fail)
				log := strings.Join(f.recorded(), "\n")
				used := map[string]string{"v1": "generate a", "v2": "generate b"}
				assert.Equal(t, 1, strings.Count(log, "generate"), log)
				assert.Contains(t, log, used[c.version])
				assert.Equal(t, c.prefills, strings.Contains(log, "prefill p"), log)
				assert.InDelta(t, c.after+f.pause, sink.first.Sub(call.ReceivedAt), float64(25*time.Millisecond))
				time.Sleep(never)
			})
		})
	}
}

// TestWithheldStreamStaysAtItsVersion guards against a stream of which others have heard that it may be
// at another version, that fails there before its first event, and begins at its own version while an
// entry resumes it at the other one.
func TestWithheldStreamStaysAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other, same := engine("a", router.Decode), engine("b", router.Decode), engine("c", router.Decode)
		own.SoftwareVersion, other.SoftwareVersion, same.SoftwareVersion = "v1", "v2", "v2"
		refused := ""
		f := &fakeEndpoints{generate: func(e *router.Endpoint, _ router.Start) error {
			if refused == "" {
				refused = e.ID
				return router.ErrNotRun.New("full")
			}
			return nil
		}}
		r := newRouter(f, own, other, same)
		r.Releases().ExpectOthers()
		full := r.Loads().Begin("a", router.Load{KVTokens: llm.Engine.KVCapacity})
		time.AfterFunc(time.Millisecond, func() {
			full.End()
			r.Releases().SetHeard(r.Releases().LatestSeq())
		})
		call := newCall(resumableRoute, llm)
		for n := 0; r.Releases().Preferred("llm", call.ID) != "v1"; n++ {
			call.ID = fmt.Sprint(n)
		}
		_, fail := r.Generate(t.Context(), call, new(fakeSink))
		assert.Nil(t, fail)
		assert.NotEqual(t, "a", refused)
		assert.NotContains(t, strings.Join(f.recorded(), "\n"), "generate a")
	})
}
