package router_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestWithheldStreamReleasesItsRoom guards against room that stays reserved at the endpoint where a stream
// would have begun: its caller left while others had not heard, they did not hear in time, or the prefill
// failed; and against waits of other streams because a caller left.
func TestWithheldStreamReleasesItsRoom(t *testing.T) {
	for name, c := range map[string]struct {
		leavesAfter time.Duration
		failsFirst  bool
		mayDiffer   bool
	}{
		"the caller leaves":      {leavesAfter: 100 * time.Millisecond, mayDiffer: true},
		"the caller leaves late": {leavesAfter: 420 * time.Millisecond},
		"not heard":              {leavesAfter: time.Hour},
		"the prefill fails":      {leavesAfter: 300 * time.Millisecond, failsFirst: true, mayDiffer: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := engine("a", router.Decode), engine("b", router.Decode)
				own.SoftwareVersion, other.SoftwareVersion = "v1", "v2"
				f := new(fakeEndpoints)
				if c.failsFirst {
					f.prefill = func(context.Context, *router.Endpoint) error { return router.ErrNotRun.New("full") }
				}
				r := newRouter(f, own, other, engine("p", router.Prefill))
				r.Releases().ExpectOthers()
				r.Loads().Begin("a", router.Load{KVTokens: llm.Engine.KVCapacity})
				r.Loads().Begin("b", router.Load{KVTokens: llm.Engine.KVCapacity * 6 / 10})
				before := r.Loads().View(time.Now(), "b")
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(c.leavesAfter, cancel)
				call := newCall(resumableRoute, llm)
				for n := 0; r.Releases().Preferred("llm", call.ID) != "v1"; n++ {
					call.ID = fmt.Sprint(n)
				}
				_, fail := r.Generate(ctx, call, new(fakeSink))
				assert.NotNil(t, fail)
				log := strings.Join(f.recorded(), "\n")
				assert.NotZero(t, strings.Count(log, "reserve b"), log)
				assert.Equal(t, strings.Count(log, "reserve b"), strings.Count(log, "release b"), log)
				assert.NotContains(t, log, "generate")
				if !c.failsFirst {
					assert.Equal(t, strings.Count(log, "prefill p"), strings.Count(log, "drop p"), log)
				}
				assert.Equal(t, before.KVTokens, r.Loads().View(time.Now(), "b").KVTokens)
				assert.Equal(t, c.mayDiffer, r.Releases().MayDiffer())
				time.Sleep(2 * time.Hour)
			})
		})
	}
}
