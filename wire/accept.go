package wire

import (
	"context"
	"net"
	"time"

	"ebonypulley"
	"ebonypulley/event"
)

// acceptRetryDelay is the delay before the next Accept after a failed one. The
// most likely cause is that the process is out of file descriptors; some are
// closed in that time.
const acceptRetryDelay = 500 * time.Millisecond

// Accept calls fn with each connection that ln accepts. It returns when ctx
// ends, which also closes ln. fn must not block.
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
			ebonypulley.Sleep(ctx, acceptRetryDelay)
			continue
		}
		fn(nc)
	}
}
