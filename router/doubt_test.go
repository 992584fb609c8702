package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/estimate"
	"ebonypulley/event"
	"ebonypulley/metrics"
	"ebonypulley/pace"
)

var doubtService = &Service{Name: "llm", Engine: &Engine{Slots: 64, KVCapacity: 26000, Stride: 11, LocalPrefillSlowdown: 2}}

// newDoubtRouter returns a router for two prefill and two decode engines, whose speeds it knows.
func newDoubtRouter() *Router {
	r := New(Settings{DataCentre: "dc-1", SingleEntry: true}, nil, event.Nop(), metrics.NewSet())
	var list []*Endpoint
	for id, role := range map[string]Role{"p1": Prefill, "p2": Prefill, "d1": Decode, "d2": Decode} {
		list = append(list, &Endpoint{ID: id, Service: "llm", DataCentre: "dc-1", Role: role, Slots: 64})
	}
	r.SetDirectory(NewDirectory(1, 0, nil, []*Service{doubtService}, list))
	r.loads.UpdateModel(doubtService, func(m *estimate.EngineModel) {
		for i := range 60 {
			m.RecordPrefill(3000+100*(i%20), time.Duration(300+10*(i%20))*time.Millisecond)
			m.RecordHandoff(false, 100*time.Millisecond)
			m.RecordGap(1+i%5, time.Duration(90+i%5)*time.Millisecond)
			m.RecordAnswer(700, 3*time.Second)
		}
	})
	return r
}

func (r *Router) placeForTest() placement {
	now := time.Now()
	c := &Call{Route: &Route{LatencyTarget: 900 * time.Millisecond, MaxGap: 300 * time.Millisecond}, Service: doubtService, ReceivedAt: now, Deadline: now.Add(14 * time.Second),
		Timeout: 14 * time.Second, PromptTokens: 3000, MaxOutputTokens: 1400, ResumeAfter: NoEvent}
	p, _ := r.place(now, c, placeOptions{fill: maxFill})
	return p
}

// settle lets an engine say its pace for a while, as usual.
func (r *Router) settle(endpoints ...string) {
	for range 40 {
		time.Sleep(50 * time.Millisecond)
		for i, id := range endpoints {
			l := pace.Load{Slots: 64, Slowdown: 1}
			if i == len(endpoints)-1 && time.Now().UnixMilli()%1000 < 150 {
				l.Slowdown = 2.5
			}
			r.paces.Observe(time.Now(), id, l)
		}
	}
}

// TestSlowEngineGetsNoWork: an engine turns slow in the middle of its work. New generations must
// go to others until the news has faded, although it has less work.
func TestSlowEngineGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDoubtRouter()
		r.settle("p1", "p2", "d1", "d2")
		r.loads.Begin("p2", Load{PrefillTokens: 1000})
		r.loads.Begin("d2", Load{Decodes: 2, KVTokens: 6000})
		p := r.placeForTest()
		assert.Equal(t, "p1", p.prefill.ID)
		assert.Equal(t, "d1", p.decode.ID)
		for _, id := range []string{"p1", "d1"} {
			r.paces.Observe(time.Now(), id, pace.Load{Slots: 64, Slowdown: 4})
		}
		for _, id := range []string{"p2", "d2"} {
			r.paces.Observe(time.Now(), id, pace.Load{Slots: 64, Slowdown: 1})
		}
		p = r.placeForTest()
		assert.Equal(t, "p2", p.prefill.ID)
		assert.Equal(t, "d2", p.decode.ID)
		time.Sleep(3 * time.Second)
		p = r.placeForTest()
		assert.Equal(t, "p1", p.prefill.ID)
		assert.Equal(t, "d1", p.decode.ID)
	})
}

// TestNoDoubtWithoutPace: engines that don't say their pace must be chosen by the mean of their
// durations alone, as in deployments without the header.
func TestNoDoubtWithoutPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDoubtRouter()
		c := &Call{Route: &Route{LatencyTarget: 900 * time.Millisecond, MaxGap: 300 * time.Millisecond}, Service: doubtService, PromptTokens: 3000}
		pl := placer{call: c, model: r.loads.EngineModel(doubtService), slo: c.slo(), left: 10 * time.Millisecond}
		counts := make([]pace.Load, 4)
		for i := range counts {
			r.paces.Observe(time.Now(), "d1", pace.Load{Running: i, Slots: 64})
		}
		v := r.loads.View(time.Now(), "d1")
		assert.Equal(t, View{Slowdown: 1, StepSlowdown: 1, Pace: pace.Now{Factor: 1, SlowFactor: 1, QuickFactor: 1}}, v)
		assert.Zero(t, pl.lateCost(v, time.Second))
		for _, gap := range []time.Duration{10, 284, 285, 286, 900} {
			late := 0.0
			if gap*time.Millisecond > pl.gapLimit() {
				late = 1
			}
			assert.Equal(t, late, v.chanceAbove(gap*time.Millisecond, pl.gapLimit()))
		}
		list := pl.addCosts([]candidate{{e: &Endpoint{ID: "d1", Role: Decode}, view: v}})
		assert.Zero(t, list[0].cost)
	})
}
