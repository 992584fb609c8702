package wire_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"

	"ebonypulley/memory"
	"ebonypulley/wire"
)

// TestBudgetBoundsQueuedFrames guards against slow peers whose queues together exceed the
// memory of the process, and against frames that are refused although the others have ended.
func TestBudgetBoundsQueuedFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(16 << 20)
		large, small := &wire.Start{Body: make([]byte, 200<<10)}, &wire.Start{Body: make([]byte, 1<<10)}
		var conns []*wire.Conn
		queued := 0
		for range 40 {
			near, far := net.Pipe()
			defer far.Close()
			c := wire.NewConn(near, wire.WithBudget(b))
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
		assert.Equal(t, 6, queued)
		time.Sleep(time.Second)
		assert.Equal(t, time.Second, conns[0].SendStall(time.Now()))
		conns[0].Close()
		synctest.Wait()
		assert.NoError(t, conns[39].Send(large), "room of the closed connection")
		for _, c := range conns {
			c.Close()
		}
		synctest.Wait()
		assert.Zero(t, b.Used(memory.Peers))
	})
}
