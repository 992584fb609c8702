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

// TestResumedAmongHundreds: all entries are killed before hundreds of engines. Each caller that
// comes back makes its entry ask all engines what they cache, and the small VMs spend the next
// second on connections.
func TestResumedAmongHundreds(t *testing.T) {
	for _, engines := range []int{60, 500, 1000} {
		synctest.Test(t, func(t *testing.T) {
			var list []*router.Endpoint
			for i := range engines {
				list = append(list, engine(fmt.Sprint("d", i), router.Decode))
			}
			const drafts = 20
			asked := 0
			for i := range drafts {
				c := newCall(draftRoute, llm)
				c.Content = uint64(i + 1)
				first := &fakeEndpoints{}
				_, fail := newRouter(first, list...).Generate(t.Context(), c, new(fakeSink))
				require.Nil(t, fail)
				at := generatedAt(first.notes())[0]

				after := &fakeEndpoints{cached: map[string]string{"s1": at}}
				c.Began, c.Resume = time.Now(), 2
				c.Deadline = c.Began.Add(c.Wait)
				_, fail = newRouter(after, list...).Generate(t.Context(), c, new(fakeSink))
				require.Nil(t, fail)
				assert.Equal(t, []string{at}, generatedAt(after.notes()))
				asked += count(after.notes(), "cached")
			}
			assert.LessOrEqual(t, asked, drafts*8)
		})
	}
}
