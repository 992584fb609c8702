package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the TCP_USER_TIMEOUT socket option of Linux, for which
	// package syscall has no constant.
	tcpUserTimeout = 0x12
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. Without it, a request on a connection that
	// went silent, or to a VM that lost power, would last until its deadline.
	// The time allows for two retransmissions on a link that loses packets.
	unackedTimeout = 900 * time.Millisecond
	// probeInterval and probeCount are the kernel's keep-alive probes on a
	// connection that receives nothing, such as a stream between two events.
	probeInterval = time.Second
	probeCount    = 2
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, rc syscall.RawConn) error {
		var err error
		cerr := rc.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(cerr, err)
	},
}

func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, addr)
}

// isIdle reports whether a connection is open and has no bytes to read. It asks
// the kernel without blocking and is called right before an idle connection is
// used. A connection without a file descriptor always counts as idle.
//
// An endpoint may have closed the connection, which would lose the request, or
// have sent a second answer after a complete one, which the request would get
// as its own.
func isIdle(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		open = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
