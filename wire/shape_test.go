package wire_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/wire"
)

// frameOf returns a frame of a kind with a body.
func frameOf(kind wire.Kind, body []byte) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), byte(kind)), body...)
}

// nested returns n arrays in each other.
func nested(n int) []byte { return append(bytes.Repeat([]byte{0x91}, n), 0xc0) }

// TestDeepNesting: a message of another build with an unknown field that is nested millions deep
// must not exhaust the stack, which ends the process.
func TestDeepNesting(t *testing.T) {
	unknown := append([]byte{0x81, 0xa3, 'O', 'd', 'd'}, nested(wire.MaxFrame-16)...)
	beyond := append(append([]byte{0xdc, 0, 64}, bytes.Repeat([]byte{0xc0}, 63)...), nested(wire.MaxFrame-128)...)
	for _, kind := range []wire.Kind{wire.KindReport, wire.KindReply, wire.KindPing} {
		for _, body := range [][]byte{unknown, beyond, nested(1 << 20)} {
			_, err := wire.NewReader(bytes.NewReader(frameOf(kind, body))).Next()
			assert.ErrorContains(t, err, "wire.frame")
		}
	}
}

// TestManyValues: a frame within its size must not take a multiple of the memory of a VM when it is
// decoded, because it lists millions of values of a byte each.
func TestManyValues(t *testing.T) {
	const n = wire.MaxFrame - 64
	body := binary.BigEndian.AppendUint32([]byte{0x81, 0xa5, 'L', 'o', 'a', 'd', 's', 0xdd}, n)
	frame := frameOf(wire.KindReport, append(body, bytes.Repeat([]byte{0xc0}, n)...))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := wire.NewReader(bytes.NewReader(frame)).Next()
	runtime.ReadMemStats(&after)
	assert.ErrorContains(t, err, "wire.frame")
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(5*wire.MaxFrame))
}

// TestFalseCounts: a list that announces more values than the frame has bytes must not make the
// reader allocate them.
func TestFalseCounts(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		body := []byte{0x81, 0xa5, 'L', 'o', 'a', 'd', 's', 0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0}
		_, err := wire.NewReader(bytes.NewReader(frameOf(wire.KindReport, body))).Next()
		assert.ErrorContains(t, err, "wire.frame")
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(20*64<<10))
}

// TestUnknownFieldIsSkipped: a field of a later release, nested as deep as ours, must not close the
// connections between the releases.
func TestUnknownFieldIsSkipped(t *testing.T) {
	body := append([]byte{0x82, 0xa4, 'F', 'r', 'o', 'm', 0xa3, 'a', ':', '1', 0xa3, 'O', 'd', 'd'}, nested(10)...)
	m, err := wire.NewReader(bytes.NewReader(frameOf(wire.KindReport, body))).Next()
	require.NoError(t, err)
	assert.Equal(t, "a:1", m.(*wire.Report).From)
}

// oddMessages returns messages with numbers that no entry means.
func oddMessages() []wire.Message {
	var list []wire.Message
	for _, age := range []time.Duration{math.MinInt64, -1, math.MaxInt64} {
		for _, x := range []float64{math.NaN(), math.Inf(1), -1e300, 1e300} {
			list = append(list, &wire.Report{
				From: "entry:70000", Members: []string{strings.Repeat("9", 300)}, Centres: []string{""}, Links: []float64{x}, Link: x, Most: math.MaxInt, MostAge: age, Counted: true,
				Work: []wire.EndpointWork{{Endpoint: "e", Calls: int(age), KV: int(age)}}, Avoided: []wire.AvoidedEndpoint{{Endpoint: "e", Age: age, Left: age}},
				Demand: []wire.ServiceDemand{{Service: "s", Calls: x, Tokens: x}}, Revision: math.MaxUint64, Era: 1 << 63,
				Use: []wire.WorkspaceUse{{Workspace: 1, Taken: math.MaxUint64, Returned: 1 << 63}}, Levels: []wire.WorkspaceLevel{{Workspace: 1, Level: x}},
				Limits: []wire.EndpointLimit{{Endpoint: 1, Named: true, PerSecond: x, Age: age}}, Crashes: []wire.Crash{{Content: 1, Endpoint: "e", Age: age, Lasted: age}}, CrashRates: []float64{x},
				Loads: []wire.EndpointLoad{{Endpoint: "e", Running: int(age), Slots: 1, Slowdown: x, Age: age}}, Waiting: []wire.ServiceWaiting{{Service: "s", Rank: int(age), Waiting: x, Running: x, Oldest: age}},
				WaitingBy: []wire.WorkspaceWaiting{{Service: "s", Demand: x}}, Returns: []wire.PromisedReturns{{Key: 1, First: age, Cost: []float64{x}}},
			})
		}
		list = append(list, &wire.Reply{Age: age, UpFor: age, LateAge: age, UpTo: math.MaxUint64, Era: 1 << 63, Versions: []wire.ServiceVersions{{Service: "s", Age: age, Changes: []wire.EndpointVersion{{Added: age, Removed: age}}}}})
	}
	return list
}

// TestLargeRepliesArrive: the published entries of a large fleet, and their keys, must fit.
func TestLargeRepliesArrive(t *testing.T) {
	reply := &wire.Reply{Era: 1}
	for i := range 12000 {
		key := fmt.Sprint("servers/instance-", i)
		reply.Keys = append(reply.Keys, key)
		reply.Entries = append(reply.Entries, wire.PublishedEntry{Key: key, Value: make([]byte, 220), Revision: uint64(i)})
	}
	frame, err := wire.AppendFrame(nil, reply)
	require.NoError(t, err)
	m, err := wire.NewReader(bytes.NewReader(frame)).Next()
	require.NoError(t, err)
	assert.Equal(t, reply, m)
}
