// Package simnet is an in-memory network for tests that run the real daemons in
// virtual time. Its connections can be cut, silenced, delayed, partitioned and
// limited in bandwidth.
package simnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
)

// Net is a simulated network. It identifies processes by name, not by address.
type Net struct {
	// Latency is the one-way delay of each chunk of data.
	Latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// isolated holds the processes on one side of a partition; nil without one.
	isolated map[string]bool
	// rate returns the bandwidth of a process's network link in bytes per
	// second, 0 for unlimited. It is nil if no link is limited.
	rate func(process string) float64
	// busyUntil is when each direction of a limited link will have transmitted
	// all data given to it.
	busyUntil map[direction]time.Time
	// bytes counts the bytes transmitted in each direction of a process's link.
	bytes map[direction]int64
}

// direction is one direction of the network link of a process, which all
// connections of that process share.
type direction struct {
	process string
	inbound bool
}

// New returns a network without faults.
func New() *Net {
	return &Net{
		listeners: make(map[string]*listener), conns: make(map[*conn]struct{}),
		busyUntil: make(map[direction]time.Time), bytes: make(map[direction]int64),
	}
}

var (
	netErrors = errorx.NewNamespace("simnet")
	// ErrRefused is returned for an address that no process listens on, and by
	// Listen for one that is in use.
	ErrRefused = netErrors.NewType("refused")
)

type listener struct {
	net     *Net
	process string
	addr    string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener of the process on addr.
func (n *Net) Listen(process, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, used := n.listeners[addr]; used {
		return nil, ErrRefused.New("%s is in use", addr)
	}
	l := &listener{net: n, process: process, addr: addr, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It frees the address before Accept returns,
// because the process may then exit and its successor listen immediately.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.removeListener(l)
		close(l.closed)
	})
	return nil
}

// removeListener frees the address of a listener.
func (n *Net) removeListener(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.addr] == l {
		delete(n.listeners, l.addr)
	}
}

type address string

func (a address) Network() string { return "sim" }
func (a address) String() string  { return string(a) }

func (l *listener) Addr() net.Addr { return address(l.addr) }

// conn is one connection. Each side has a pipe to a pump, which copies the
// bytes to the pipe of the other side unless the connection is silent.
type conn struct {
	client, server string
	ends           [4]net.Conn
	mu             sync.Mutex
	silent         bool
}

func (c *conn) close() {
	for _, end := range c.ends {
		_ = end.Close()
	}
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// dialTimeout is the timeout of a connection attempt, the same as that of the
// daemons' TCP dialer.
const dialTimeout = time.Second

// Dialer returns a dialer for connections from a process.
func (n *Net) Dialer(process string) ebonypulley.Dialer {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		n.mu.Lock()
		l := n.listeners[addr]
		lost := l != nil && n.partitioned(process, l.process)
		n.mu.Unlock()
		if lost {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "sim", Err: ctx.Err()}
		}
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "sim", Err: ErrRefused.New("nobody listens on %s", addr)}
		}
		return n.connect(ctx, process, l)
	}
}

