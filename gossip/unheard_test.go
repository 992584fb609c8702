package gossip_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/gossip"
	"ebonypulley/internal/simnet"
)

// startFour starts four entries. It returns the first one.
func startFour(t *testing.T, n *simnet.Net) (first *gossip.Node, end func()) {
	var ends []func()
	for i := range 4 {
		ends = append(ends, startSimNode(t, n, fmt.Sprint("entry-", i), "dc", []string{"entry-0:1", "entry-1:1"}, func(node *gossip.Node) {
			if i == 0 {
				first = node
			}
		}))
	}
	return first, func() {
		for _, end := range ends {
			end()
		}
	}
}

// TestUnheardEntryBeginsStreamsAsOthersExpect guards against streams that two software versions write: an entry
// that others don't hear begins them at another version than the others work out, and their callers resume
// them elsewhere. An entry from which nothing is heard may be cut off and serve callers.
func TestUnheardEntryBeginsStreamsAsOthersExpect(t *testing.T) {
	const noticed, cutFor = 2 * time.Second, time.Minute
	for name, cutOff := range map[string][]string{"alone": {"entry-0"}, "with another one": {"entry-0", "entry-1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := simnet.New()
				first, end := startFour(t, n)
				defer end()
				time.Sleep(5 * time.Second)
				assert.True(t, first.Releases.MayDiffer(), "all hear it")
				n.Partition(cutOff...)
				time.Sleep(noticed)
				for until := time.Now().Add(cutFor); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
					if !assert.False(t, first.Releases.MayDiffer(), "cut off for %s", time.Since(until.Add(-cutFor-noticed))) {
						break
					}
				}
				n.Partition()
				time.Sleep(5 * time.Second)
				assert.True(t, first.Releases.MayDiffer(), "all hear it again")
				n.Close()
			})
		})
	}
}

// TestEntryThatStartsCutOffBeginsStreamsAsOthersExpect guards against the same of an entry that has
// heard of nobody since its start.
func TestEntryThatStartsCutOffBeginsStreamsAsOthersExpect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := simnet.New()
		n.Partition("entry-0")
		first, end := startFour(t, n)
		defer end()
		time.Sleep(5 * time.Second)
		assert.False(t, first.Releases.MayDiffer(), "cut off since its start")
		n.Partition()
		time.Sleep(5 * time.Second)
		assert.True(t, first.Releases.MayDiffer(), "all hear it")
		n.Close()
	})
}

// TestWithheldStreamIsToldAtOnce guards against callers that wait for the next round of reports, and
// against reports to all for each of many streams.
func TestWithheldStreamIsToldAtOnce(t *testing.T) {
	const roundTrip, atOnce = 2 * time.Millisecond, 5 * time.Millisecond
	const streams, maxReportsPerEntry = 500, 45 // in a second
	synctest.Test(t, func(t *testing.T) {
		n := simnet.New()
		n.Latency = roundTrip / 2
		first, end := startFour(t, n)
		time.Sleep(5 * time.Second)
		for i := range 7 {
			began := time.Now()
			assert.True(t, first.Releases.AwaitHeard(t.Context(), first.Releases.Withhold(began, "llm", fmt.Sprint(i))))
			assert.GreaterOrEqual(t, time.Since(began), roundTrip)
			assert.Less(t, time.Since(began), atOnce)
			time.Sleep(333 * time.Millisecond)
		}
		before := first.Metrics.Count("reports_out")
		for i := range streams {
			first.Releases.Withhold(time.Now(), "llm", fmt.Sprint("r", i))
			time.Sleep(time.Second / streams)
		}
		assert.Less(t, first.Metrics.Count("reports_out")-before, int64(3*maxReportsPerEntry))
		n.Close()
		end()
		time.Sleep(10 * time.Second)
	})
}
