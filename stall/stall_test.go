package stall_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"

	"ebonypulley/stall"
)

var limits = stall.Limits{FirstByte: time.Second, Idle: 500 * time.Millisecond, Transfer: 10 * time.Second}

// read reads an answer whose pieces arrive one per pause.
func read(t *testing.T, ctx context.Context, pieces int, pause time.Duration) (n int, err error) {
	r := stall.Start(ctx, limits)
	defer r.End()
	from, to := io.Pipe()
	context.AfterFunc(r.Context(), func() { _ = from.CloseWithError(context.Canceled) })
	go func() {
		for range pieces {
			time.Sleep(pause)
			if _, err := to.Write([]byte("piece")); err != nil {
				return
			}
		}
		_ = to.Close()
	}()
	text, err := io.ReadAll(r.Body(from))
	return len(text), r.Err(err)
}

// TestSlowReadIsNotStalled: a large answer on a narrow link takes many times as long as a
// small one and is read to its end. A read that stalls and one that is too slow fail with
// their own errors.
func TestSlowReadIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, err := read(t, t.Context(), 20, 400*time.Millisecond)
		assert.NoError(t, err)
		assert.Equal(t, 100, n)
		began := time.Now()
		_, err = read(t, t.Context(), 3, 900*time.Millisecond)
		assert.True(t, errorx.IsOfType(err, stall.ErrStalled), "%v", err)
		assert.Equal(t, 1400*time.Millisecond, time.Since(began))
		_, err = read(t, t.Context(), 100, 400*time.Millisecond)
		assert.True(t, errorx.IsOfType(err, stall.ErrTooSlow), "%v", err)
		time.Sleep(time.Second) // until the writers end
	})
}
