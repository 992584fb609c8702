package gossip

import (
	"bytes"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/parts"
	"ebonypulley/quota"
	"ebonypulley/release"
	"ebonypulley/revision"
	"ebonypulley/router"
	"ebonypulley/wire"
)

func newOddNode() *Node {
	return NewNode(Self{Addr: "self:1", DataCentre: "dc"}, nil, router.NewLoadTracker(), catalog.New(), event.Nop(), nil)
}

// TestOddFleetSize guards against a number that no fleet has, by which each share of a limit and of
// the retry budget would be nothing for an hour, at all entries that are told of it.
func TestOddFleetSize(t *testing.T) {
	now := time.Now()
	for _, most := range []int{math.MinInt, -1, maxIncoming + 1, math.MaxInt} {
		n := newOddNode()
		n.learnMaxEntries(now, 3, time.Minute, true)
		n.learnMaxEntries(now, most, time.Second, true)
		got, _ := n.maxEntries(now)
		assert.Equal(t, 3, got, most)
	}
}

// TestOddMembers guards against addresses that nobody listens at, which would be dialed, counted as
// entries, and keep the entry with the lowest address from giving orders.
func TestOddMembers(t *testing.T) {
	now := time.Now()
	long := string(make([]byte, 300))
	odd := []string{"", "no-port", "10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "10.0.0.1:port", "10.0.0.1:8", long + ":8", "a b:8", ":8"}
	n := newOddNode()
	n.observe(now, "sound:1", "dc", StoreAccess{}, membersOf(odd, nil, nil))
	assert.ElementsMatch(t, []string{"10.0.0.1:8", "sound:1"}, n.members.Recent(now))
	for _, from := range odd {
		if from != "10.0.0.1:8" {
			n.mergeReport(now, &wire.Report{From: from, Work: []wire.EndpointWork{{Endpoint: "e", Calls: 1}}})
		}
	}
	assert.Equal(t, []string{"sound:1"}, n.alive(now))
	many := make([]string, maxIncoming+1)
	for i := range many {
		many[i] = "10.0.0.1:" + string(rune('1'+i%9)) + string(rune('0'+i/9%10)) + string(rune('0'+i/90%10)) + string(rune('0'+i/900%10))
	}
	assert.Empty(t, membersOf(many, nil, nil))
}

// TestOddRevisions guards against revisions that no store has reached: all that the store lists from
// then on would be older than what is known, and entries would stop following it.
func TestOddRevisions(t *testing.T) {
	for _, odd := range []wire.Reply{
		{UpTo: 1 << 63}, {UpTo: math.MaxUint64}, {UpTo: 9, Era: 1 << 63}, {UpTo: 9, Era: math.MaxUint64},
		{UpTo: 9, Entries: []wire.PublishedEntry{{Key: "servers/a", Value: []byte("old"), Revision: math.MaxUint64}}},
		{Corrects: true, Entries: []wire.PublishedEntry{{Key: "servers/a", Value: []byte("old"), Revision: 1 << 63}}},
	} {
		n := newOddNode()
		fresh := 0
		n.OnReceive = func(time.Duration) { fresh++ }
		n.handlePublished("odd:1", &odd, nil)
		n.recordRevision("odd:1", odd.CompleteTo())
		assert.Zero(t, fresh, "%+v", odd)
		n.handlePublished("sound:1", &wire.Reply{UpTo: 12, Entries: []wire.PublishedEntry{{Key: "servers/a", Value: []byte("new"), Revision: 11}}}, nil)
		e, ok := n.catalog.Get("servers/a")
		assert.True(t, ok, "%+v", odd)
		assert.Equal(t, "new", string(e.Value), "%+v", odd)
		assert.Equal(t, revision.Revision{Count: 12}, n.catalog.Revision(), "%+v", odd)
		assert.False(t, n.revisions["odd:1"].After(revision.Revision{Count: 1 << 62}), "%+v", odd)
	}
}

// TestOddAgeOfCopy guards against an age by which an old copy would count as one of the future: the
// store would not be read any more.
func TestOddAgeOfCopy(t *testing.T) {
	for _, age := range []time.Duration{math.MinInt64, -time.Hour, math.MaxInt64, math.MaxInt64 - 1} {
		n := newOddNode()
		var got []time.Duration
		n.OnReceive = func(age time.Duration) { got = append(got, age) }
		now := time.Now()
		n.mergeFetched(now, time.Second, &wire.Reply{UpTo: 12, Age: age}, nil)
		for _, a := range got {
			assert.GreaterOrEqual(t, a, time.Duration(0), age)
			assert.Less(t, a, 100*365*24*time.Hour, age)
		}
	}
}

// TestOddHistoryAge guards against a history that claims to reach back for ever, by which the
// version of each older stream would be taken for known.
func TestOddHistoryAge(t *testing.T) {
	for age, known := range map[time.Duration]time.Duration{30 * time.Second: 30 * time.Second, math.MinInt64: 0, -time.Hour: 0} {
		n := newOddNode()
		now := time.Now()
		n.observe(now, "sound:1", "dc", StoreAccess{}, nil)
		n.Releases.SetEndpoints(now, "s", []release.Endpoint{{ID: "a", Version: "1"}})
		published := n.Releases.History(now)[0].Published
		n.mergeVersionHistory(now, []wire.ServiceVersions{{Service: "s", Age: age}}, []uint64{published})
		assert.Equal(t, known, n.Releases.History(now)[0].Age, age)
	}
}

// TestOddFramesAreCounted guards against an entry whose messages nobody can decode, which no operator
// learns of.
func TestOddFramesAreCounted(t *testing.T) {
	n := newOddNode()
	near, far := net.Pipe()
	go func() {
		_, _ = far.Write([]byte{0, 0, 0, 13, byte(wire.KindReport), 0x81, 0xa5, 'L', 'o', 'a', 'd', 's', 0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0})
	}()
	n.serveConn(t.Context(), near)
	assert.EqualValues(t, 1, n.Metrics.Count("peer_frames_malformed"))
}

// FuzzMessages merges whatever another entry may send. Nothing may end the process, or be told on as
// a number that no entry can mean.
func FuzzMessages(f *testing.F) {
	for _, age := range []time.Duration{math.MinInt64, -1, time.Second, math.MaxInt64} {
		for _, x := range []float64{math.NaN(), math.Inf(1), -1e300, 1e300, 2} {
			report, _ := wire.AppendFrame(nil, &wire.Report{
				From: "odd:1", Members: []string{"odd:70000", "odd:2"}, Centres: []string{"", "dc"}, Links: []float64{x, x}, Link: x, Most: math.MaxInt, MostAge: age, Counted: true,
				Work: []wire.EndpointWork{{Endpoint: "e", Calls: int(age)}}, Avoided: []wire.AvoidedEndpoint{{Endpoint: "e", Age: age, Left: age}},
				Demand: []wire.ServiceDemand{{Service: "s", Calls: x, Tokens: x}}, Revision: math.MaxUint64, Era: 1 << 63, Behind: true,
				Use: []wire.WorkspaceUse{{Workspace: 1, Taken: math.MaxUint64, Returned: 1 << 63}}, Levels: []wire.WorkspaceLevel{{Workspace: 1, Level: x}},
				Limits: []wire.EndpointLimit{{Endpoint: 1, Named: true, PerSecond: x, Age: age}}, Crashes: []wire.Crash{{Content: 1, Endpoint: "e", Age: age, Lasted: age}}, CrashRates: []float64{x},
				PartCrashes: []wire.PartCrash{{Endpoint: "e", Content: 2, Parts: []uint64{1, 2}, Age: age}}, PartsBegun: []wire.PartBegun{{Part: 1, Age: age}},
				Loads: []wire.EndpointLoad{{Endpoint: "e", Running: 1, Slots: 1, Slowdown: x, Age: age}}, Waiting: []wire.ServiceWaiting{{Service: "s", Rank: int(age), Waiting: x, Running: x, Oldest: age}},
				WaitingBy: []wire.WorkspaceWaiting{{Service: "s", Demand: x}}, Returns: []wire.PromisedReturns{{Key: 1, First: age, Cost: []float64{x, 1}}},
			})
			f.Add(report)
		}
		reply, _ := wire.AppendFrame(nil, &wire.Reply{
			Age: age, UpTo: 1 << 63, Era: 1, Entries: []wire.PublishedEntry{{Key: "servers/a", Revision: math.MaxUint64}, {Key: "op/config", Revision: 3, Manifest: &parts.Manifest{Size: math.MaxInt, Parts: []uint64{1}}}},
			Keys: []string{"servers/b"}, Versions: []wire.ServiceVersions{{Service: "s", Age: age, Changes: []wire.EndpointVersion{{Endpoint: 1, Added: age, Removed: age}}}}, Published: []uint64{0}, Begun: []wire.StreamVersion{{Request: 1, Version: "1"}},
		})
		f.Add(reply)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newOddNode()
		now := time.Now()
		n.OnReceive = func(age time.Duration) { assert.True(t, age >= 0 && age <= maxCopyAge+time.Hour) }
		n.Releases.SetEndpoints(now, "s", []release.Endpoint{{ID: "a", Version: "1"}, {ID: "b", Version: "2"}})
		n.Quotas.SetLimits(map[quota.ID]quota.Limit{1: {Rate: 10, Burst: 10}})
		n.Quotas.SetFleetSize(2)
		near, far := net.Pipe()
		defer far.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c := wire.NewConn(near)
		defer c.Close()
		for r := wire.NewReader(bytes.NewReader(data)); ; now = now.Add(time.Second) {
			m, err := r.Next()
			if err != nil {
				break
			}
			switch m := m.(type) {
			case *wire.Report:
				n.mergeReport(now, m)
				n.answerReport(now, c, m, true)
			case *wire.Reply:
				n.observe(now, "odd:1", m.DataCentre, StoreAccess{LinkMbps: m.Link}, membersOf(m.Members, m.Centres, m.Links))
				n.learnMaxEntries(now, m.Most, m.MostAge, m.Counted)
				n.mergeVersionHistory(now, m.Versions, m.Published)
				n.mergeStreams(now, m.Begun, m.Prompts)
				n.recordRevision("odd:1", m.At())
				n.handlePublished("odd:1", m, c)
			case *wire.Parts:
				n.handleParts("odd:1", m, c)
			case *wire.PartsRequest:
				n.handlePartsRequest(m)
			}
		}
		n.Quotas.Take(now, 1, 1)
		most, _ := n.maxEntries(now)
		assert.LessOrEqual(t, most, 2*maxIncoming)
		assert.True(t, isRevision(n.catalog.Revision().Era, n.catalog.Revision().Count))
		for _, s := range n.Quotas.OwnEndpointLimits(now) {
			assert.True(t, s.PerSecond >= 0)
		}
		v := n.loads.View(now, "e")
		assert.False(t, math.IsNaN(v.Slowdown) || math.IsNaN(v.FailureRate))
		n.IsLeader()
		n.sourceToAsk(now)
	})
}
