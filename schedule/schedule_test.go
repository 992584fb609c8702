package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/config"
	_ "ebonypulley/plugins"
	"ebonypulley/schedule"
	"ebonypulley/wire"
)

func candidates(n int) []schedule.Candidate {
	list := make([]schedule.Candidate, n)
	for i := range list {
		list[i] = schedule.Candidate{
			Endpoint: config.Endpoint{Name: fmt.Sprintf("e%d", i)},
			Load:     wire.Load{Capacity: 20, Active: 10},
			Ready:    true,
		}
	}
	return list
}

func choose(t *testing.T, p config.Policy, req schedule.Request, list []schedule.Candidate) string {
	prof, err := schedule.NewProfile(p)
	require.NoError(t, err)
	e, err := prof.Choose(&req, list, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return ""
	}
	return e.Name
}

func TestDefaultsPreferIdleNearAndCached(t *testing.T) {
	best := config.Policy{Picker: "picker.best"}
	idle := candidates(3)
	idle[1].Load.Active = 0
	assert.Equal(t, "e1", choose(t, best, schedule.Request{}, idle))
	near := candidates(3)
	near[0].Distance, near[1].Distance = 20*time.Millisecond, 20*time.Millisecond
	assert.Equal(t, "e2", choose(t, best, schedule.Request{}, near))
	cached := candidates(3)
	cached[1].CachedTokens = 900
	assert.Equal(t, "e1", choose(t, best, schedule.Request{Tokens: 1000}, cached))
}

func TestReadyFilter(t *testing.T) {
	list := candidates(3)
	list[0].Ready = false
	list[1].Tried = true
	assert.Equal(t, "e2", choose(t, config.Policy{}, schedule.Request{}, list))
	list = candidates(2)
	list[0].Ready = false
	list[1].Tried = true
	assert.Equal(t, "e1", choose(t, config.Policy{}, schedule.Request{}, list), "an endpoint that was tried is better than none")
	assert.Empty(t, choose(t, config.Policy{}, schedule.Request{}, candidates(0)))
}

func TestUnknownPluginErrorListsKnown(t *testing.T) {
	_, err := schedule.NewProfile(config.Policy{Picker: "picker.oracle"})
	assert.ErrorContains(t, err, "picker.twochoices")
	_, err = schedule.NewProfile(config.Policy{Picker: "scorer.load"})
	assert.ErrorContains(t, err, "not of the required kind")
}

// One endpoint has just become idle, and 40 entries act on the same outdated load
// reports. With picker.best all of them choose it and overload it; with
// picker.twochoices the requests are spread.
func TestNoHerdOnNewlyIdleEndpoint(t *testing.T) {
	most := func(picker string) int {
		prof, err := schedule.NewProfile(config.Policy{Picker: picker})
		require.NoError(t, err)
		hits := make(map[string]int)
		for entry := range uint64(40) {
			list := candidates(10)
			list[3].Load.Active = 0
			e, err := prof.Choose(&schedule.Request{}, list, rand.New(rand.NewPCG(entry, 7)))
			require.NoError(t, err)
			hits[e.Name]++
		}
		top := 0
		for _, n := range hits {
			top = max(top, n)
		}
		return top
	}
	assert.Equal(t, 40, most("picker.best"))
	assert.Less(t, most("picker.twochoices"), 16)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			prof, err := schedule.NewProfile(config.Policy{})
			require.NoError(b, err)
			rnd := rand.New(rand.NewPCG(1, 1))
			list := candidates(n)
			scratch := make([]schedule.Candidate, n)
			b.ReportAllocs()
			for b.Loop() {
				copy(scratch, list)
				if _, err := prof.Choose(&schedule.Request{Tokens: 1000}, scratch, rnd); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
