// Package simnet is a network in memory whose connections can be cut, made
// silent, delayed and partitioned. Tests run the real daemons over it in
// virtual time.
package simnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley"
)

// Net is a network. Processes on it are told apart by name, not by address.
type Net struct {
	// Latency is one way, for each piece of data.
	Latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	// split holds the processes of one side of a partition.
	split map[string]bool
	// rate returns the bytes a second of a process's own link, if links are
	// limited.
	rate func(process string) float64
	// free is when each direction of a limited link has sent what it took.
	free map[direction]time.Time
	// carried counts the bytes that each direction of a process's link took.
	carried map[direction]int64
}

// direction is one way of a process's own link.
type direction struct {
	process string
	in      bool
}

// New returns a network without faults.
func New() *Net {
	return &Net{
		listeners: make(map[string]*listener), links: make(map[*link]struct{}),
		free: make(map[direction]time.Time), carried: make(map[direction]int64),
	}
}

var (
	netErrors = errorx.NewNamespace("simnet")
	// ErrRefused is returned for an address that nobody listens on.
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

// Listen opens an address for a process.
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

// Close implements net.Listener. The address is free before Accept returns, because a process may
// end with that and its successor listen at once.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.release(l)
		close(l.closed)
	})
	return nil
}

// release lets others listen on the address of a listener.
func (n *Net) release(l *listener) {
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

// link is one connection. Each side speaks through a pipe to a pump, which
// carries the bytes to the other side's pipe unless the link is silent.
type link struct {
	from, to string
	ends     [4]net.Conn
	mu       sync.Mutex
	silent   bool
}

func (k *link) close() {
	for _, c := range k.ends {
		_ = c.Close()
	}
}

func (k *link) isSilent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent
}

func (k *link) mute() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = true
}

// dialTimeout bounds a connection attempt, as the daemons' TCP dialer does.
const dialTimeout = time.Second

// Dialer returns the dialer of a process.
func (n *Net) Dialer(process string) ebonypulley.Dialer {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		n.mu.Lock()
		l := n.listeners[addr]
		lost := l != nil && n.parted(process, l.process)
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
	k := &link{from: process, to: l.process}
	near, nearPump := net.Pipe()
	far, farPump := net.Pipe()
	k.ends = [4]net.Conn{near, nearPump, far, farPump}
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "sim", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.links[k] = struct{}{}
	n.mu.Unlock()
	go n.pump(k, nearPump, farPump, k.from, k.to)
	go n.pump(k, farPump, nearPump, k.to, k.from)
	return near, nil
}

// pumpBuffer is one turn of a connection on a limited link: small, so that
// connections share it evenly.
const pumpBuffer = 4 << 10

func (n *Net) pump(k *link, from, to net.Conn, sender, receiver string) {
	defer n.end(k)
	buf := make([]byte, pumpBuffer)
	for {
		read, err := from.Read(buf)
		if n.Latency > 0 {
			time.Sleep(n.Latency)
		}
		n.carry(direction{process: sender}, read)
		n.carry(direction{process: receiver, in: true}, read)
		if k.isSilent() {
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

// Limit sets the bytes a second that a process's own link carries in each
// direction, for all its connections together; 0 is unlimited.
func (n *Net) Limit(rate func(process string) float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = rate
}

// carry takes the time that bytes need on one way of a process's own link.
func (n *Net) carry(d direction, bytes int) { time.Sleep(n.take(d, bytes)) }

// take returns how long bytes need on one way, behind those before them.
func (n *Net) take(d direction, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[d] += int64(bytes)
	if n.rate == nil || n.rate(d.process) == 0 {
		return 0
	}
	now := time.Now()
	began := n.free[d]
	if began.Before(now) {
		began = now
	}
	done := began.Add(time.Duration(float64(bytes) / n.rate(d.process) * float64(time.Second)))
	n.free[d] = done
	return done.Sub(now)
}

// Carried returns the bytes that came in on a process's own link.
func (n *Net) Carried(process string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried[direction{process: process, in: true}]
}

// end closes a link. The far side of a silent one learns nothing of it.
func (n *Net) end(k *link) {
	if k.isSilent() {
		return
	}
	n.mu.Lock()
	delete(n.links, k)
	n.mu.Unlock()
	k.close()
}

func (n *Net) parted(a, b string) bool {
	return n.split != nil && n.split[a] != n.split[b]
}

func (n *Net) match(choose func(*link) bool) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*link
	for k := range n.links {
		if choose(k) {
			list = append(list, k)
		}
	}
	return list
}

func touches(process string) func(*link) bool {
	return func(k *link) bool { return k.from == process || k.to == process }
}

func between(a, b string) func(*link) bool {
	return func(k *link) bool { return k.from == a && k.to == b || k.from == b && k.to == a }
}

// Crash closes all that a process had open.
func (n *Net) Crash(process string) {
	for _, k := range n.match(touches(process)) {
		k.close()
	}
	n.closeListeners(process)
}

// closeListeners closes those of a process, or all for an empty name.
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

// Vanish takes a process off the network without a word: its connections go
// silent, as after a power cut.
func (n *Net) Vanish(process string) {
	for _, k := range n.match(touches(process)) {
		k.mute()
	}
	n.closeListeners(process)
}

// Cut closes the connections between two processes; new ones work.
func (n *Net) Cut(a, b string) {
	for _, k := range n.match(between(a, b)) {
		k.close()
	}
}

// Silence makes the open connections between two processes silent for good;
// new ones work.
func (n *Net) Silence(a, b string) {
	for _, k := range n.match(between(a, b)) {
		k.mute()
	}
}

// Partition parts the named processes from all others: open connections
// between the sides go silent for good, new ones are not had. No names heal
// the network.
func (n *Net) Partition(names ...string) {
	n.mu.Lock()
	n.split = nil
	if len(names) > 0 {
		n.split = make(map[string]bool)
		for _, name := range names {
			n.split[name] = true
		}
	}
	n.mu.Unlock()
	for _, k := range n.match(func(k *link) bool { return n.parted(k.from, k.to) }) {
		k.mute()
	}
}

// Close ends every connection and listener.
func (n *Net) Close() {
	for _, k := range n.match(func(*link) bool { return true }) {
		k.close()
	}
	n.closeListeners("")
}
