package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/router"
)

// TestUrgentBeforeOthers: twice as many generations arrive as fit into the engines'
// memory, half of them on a less urgent route. Memory that becomes free must not go to
// whichever is placed first, because urgent ones would be refused while less urgent ones
// are served.
func TestUrgentBeforeOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{events: 30, pause: 100 * time.Millisecond}
		r := newRouter(f, engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode))
		urgent := resumableRoute
		urgent.Name, urgent.Rank, urgent.Services = "urgent", 1, []router.Share{{Service: "llm", Weight: 1}}
		other := urgent
		other.Name, other.Rank = "other", 4
		r.SetDirectory(router.NewDirectory(2, 0, []*router.Route{&urgent, &other}, []*router.Service{llm},
			[]*router.Endpoint{engine("p1", router.Prefill), engine("p2", router.Prefill), engine("d1", router.Decode), engine("d2", router.Decode)}))
		served := make(map[string]int)
		done := make(chan string)
		const each = 100
		for _, route := range []router.Route{urgent, other} {
			for i := range each {
				go func() {
					time.Sleep(time.Duration(i) * 100 * time.Millisecond)
					if _, fail := r.Generate(t.Context(), newCall(route, llm), new(fakeSink)); fail != nil {
						done <- ""
						return
					}
					done <- route.Name
				}()
			}
		}
		for range 2 * each {
			served[<-done]++
		}
		t.Logf("%d urgent and %d others of %d each", served["urgent"], served["other"], each)
		assert.Greater(t, served["urgent"], served["other"]+each/10)
		assert.NotZero(t, served["other"], "less urgent generations are not starved")
	})
}
