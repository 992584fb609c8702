package wire_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/memory"
	"ebonypulley/wire"
)

// pipeConn returns a connection and its far end.
func pipeConn(b *memory.Budget) (*wire.Conn, net.Conn) {
	near, far := net.Pipe()
	return wire.NewConn(near, wire.WithBudget(b)), far
}

// TestBudgetBoundsQueuedFrames guards against slow peers whose queues together exceed the
// memory of the process, and against frames that are refused although the others have ended.
func TestBudgetBoundsQueuedFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(16 << 20)
		large, report, small := &wire.Start{Body: make([]byte, 200<<10)}, &wire.Start{Body: make([]byte, 40<<10)}, &wire.Start{Body: make([]byte, 1<<10)}
		var conns []*wire.Conn
		queued := 0
		for range 40 {
			c, far := pipeConn(b)
			defer far.Close()
			conns = append(conns, c)
			err := c.Send(large)
			if err == nil {
				queued++
			} else {
				assert.True(t, errorx.IsOfType(err, wire.ErrFull))
			}
			assert.NoError(t, c.Send(small), "the connection stays open, and small frames need no budget")
			assert.LessOrEqual(t, b.Used(memory.Peers), b.Limit(memory.Peers))
		}
		assert.Equal(t, 3, queued, "in half of the share")
		for i := 3; i < 10; i++ {
			assert.NoError(t, conns[i].Send(report), "room of smaller frames")
		}
		time.Sleep(time.Second)
		assert.Equal(t, time.Second, conns[0].Stall(time.Now()))
		for _, c := range conns[:queued] {
			c.Close()
		}
		synctest.Wait()
		assert.NoError(t, conns[39].Send(large), "room of the closed connections")
		for _, c := range conns {
			c.Close()
		}
		synctest.Wait()
		assert.Zero(t, b.Used(memory.Peers))
	})
}

// TestBudgetBoundsFramesBeingRead guards against peers that send large frames, or parts of
// them, which together exceed the memory of the process.
func TestBudgetBoundsFramesBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(16 << 20)
		frame, err := wire.AppendFrame(nil, &wire.Start{Body: make([]byte, 300<<10)})
		require.NoError(t, err)
		var fars []net.Conn
		refused := 0
		for range 4 {
			c, far := pipeConn(b)
			fars = append(fars, far)
			go func() {
				if errorx.IsOfType(c.Serve(t.Context(), func(wire.Message) {}), wire.ErrFull) {
					refused++
				}
			}()
			_, _ = far.Write(frame[:len(frame)-1])
			synctest.Wait()
			assert.LessOrEqual(t, b.Used(memory.Peers), b.Limit(memory.Peers)/2)
		}
		assert.Equal(t, 2, refused)
		_, err = fars[0].Write(frame[len(frame)-1:])
		assert.NoError(t, err)
		synctest.Wait()
		assert.Less(t, b.Used(memory.Peers), int64(300<<10), "a handled frame is freed")
		for _, far := range fars {
			_ = far.Close()
		}
		synctest.Wait()
		assert.Zero(t, b.Used(memory.Peers))
	})
}
