package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Parameters of the case "split".
const (
	splitLength = 5500 * time.Millisecond // the longest cut that the users' sheet names
	splitJoin   = 4200 * time.Millisecond // when two more engines come
	splitEnd    = 9 * time.Second
	lease       = 3 * time.Second
)

// link carries the channels from one half of the entries to an entry of the other half. While it is
// cut, channels are silent.
type link struct {
	mu     sync.Mutex
	cut    bool
	healed chan struct{}
	target string
	addr   string
}

func startLink(target string, cut bool) (*link, error) {
	ln, err := net.Listen("tcp", listenAnywhere)
	if err != nil {
		return nil, err
	}
	k := &link{cut: cut, healed: make(chan struct{}), target: target, addr: ln.Addr().String()}
	if !cut {
		close(k.healed)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k, nil
}

func (k *link) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	<-k.healed
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	go func() {
		_, _ = io.Copy(t, c)
		_ = t.Close()
	}()
	_, _ = io.Copy(c, t)
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cut {
		k.cut = false
		close(k.healed)
	}
}

// playSplit plays entries that have all been restarted while half of them is cut off from the other
// half. All reach the store and the workers.
func playSplit(l *lab) (bool, error) {
	l.publishEngines(2, true)
	add := func(i int, stage string) error {
		return l.fleet.add(&engine{name: fmt.Sprintf("i-%08x", 0x9e16b790+i), zone: zones[i%2], service: engines, stage: stage, prefillPerMs: 55, eventInterval: 40 * time.Millisecond, switchTime: 6 * time.Second})
	}
	for i, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		if err := add(i, stage); err != nil {
			return false, err
		}
	}
	links, err := l.addHalves()
	if err != nil {
		return false, err
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	began := time.Now()
	time.Sleep(splitJoin)
	for i := range 2 {
		if err := add(6+i, "prefill"); err != nil {
			return false, err
		}
	}
	l.rec.printf("two more prefill engines have come")
	time.Sleep(time.Until(began.Add(splitLength)))
	for _, k := range links {
		k.heal()
	}
	l.rec.printf("the cut has healed")
	time.Sleep(time.Until(began.Add(splitEnd)))
	return l.judgeSplit(), nil
}

// addHalves adds two entries of each half, and the links between the halves.
func (l *lab) addHalves() (links []*link, err error) {
	for range 4 {
		if _, err := l.addEntry("", ""); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(l.entries, func(a, b *entry) int { return cmp.Compare(a.control, b.control) })
	half := func(i int) int { return i / 2 }
	for i, e := range l.entries {
		e.zone = zones[half(i)]
		e.name = fmt.Sprintf("edge-%s-%d", e.zone, i%2+1)
	}
	for i, e := range l.entries {
		for _, j := range []int{0, 1, 2} { // three machines are named as seeds
			addr := l.entries[j].control
			if half(i) != half(j) {
				k, err := startLink(addr, l.trouble)
				if err != nil {
					return nil, err
				}
				links = append(links, k)
				addr = k.addr
			}
			e.seeds = append(e.seeds, addr)
		}
	}
	return links, nil
}

// judgeSplit looks for two holders in touch that took turns at one worker within the lease.
func (l *lab) judgeSplit() (broken bool) {
	started := make(map[string]time.Time)
	for _, e := range l.entries {
		started[e.name] = e.started
	}
	inTouch := func(o order) bool { return o.at.Sub(started[o.holder]) >= contact }
	for _, e := range l.fleet.engines {
		e.mu.Lock()
		for i, b := range e.orders {
			for _, a := range e.orders[:i] {
				if a.holder != b.holder && b.at.Sub(a.at) <= lease && inTouch(a) && inTouch(b) {
					l.rec.say("worker %s has orders of %s (at %.3f, number %d) and of %s (at %.3f, number %d)", e.name, a.holder, l.rec.at(a.at), a.fence, b.holder, l.rec.at(b.at), b.fence)
					broken = true
				}
			}
		}
		e.mu.Unlock()
	}
	return broken
}
