package processes

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections to a target on loopback and injects network
// faults into them.
type proxy struct {
	address, target string
	// delay is added to each chunk of data, in nanoseconds.
	delay atomic.Int64
	// blockedSide is the side whose data is held back, 0 for none, as in a network
	// that loses every packet in one direction. The data arrives once the block is
	// lifted.
	blockedSide atomic.Int32
	// frozen holds back the data of both sides, as for a process that is paused.
	frozen atomic.Bool
	// lastCut is when connections were last cut off, lastHeld when data was last held back, in
	// nanoseconds of Unix time.
	lastCut, lastHeld atomic.Int64

	mu    sync.Mutex
	ln    net.Listener
	links map[*link]bool
}

// link is one proxied connection.
type link struct {
	client, server net.Conn
	// silent drops the data of the link, held holds it back.
	silent, held atomic.Bool
}

const (
	fromClient = 1
	fromServer = 2
)

// newProxy starts a proxy that listens on addr, whose port may be 0.
func newProxy(addr, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: ln.Addr().String(), target: target, ln: ln, links: make(map[*link]bool)}
	go p.serve(ln)
	return p, nil
}

func (p *proxy) addr() string { return p.address }

// stop closes the listener, so that new connections are refused.
func (p *proxy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
}

// restart listens again at the same address.
func (p *proxy) restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close() // two crashes may overlap
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.ln = ln
	go p.serve(ln)
	return nil
}

func (p *proxy) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return // closed by stop
		}
		go p.link(c)
	}
}

func (p *proxy) link(c net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := new(net.Dialer).DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	l := &link{client: c, server: s}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	go p.pump(l, c, s, fromClient)
	p.pump(l, s, c, fromServer)
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// blockedPoll is the interval between checks whether a block has been lifted.
const blockedPoll = 10 * time.Millisecond

// pump copies one direction until it ends, and then closes both connections.
func (p *proxy) pump(l *link, from, to net.Conn, side int32) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if delay := time.Duration(p.delay.Load()); delay > 0 {
			p.lastHeld.Store(time.Now().UnixNano())
			time.Sleep(delay)
		}
		for (p.frozen.Load() || p.blockedSide.Load() == side || l.held.Load()) && !l.silent.Load() {
			p.lastHeld.Store(time.Now().UnixNano())
			if p.blockedSide.Load() == side {
				p.lastCut.Store(time.Now().UnixNano())
			}
			time.Sleep(blockedPoll)
		}
		if n > 0 && !l.silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if l.silent.Load() {
				time.Sleep(time.Second) // a silent link delays the end of the connection, too
				reset(to)               // bytes were lost: it must not look like a proper end
			}
			return
		}
	}
}

// each calls fn for every open connection.
func (p *proxy) each(fn func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		fn(l)
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.lastCut.Store(time.Now().UnixNano())
	p.each(func(l *link) {
		reset(l.client)
		reset(l.server)
	})
}

// breakClients resets the clients' sides of all connections. Data that is held back still reaches
// the target, as what the kernel of a paused process has received.
func (p *proxy) breakClients() { p.each(func(l *link) { reset(l.client) }) }

// hold holds back the data of all open connections for a time; new ones work.
func (p *proxy) hold(d time.Duration) {
	p.each(func(l *link) {
		l.held.Store(true)
		time.AfterFunc(d, func() { l.held.Store(false) })
	})
}

// silence makes all open connections silent for good; new ones work.
func (p *proxy) silence() {
	p.lastCut.Store(time.Now().UnixNano())
	p.each(func(l *link) { l.silent.Store(true) })
}

// cutSince reports whether connections were cut off since at.
func (p *proxy) cutSince(at time.Time) bool { return p.lastCut.Load() >= at.UnixNano() }

// disturbedSince reports whether connections were cut off, or data held back, since at.
func (p *proxy) disturbedSince(at time.Time) bool {
	return p.cutSince(at) || p.lastHeld.Load() >= at.UnixNano()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
