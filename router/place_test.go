package router_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// generatedAt returns the notes of generations without a result: prompts that
// a decode engine computed itself.
func generatedAt(notes []string) (alone []string) {
	for _, n := range notes {
		if strings.HasPrefix(n, "generate") && strings.Contains(n, "result=false") {
			alone = append(alone, strings.Fields(n)[1])
		}
	}
	return alone
}

// TestPromptsSpareStreams: streams that began in time pause for a third of a
// second and are late as a whole. A decode engine computed a long prompt between
// their tokens; one that is slower than others does that only while nothing
// runs there.
func TestPromptsSpareStreams(t *testing.T) {
	for _, tt := range []struct {
		name    string
		pace    float64
		streams int
		alone   bool
	}{
		{"an engine of usual speed", 1, 2, true},
		{"a slow engine with streams", 1.3, 2, false},
		{"a slow engine without streams", 1.3, 0, true},
		{"an engine with many streams", 1, 10, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEndpoints{}
				r := newRouter(f, engine("p", router.Prefill), engine("d", router.Decode))
				now := time.Now()
				for range 100 {
					r.Loads().Paced(now, "d", tt.pace)
				}
				defer r.Loads().Begin("p", router.Load{Prefill: 20000}).End()
				defer r.Loads().Begin("d", router.Load{Decodes: tt.streams}).End()
				route := draftRoute
				route.Gap = 300 * time.Millisecond
				c := newCall(route, llm)
				c.Prompt = 6000
				_, fail := r.Generate(t.Context(), c, new(fakeSink))
				assert.Nil(t, fail)
				assert.Equal(t, tt.alone, len(generatedAt(f.notes())) > 0)
			})
		})
	}
}

// TestPaceIsLearned: as above; that the engine is slow shows in the pauses of
// the streams there.
func TestPaceIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 100, pause: 50 * time.Millisecond}
		r := newRouter(f, engine("d", router.Decode))
		_, fail := r.Generate(t.Context(), newCall(draftRoute, llm), new(fakeSink))
		assert.Nil(t, fail)
		assert.InDelta(t, 50/(11*3.51), r.Loads().View(time.Now(), "d").Pace, 0.05)
	})
}
