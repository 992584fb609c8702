package gossip_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley"
	"ebonypulley/catalog"
	"ebonypulley/event"
	"ebonypulley/gossip"
	"ebonypulley/internal/simnet"
	"ebonypulley/memory"
	"ebonypulley/metrics"
	"ebonypulley/revision"
	"ebonypulley/router"
	"ebonypulley/wire"
)

const (
	// smallestVM is the memory limit of the smallest VM in bytes, peersFraction the part of it
	// that connections to other entries may take.
	smallestVM    = 88 << 20
	peersFraction = 0.08
	// maxIncoming is the number of connections of other entries that an entry keeps.
	maxIncoming = 1024
	// connBytes is the memory of one simulated connection without queued frames, both ends.
	connBytes = 50 << 10
)

// largeCatalog returns the published entries of a large fleet: a configuration and endpoints.
func largeCatalog() *catalog.Catalog {
	at := revision.Revision{Count: 7}
	var config bytes.Buffer
	for i := range 60_000 {
		fmt.Fprintf(&config, "%016x,", uint64(i+1)*0x9e3779b97f4a7c15)
	}
	list := []catalog.Entry{{Key: "op/config", Value: config.Bytes(), Revision: at}}
	for i := range 300 {
		list = append(list, catalog.Entry{Key: fmt.Sprint("endpoint/", i), Value: bytes.Repeat([]byte("x"), 2000), Revision: at})
	}
	cat := catalog.New()
	cat.Merge(time.Now(), list, at)
	return cat
}

// askWithoutReading asks an entry for all of its published entries and for the parts of large
// ones, ten times a second, and reads no answer. It returns when ctx ends.
func askWithoutReading(ctx context.Context, dial ebonypulley.Dialer, from, to string, parts []uint64) {
	for ctx.Err() == nil {
		nc, err := dial(ctx, "tcp", to)
		for ctx.Err() == nil && err == nil {
			ask, _ := wire.AppendFrame(nil, &wire.Report{From: from, DataCentre: "dc", Incarnation: wire.NewID(), Behind: true})
			ask, _ = wire.AppendFrame(ask, &wire.PartsRequest{Digests: parts})
			_, err = nc.Write(ask)
			time.Sleep(100 * time.Millisecond)
		}
		if nc != nil {
			_ = nc.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// acceptWithoutReading accepts connections and reads nothing on them. It keeps the last one.
func acceptWithoutReading(ln net.Listener) {
	var last net.Conn
	for {
		nc, err := ln.Accept()
		if last != nil {
			_ = last.Close()
		}
		if err != nil {
			return
		}
		last = nc
	}
}

// manifestOf fetches the manifest of the configuration from an entry.
func manifestOf(t *testing.T, n *simnet.Net, addr string) []uint64 {
	t.Helper()
	nc, err := n.Dialer("manifest")(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer nc.Close()
	ask, err := wire.AppendFrame(nil, &wire.Report{From: "manifest:1", DataCentre: "dc", Incarnation: wire.NewID(), Behind: true})
	require.NoError(t, err)
	go func() { _, _ = nc.Write(ask) }()
	m, err := wire.NewReader(nc).Next()
	require.NoError(t, err)
	for _, e := range m.(*wire.Reply).Entries {
		if e.Manifest != nil {
			return e.Manifest.Parts
		}
	}
	t.Fatal("no manifest")
	return nil
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// muteFleet is an entry with published entries among peers that ask for them and read nothing.
type muteFleet struct {
	t   *testing.T
	net *simnet.Net
	ctx context.Context
	// loads and metrics are those of the entry.
	loads   *router.LoadTracker
	metrics *metrics.Set
}

func newMuteFleet(ctx context.Context, t *testing.T, budget *memory.Budget) *muteFleet {
	t.Helper()
	f := &muteFleet{t: t, net: simnet.New(), ctx: ctx, loads: router.NewLoadTracker(), metrics: metrics.NewSet()}
	f.net.Latency = time.Millisecond
	for i := range 400 { // reports of some 10 kB
		f.loads.Begin(fmt.Sprint("endpoint-", i), router.Load{Calls: 3})
	}
	f.serve("entry", f.loads, largeCatalog(), func(node *gossip.Node) { node.Budget, node.Metrics = budget, f.metrics })
	return f
}

// serve starts an entry after set has configured its node.
func (f *muteFleet) serve(name string, loads *router.LoadTracker, cat *catalog.Catalog, set func(*gossip.Node)) {
	f.t.Helper()
	ln, err := f.net.Listen(name, name+":1")
	require.NoError(f.t, err)
	node := gossip.NewNode(gossip.Self{Addr: name + ":1", DataCentre: "dc"}, []string{"entry:1"}, loads, cat, event.Nop(), f.net.Dialer(name))
	node.Behind = func() bool { return cat.Revision().IsZero() }
	set(node)
	go func() { _ = node.Serve(f.ctx, ln) }()
}

// startMute starts peers that read nothing.
func (f *muteFleet) startMute(peers int) {
	f.t.Helper()
	parts := manifestOf(f.t, f.net, "entry:1")
	for i := range peers {
		name := fmt.Sprint("mute-", i)
		ln, err := f.net.Listen(name, name+":1")
		require.NoError(f.t, err)
		go acceptWithoutReading(ln)
		go askWithoutReading(f.ctx, f.net.Dialer(name), name+":1", "entry:1", parts)
	}
}

// TestPeersThatReadNothing guards against an entry that ends over its memory limit because
// other entries, partitioned in one direction or stuck, ask it for published entries and read
// none of its answers.
func TestPeersThatReadNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mute = 40
		ctx, cancel := context.WithCancel(t.Context())
		f := newMuteFleet(ctx, t, memory.NewBudget(smallestVM))
		seen := router.NewLoadTracker()
		f.serve("sound", seen, catalog.New(), func(*gossip.Node) {})
		time.Sleep(500 * time.Millisecond)
		before := heapInUse()
		f.startMute(mute)
		var peak int64
		for i := range 32 {
			endpoint := fmt.Sprint("e", i)
			f.loads.Begin(endpoint, router.Load{Calls: 3})
			time.Sleep(250 * time.Millisecond)
			peak = max(peak, heapInUse()-before)
			assert.Equal(t, 3, seen.View(time.Now(), endpoint).Calls, "work reported within 250 ms")
		}
		newcomer := catalog.New()
		f.serve("newcomer", router.NewLoadTracker(), newcomer, func(*gossip.Node) {})
		time.Sleep(2 * time.Second)
		assert.False(t, newcomer.Revision().IsZero(), "published entries within 2 s")
		t.Logf("the heap grows by %.1f MB", float64(peak)/(1<<20))
		allowance := peersFraction * smallestVM
		assert.Less(t, peak, int64(allowance)+2*mute*connBytes)
		cancel()
		f.net.Close()
		time.Sleep(10 * time.Second)
	})
}

// TestStalledPeersMakeRoom guards against an entry that gets no published entries because peers
// that read nothing hold all the memory of the only other entry.
func TestStalledPeersMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newMuteFleet(ctx, t, memory.NewBudget(smallestVM))
		f.startMute(40)
		time.Sleep(3 * time.Second)
		newcomer := catalog.New()
		f.serve("newcomer", router.NewLoadTracker(), newcomer, func(*gossip.Node) {})
		began := time.Now()
		for newcomer.Revision().IsZero() && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("published entries after %s", time.Since(began))
		assert.Less(t, time.Since(began), 1500*time.Millisecond)
		cancel()
		f.net.Close()
		time.Sleep(10 * time.Second)
	})
}