func (n *Net) connect(ctx context.Context, process string, l *listener) (net.Conn, error) {
	c := &conn{client: process, server: l.process}
	clientEnd, clientPump := net.Pipe()
	serverEnd, serverPump := net.Pipe()
	c.ends = [4]net.Conn{clientEnd, clientPump, serverEnd, serverPump}
	select {
	case l.accept <- serverEnd:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "sim", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	go n.pump(c, clientPump, serverPump, c.client, c.server)
	go n.pump(c, serverPump, clientPump, c.server, c.client)
	return clientEnd, nil
}

// pumpBytes is the number of bytes that a connection sends at once on a limited
// link. It is small so that the connections share the link evenly.
const pumpBytes = 4 << 10

func (n *Net) pump(c *conn, from, to net.Conn, sender, receiver string) {
	defer n.closeConn(c)
	buf := make([]byte, pumpBytes)
	for {
		read, err := from.Read(buf)
		if n.Latency > 0 {
			time.Sleep(n.Latency)
		}
		n.transmit(direction{process: sender}, read)
		n.transmit(direction{process: receiver, inbound: true}, read)
		if c.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if read > 0 {
			if _, werr := to.Write(buf[:read]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// SetBandwidth sets the bandwidth of each process's network link, in bytes per second
// in each direction for all connections of the process together; 0 is unlimited.
func (n *Net) SetBandwidth(rate func(process string) float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = rate
}

// transmit waits until the link has transmitted bytes in direction d.
func (n *Net) transmit(d direction, bytes int) { time.Sleep(n.reserve(d, bytes)) }

// reserve queues bytes for direction d and returns how long they take,
// including the wait for the bytes queued before them.
func (n *Net) reserve(d direction, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[d] += int64(bytes)
	if n.rate == nil || n.rate(d.process) == 0 {
		return 0
	}
	now := time.Now()
	start := n.busyUntil[d]
	if start.Before(now) {
		start = now
	}
	done := start.Add(time.Duration(float64(bytes) / n.rate(d.process) * float64(time.Second)))
	n.busyUntil[d] = done
	return done.Sub(now)
}

// BytesReceived returns the number of bytes received on a process's link.
func (n *Net) BytesReceived(process string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[direction{process: process, inbound: true}]
}

// closeConn closes a connection. A silent one stays open, so that the other
// side does not notice.
func (n *Net) closeConn(c *conn) {
	if c.isSilent() {
		return
	}
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	c.close()
}

func (n *Net) partitioned(a, b string) bool {
	return n.isolated != nil && n.isolated[a] != n.isolated[b]
}

func (n *Net) connsWhere(choose func(*conn) bool) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*conn
	for c := range n.conns {
		if choose(c) {
			list = append(list, c)
		}
	}
	return list
}

func ofProcess(process string) func(*conn) bool {
	return func(c *conn) bool { return c.client == process || c.server == process }
}

func between(a, b string) func(*conn) bool {
	return func(c *conn) bool { return c.client == a && c.server == b || c.client == b && c.server == a }
}

// Crash closes all connections and listeners of a process.
func (n *Net) Crash(process string) {
	for _, c := range n.connsWhere(ofProcess(process)) {
		c.close()
	}
	n.closeListeners(process)
}

// closeListeners closes the listeners of a process, or all if the name is empty.
func (n *Net) closeListeners(process string) {
	n.mu.Lock()
	var open []*listener
	for _, l := range n.listeners {
		if process == "" || l.process == process {
			open = append(open, l)
		}
	}
	n.mu.Unlock()
	for _, l := range open {
		_ = l.Close()
	}
}

// PowerOff disconnects a process from the network without notice: its connections
// go silent, as after a power failure.
func (n *Net) PowerOff(process string) {
	for _, c := range n.connsWhere(ofProcess(process)) {
		c.silence()
	}
	n.closeListeners(process)
}

// Cut closes the connections between two processes; they can connect again.
func (n *Net) Cut(a, b string) {
	for _, c := range n.connsWhere(between(a, b)) {
		c.close()
	}
}

// Silence makes the open connections between two processes silent for good: no
// more data arrives, but they stay open. New connections work.
func (n *Net) Silence(a, b string) {
	for _, c := range n.connsWhere(between(a, b)) {
		c.silence()
	}
}

// Partition separates the named processes from all others: open connections
// between the two sides go silent for good, and new ones time out. Without
// names it heals the partition.
func (n *Net) Partition(names ...string) {
	n.mu.Lock()
	n.isolated = nil
	if len(names) > 0 {
		n.isolated = make(map[string]bool)
		for _, name := range names {
			n.isolated[name] = true
		}
	}
	n.mu.Unlock()
	for _, c := range n.connsWhere(func(c *conn) bool { return n.partitioned(c.client, c.server) }) {
		c.silence()
	}
}

// Close closes all connections and listeners.
func (n *Net) Close() {
	for _, c := range n.connsWhere(func(*conn) bool { return true }) {
		c.close()
	}
	n.closeListeners("")
}
