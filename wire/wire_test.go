package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/wire"
)

func sampleMessages() []wire.Message {
	id := wire.NewID()
	return []wire.Message{
		&wire.Hello{Version: wire.Version, Role: "entry", Name: "alm-a-entry-1", DataCentre: "alm-a", Incarnation: id, Generation: 3},
		&wire.Ping{Seq: 7, Generation: 3},
		&wire.Pong{Seq: 7, Load: wire.Load{Active: 3, Capacity: 20, Draining: true}},
		&wire.ConfigRequest{},
		&wire.Config{Text: []byte("{}")},
		&wire.Reserve{ID: id, Tokens: 900, Spare: true, Wait: time.Second, Model: "drafting"},
		&wire.Granted{ID: id},
		&wire.Refused{ID: id, Reason: wire.ReasonFull, RetryAfter: time.Second},
		&wire.Prefill{ID: id, Prompt: strings.Repeat("p", 5000)},
		&wire.Prefilled{ID: id, KV: wire.KVRef{Handle: "h", Bytes: 1 << 30, Lives: time.Second}},
		&wire.Decode{ID: id, MaxTokens: 64, Next: 12},
		&wire.Chunk{ID: id, From: 12, Tokens: []string{" chess", " club"}},
		&wire.Ack{ID: id, Next: 14},
		&wire.Finish{ID: id, Tokens: 14, Why: "stop"},
		&wire.Failed{ID: id, Reason: wire.ReasonEngineLost, KVAlive: true},
		&wire.Cancel{ID: id},
		&wire.Cancelled{ID: id},
		&wire.Offer{ID: id, Method: "POST", Path: "/bookings", Key: "k", Members: 9, Fingerprint: 8},
		&wire.Start{ID: id, Incarnation: id, Headers: []wire.Header{{Name: "A", Value: "b"}}, Body: []byte("x")},
		&wire.Withdraw{ID: id},
		&wire.Outcome{ID: id, State: wire.StateDone, Status: 200, Body: []byte("y"), Replayed: true},
	}
}

func TestFramesRoundTrip(t *testing.T) {
	var stream []byte
	for _, m := range sampleMessages() {
		var err error
		stream, err = wire.AppendFrame(stream, m)
		require.NoError(t, err)
	}
	r := wire.NewReader(bytes.NewReader(stream))
	for _, want := range sampleMessages() {
		got, err := r.Next()
		require.NoError(t, err)
		assert.Equal(t, want.Kind(), got.Kind())
	}
	_, err := r.Next()
	assert.Equal(t, io.EOF, err)
}

// TestCutFrameIsNotApplied guards against a frame that is cut at any byte, by the end of the
// connection or within its announced length, and that is taken for a message.
func TestCutFrameIsNotApplied(t *testing.T) {
	for _, m := range sampleMessages() {
		frame, err := wire.AppendFrame(nil, m)
		require.NoError(t, err)
		for at := range frame {
			got, err := wire.NewReader(bytes.NewReader(frame[:at])).Next()
			assert.Error(t, err, "%T at %d", m, at)
			assert.Nil(t, got, "%T at %d", m, at)
			if at < 5 {
				continue
			}
			short := slices.Clone(frame[:at])
			binary.BigEndian.PutUint32(short, uint32(at-5))
			_, err = wire.NewReader(bytes.NewReader(short)).Next()
			assert.Error(t, err, "%T of %d bytes", m, at-5)
		}
	}
}