// TestMutePeerGetsOneAnswer guards against reports and answers that pile up for a peer that
// reads nothing, where the memory of the VM is not known.
func TestMutePeerGetsOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newMuteFleet(ctx, t, nil)
		f.startMute(1)
		for i := range 10 {
			f.loads.Begin(fmt.Sprint("e", i), router.Load{Calls: 3})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, int64(1), f.metrics.Count("reports_out"))
		assert.LessOrEqual(t, f.metrics.Count("replies_out"), int64(2), "one with published entries, and that of manifestOf")
		cancel()
		f.net.Close()
		time.Sleep(10 * time.Second)
	})
}

// sendHalfFrames connects to an entry, sends a frame without its last byte, and connects again
// once the connection is closed. It returns when ctx ends.
func sendHalfFrames(ctx context.Context, dial ebonypulley.Dialer, to string, frame []byte) {
	for ctx.Err() == nil {
		nc, err := dial(ctx, "tcp", to)
		if err == nil {
			if _, err = nc.Write(frame[:len(frame)-1]); err == nil {
				_, _ = io.Copy(io.Discard, nc)
			}
			_ = nc.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestPeersWithHalfFrames guards against an entry that ends over its memory limit because the
// links of other entries become silent in the middle of large messages.
func TestPeersWithHalfFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stuck = 40
		ctx, cancel := context.WithCancel(t.Context())
		f := newMuteFleet(ctx, t, memory.NewBudget(smallestVM))
		seen, late := router.NewLoadTracker(), catalog.New()
		f.serve("sound", seen, late, func(*gossip.Node) {})
		time.Sleep(500 * time.Millisecond)
		frame, err := wire.AppendFrame(nil, &wire.Parts{Packed: [][]byte{make([]byte, wire.MaxFrame-100)}})
		require.NoError(t, err)
		before := heapInUse()
		for i := range stuck {
			go sendHalfFrames(ctx, f.net.Dialer(fmt.Sprint("stuck-", i)), "entry:1", frame)
		}
		var peak int64
		for i := range 32 {
			endpoint := fmt.Sprint("e", i)
			f.loads.Begin(endpoint, router.Load{Calls: 3})
			time.Sleep(250 * time.Millisecond)
			peak = max(peak, heapInUse()-before)
			assert.Equal(t, 3, seen.View(time.Now(), endpoint).Calls, "work reported within 250 ms")
		}
		t.Logf("the heap grows by %.1f MB", float64(peak)/(1<<20))
		allowance := peersFraction * smallestVM
		assert.Less(t, peak, int64(allowance)+2*stuck*connBytes)
		cancel()
		f.net.Close()
		time.Sleep(10 * time.Second)
	})
}

// TestSilentPeersAreClosed guards against connections of entries that lost power or restart in
// a loop, which would be kept until the kernel gives them up after minutes.
func TestSilentPeersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newMuteFleet(ctx, t, nil)
		time.Sleep(time.Second)
		var open atomic.Int64
		for range 2 * maxIncoming {
			nc, err := f.net.Dialer("silent")(ctx, "tcp", "entry:1")
			require.NoError(t, err)
			open.Add(1)
			go func() {
				_, _ = io.Copy(io.Discard, nc)
				_ = nc.Close()
				open.Add(-1)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		assert.LessOrEqual(t, open.Load(), int64(maxIncoming))
		seen := router.NewLoadTracker()
		f.serve("sound", seen, catalog.New(), func(*gossip.Node) {})
		time.Sleep(2 * time.Second)
		assert.Equal(t, 3, seen.View(time.Now(), "endpoint-0").Calls, "an entry that starts beside them gets reports")
		time.Sleep(3 * time.Second)
		assert.LessOrEqual(t, open.Load(), int64(0))
		assert.Equal(t, 3, seen.View(time.Now(), "endpoint-0").Calls)
		cancel()
		f.net.Close()
		time.Sleep(10 * time.Second)
	})
}
