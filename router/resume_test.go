package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/router"
)

// TestResumeAmongManyEngines: when all entries of a large fleet are killed, an entry must
// ask only a few engines for the cached prompt of each resumed generation. Asking all of
// them occupied small VMs with connection set-up for a second.
func TestResumeAmongManyEngines(t *testing.T) {
	for _, engines := range []int{60, 500, 1000} {
		synctest.Test(t, func(t *testing.T) {
			var list []*router.Endpoint
			for i := range engines {
				list = append(list, engine(fmt.Sprint("d", i), router.Decode))
			}
			const generations = 20
			lookups := 0
			for i := range generations {
				c := newCall(resumableRoute, llm)
				c.ContentHash = uint64(i + 1)
				first := &fakeEndpoints{}
				_, fail := newRouter(first, list...).Generate(t.Context(), c, new(fakeSink))
				require.Nil(t, fail)
				at := localPrefills(first.recorded())[0]

				after := &fakeEndpoints{cached: map[string]string{"s1": at}}
				c.ReceivedAt, c.ResumeAfter = time.Now(), 2
				c.Deadline = c.ReceivedAt.Add(c.Timeout)
				_, fail = newRouter(after, list...).Generate(t.Context(), c, new(fakeSink))
				require.Nil(t, fail)
				assert.Equal(t, []string{at}, localPrefills(after.recorded()))
				lookups += count(after.recorded(), "cached")
			}
			assert.LessOrEqual(t, lookups, generations*8)
		})
	}
}
