package wire

import (
	"context"
	"net"
	"time"

	"ebonypulley"
	"ebonypulley/event"
)

// acceptPause is the wait after a failed Accept: most likely the process has
// no descriptor left, and some are freed in that time.
const acceptPause = 500 * time.Millisecond

// Accept hands each connection of ln to fn until ctx ends, and closes ln then.
// Fn must not block.
func Accept(ctx context.Context, ln net.Listener, log *event.Log, fn func(net.Conn)) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Emit(event.AcceptFailed, event.Err(err))
			ebonypulley.Sleep(ctx, acceptPause)
			continue
		}
		fn(nc)
	}
}