// TestCutFramesApplyWholeMessagesOnce guards against a connection of several messages that is cut at
// any byte, and of which one is lost, repeated or applied in part.
func TestCutFramesApplyWholeMessagesOnce(t *testing.T) {
	messages := sampleMessages()
	for first := range len(messages) - 2 {
		var sent []byte
		var ends []int
		for _, m := range messages[first : first+3] {
			var err error
			sent, err = wire.AppendFrame(sent, m)
			require.NoError(t, err)
			ends = append(ends, len(sent))
		}
		for at := range len(sent) + 1 {
			whole := 0
			for whole < len(ends) && ends[whole] <= at {
				whole++
			}
			reader := wire.NewReader(bytes.NewReader(sent[:at]))
			for _, want := range messages[first : first+whole] {
				got, err := reader.Next()
				require.NoError(t, err, "%T, cut at %d", want, at)
				if !reflect.DeepEqual(want, got) {
					assert.Equal(t, want, got, "cut at %d", at)
				}
			}
			got, err := reader.Next()
			assert.Nil(t, got, "cut at %d", at)
			between := at == 0 || whole > 0 && at == ends[whole-1]
			if err == nil || between != (err == io.EOF) {
				t.Errorf("%T and later, cut at %d: %v", messages[first], at, err)
			}
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	header := func(n uint32, kind byte) []byte { return append(binary.BigEndian.AppendUint32(nil, n), kind) }
	for name, bad := range map[string][]byte{
		"too long":       header(wire.MaxFrame+1, byte(wire.KindPing)),
		"unknown kind":   append(header(1, 200), 0xc0),
		"kind zero":      append(header(1, 0), 0xc0),
		"not msgpack":    append(header(3, byte(wire.KindPing)), 0xc1, 0xc1, 0xc1),
		"trailing bytes": append(header(3, byte(wire.KindCancel)), 0x90, 0xc0, 0xc0),
	} {
		_, err := wire.NewReader(bytes.NewReader(bad)).Next()
		assert.ErrorContains(t, err, "wire.frame", name)
	}
}

// TestFalseLengthDoesNotAllocate: peers that announce frames of 4 MB and send
// nothing more must not make the reader allocate that memory.
func TestFalseLengthDoesNotAllocate(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		bad := append(binary.BigEndian.AppendUint32(nil, wire.MaxFrame), byte(wire.KindConfig))
		_, err := wire.NewReader(bytes.NewReader(bad)).Next()
		assert.Error(t, err)
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(100*256<<10))
}

// TestSlowPeerIsDisconnected: the send queue of a peer that has stopped reading
// would grow without bound; the connection must be closed instead.
func TestSlowPeerIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := wire.NewConn(near)
		m := &wire.Start{Body: make([]byte, 1<<20)}
		var err error
		for range 20 {
			if err = c.Send(m); err != nil {
				break
			}
		}
		assert.ErrorContains(t, err, "wire.closed")
		synctest.Wait()
	})
}

func FuzzReader(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, _ := wire.AppendFrame(nil, m)
		f.Add(frame)
	}
	for _, m := range oddMessages() {
		frame, _ := wire.AppendFrame(nil, m)
		f.Add(frame)
	}
	f.Add(frameOf(wire.KindReport, nested(1000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := wire.NewReader(bytes.NewReader(data))
		for {
			m, err := r.Next()
			if err != nil {
				return
			}
			_, err = wire.AppendFrame(nil, m)
			require.NoError(t, err)
		}
	})
}

func BenchmarkChunkFrame(b *testing.B) {
	m := &wire.Chunk{ID: wire.NewID(), From: 12, Tokens: []string{" chess"}}
	var buf []byte
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			buf, _ = wire.AppendFrame(buf[:0], m)
		}
		b.ReportMetric(float64(len(buf)), "bytes/frame")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		src := bytes.NewReader(buf)
		r := wire.NewReader(src)
		for b.Loop() {
			src.Reset(buf)
			if _, err := r.Next(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkHeartbeatFrame(b *testing.B) {
	ping, _ := wire.AppendFrame(nil, &wire.Ping{Seq: 1 << 20, Generation: 1 << 20, Digest: 1 << 60})
	pong, _ := wire.AppendFrame(nil, &wire.Pong{Seq: 1 << 20, Generation: 1 << 20, Digest: 1 << 60, Load: wire.Load{Active: 18, Waiting: 3, Capacity: 20, Backlog: 20000, CacheEpoch: 1 << 60}})
	var buf []byte
	for b.Loop() {
		buf, _ = wire.AppendFrame(buf[:0], &wire.Ping{Seq: 1 << 20, Generation: 1 << 20, Digest: 1 << 60})
	}
	b.ReportMetric(float64(len(ping)), "ping-bytes")
	b.ReportMetric(float64(len(pong)), "pong-bytes")
}

// TestPartialFrameCountsAsActivity: on a link of 10 Mbit/s a document of 1 MB
// takes longer than the idle timeout. If only complete frames counted as
// activity, the entry would replace the connection and send the document again
// from its first byte, so that it would never arrive.
func TestPartialFrameCountsAsActivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := wire.NewConn(near)
		got := make(chan wire.Message, 1)
		go func() { _ = c.Serve(t.Context(), func(m wire.Message) { got <- m }) }()
		frame, err := wire.AppendFrame(nil, &wire.Config{Text: make([]byte, 1<<20)})
		require.NoError(t, err)
		for len(frame) > 0 {
			n := min(len(frame), 32<<10)
			_, err := far.Write(frame[:n])
			require.NoError(t, err)
			frame = frame[n:]
			time.Sleep(200 * time.Millisecond)
			assert.LessOrEqual(t, c.IdleTime(time.Now()), 200*time.Millisecond)
		}
		assert.Len(t, (<-got).(*wire.Config).Text, 1<<20)
		c.Close()
		_ = far.Close()
	})
}
