package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ebonypulley/config"
	"ebonypulley/event"
	"ebonypulley/membership"
	"ebonypulley/peer"
	"ebonypulley/wire"
)

// countingConn counts the bytes that a connection carries.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// serveAgent is a minimal agent: it answers Hello and heartbeats.
func serveAgent(ctx context.Context, nc net.Conn, name string) {
	conn := wire.NewConn(nc)
	_ = conn.Serve(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Hello:
			_ = conn.Send(&wire.Hello{Version: wire.Version, Name: name, Incarnation: wire.NewID()})
		case *wire.Ping:
			_ = conn.Send(&wire.Pong{Seq: m.Seq, Load: wire.Load{Active: 10, Capacity: 20}})
		}
	})
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleConnections measures the processor time, bytes and memory of each
// idle connection, with both ends in this process. It runs in real time, because
// it measures processor time.
func BenchmarkIdleConnections(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, n)
			}
		})
	}
}

const measureTime = 4 * time.Second

func measureIdle(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(b.Context())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	doc := &config.Document{Generation: 1}
	var bytes atomic.Int64
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		name := fmt.Sprintf("e%d", i)
		doc.Endpoints = append(doc.Endpoints, config.Endpoint{Name: name, Agent: ln.Addr().String()})
		go func() {
			nc, err := ln.Accept()
			_ = ln.Close()
			if err == nil {
				serveAgent(ctx, nc, name)
			}
		}()
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		nc, err := d.DialContext(ctx, network, addr)
		return countingConn{nc, &bytes}, err
	}
	m := peer.NewManager(peer.Self{Name: "bench", Incarnation: wire.NewID()}, new(config.Store), membership.NewView(), event.Nop(), dial)
	m.Apply(ctx, doc)
	time.Sleep(time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	cpu, sent := cpuTime(), bytes.Load()
	time.Sleep(measureTime)
	connSeconds := float64(n) * measureTime.Seconds()
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/connSeconds, "cpu-µs/conn/s")
	b.ReportMetric(float64(bytes.Load()-sent)/connSeconds, "bytes/conn/s")
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/float64(n), "heap-bytes/conn")
	cancel()
	m.Wait()
}
