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

// TestUnheardStreamWhoseVersionHasLeft guards against callers that wait for room at a version that no
// endpoint has any more, although others have room: a release replaces the endpoints while one entry is
// frozen, or dead.
func TestUnheardStreamWhoseVersionHasLeft(t *testing.T) {
	const leavesAfter = 200 * time.Millisecond
	for name, linked := range map[string]bool{"an entry is frozen": true, "an entry is dead": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := engine("a", router.Decode), engine("b", router.Decode)
				own.SoftwareVersion, other.SoftwareVersion = "v1", "v2"
				f := new(fakeEndpoints)
				r := newRouter(f, own, other)
				r.Releases().ExpectOthers()
				r.Releases().SetReachesAll(linked)
				r.Loads().Begin("a", router.Load{KVTokens: llm.Engine.KVCapacity})
				time.AfterFunc(leavesAfter, func() {
					r.SetDirectory(router.NewDirectory(2, 0, []*router.Route{&resumableRoute}, []*router.Service{llm}, []*router.Endpoint{other}))
				})
				call := newCall(resumableRoute, llm)
				for n := 0; r.Releases().Preferred("llm", call.ID) != "v1"; n++ {
					call.ID = fmt.Sprint(n)
				}
				_, fail := r.Generate(t.Context(), call, new(fakeSink))
				t.Logf("answered after %v", time.Since(call.ReceivedAt))
				assert.Nil(t, fail)
				assert.Contains(t, strings.Join(f.recorded(), "\n"), "generate b")
				time.Sleep(time.Hour)
			})
		})
	}
}

// TestStreamThatWaitedBeforeTheReleaseIsNotHeld guards against callers that waited for room before there
// were several versions, and are held at an endpoint of another one until all have heard of it, although it
// is known that not all hear: an entry is dead, or there are more than get reports.
func TestStreamThatWaitedBeforeTheReleaseIsNotHeld(t *testing.T) {
	const joinsAfter, roomAfter, maxDelay = 200 * time.Millisecond, 250 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		own, other := engine("a", router.Decode), engine("b", router.Decode)
		own.SoftwareVersion, other.SoftwareVersion = "v1", "v2"
		f := new(fakeEndpoints)
		r := newRouter(f, own)
		r.Releases().ExpectOthers()
		r.Releases().SetReachesAll(false)
		full := r.Loads().Begin("a", router.Load{KVTokens: llm.Engine.KVCapacity})
		time.AfterFunc(roomAfter, full.End)
		both := router.NewDirectory(2, 0, []*router.Route{&resumableRoute}, []*router.Service{llm}, []*router.Endpoint{own, other})
		ids := newRouter(new(fakeEndpoints), own, other).Releases()
		call := newCall(resumableRoute, llm)
		for n := 0; ids.Preferred("llm", call.ID) != "v1"; n++ {
			call.ID = fmt.Sprint(n)
		}
		time.AfterFunc(joinsAfter, func() { r.SetDirectory(both) })
		sink := new(fakeSink)
		_, fail := r.Generate(t.Context(), call, sink)
		assert.Nil(t, fail)
		assert.Contains(t, strings.Join(f.recorded(), "\n"), "generate a")
		assert.Less(t, sink.first.Sub(call.ReceivedAt), roomAfter+f.pause+maxDelay)
		time.Sleep(time.Hour)
	})
}
