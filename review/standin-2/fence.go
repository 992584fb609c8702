package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Parameters of the case "fence". Prompts are read slowly, so that two prefill engines are too few
// for the traffic, while the decode engines have room.
const (
	fenceShort      = 300 // prompts at first, in tokens
	fenceLong       = 2500
	fenceShortTime  = 14 * time.Second // until the prompts are long
	fenceOutput     = 473
	fenceReadPerMs  = 10
	fenceEventGap   = 280 * time.Millisecond
	fenceInterval   = 100 * time.Millisecond
	fenceOrderLimit = 40 * time.Second // for the first order
	fenceAfterOrder = 20 * time.Second
)

// leadersNames are names of machines of one deployment, for the entries in the order of their
// addresses.
var leadersNames = []struct{ name, zone string }{{"edge-alm-a-4", "alm-a"}, {"edge-alm-b-11", "alm-b"}, {"edge-alm-c-2", "alm-c"}}

// addLeaders adds entries whose names follow the order of their addresses.
func (l *lab) addLeaders() error {
	for range leadersNames {
		if _, err := l.addEntry("", ""); err != nil {
			return err
		}
	}
	slices.SortFunc(l.entries, func(a, b *entry) int { return cmp.Compare(a.control, b.control) })
	for i, e := range l.entries {
		e.name, e.zone = leadersNames[i].name, leadersNames[i].zone
	}
	for _, e := range l.entries {
		for _, seed := range l.entries {
			e.seeds = append(e.seeds, seed.control)
		}
	}
	return nil
}

// playFence plays the loss of the entry that gives orders, right after its first order.
func playFence(l *lab) (bool, error) {
	l.publishEngines(2, true)
	for i := range 8 {
		stage := "decode"
		if i < 2 {
			stage = "prefill"
		}
		e := &engine{name: fmt.Sprintf("i-%08x", 0x9e16b790+i), zone: zones[i%3], service: engines, stage: stage, prefillPerMs: fenceReadPerMs, eventInterval: fenceEventGap, switchTime: 6 * time.Second}
		if err := l.fleet.add(e); err != nil {
			return false, err
		}
	}
	if err := l.addLeaders(); err != nil {
		return false, err
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var lost sync.Map // entries that are lost
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		l.sendDrafts(stop, &g, &lost)
	}()
	first := l.awaitOrder(fenceOrderLimit)
	if first == nil {
		close(stop)
		g.Wait()
		return false, fmt.Errorf("no order within %v", fenceOrderLimit)
	}
	l.rec.printf("store: revision %d at the first order", l.store.now())
	if l.trouble {
		for _, e := range l.entries {
			if e.name == first.holder {
				lost.Store(e.name, true)
				e.kill()
				l.rec.printf("entry %s is lost", e.name)
			}
		}
	}
	time.Sleep(fenceAfterOrder)
	close(stop)
	g.Wait()
	return l.judgeFence(), nil
}

// awaitOrder waits for the first order that a worker carries out.
func (l *lab) awaitOrder(limit time.Duration) *order {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, e := range l.fleet.engines {
			e.mu.Lock()
			orders := slices.Clone(e.orders)
			e.mu.Unlock()
			if len(orders) > 0 {
				return &orders[0]
			}
		}
	}
	return nil
}

// sendDrafts sends prompts to the entries that are not lost.
func (l *lab) sendDrafts(stop <-chan struct{}, g *sync.WaitGroup, lost *sync.Map) {
	began := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(fenceInterval):
		}
		var up []*entry
		for _, e := range l.entries {
			if _, gone := lost.Load(e.name); !gone {
				up = append(up, e)
			}
		}
		e := up[rand.IntN(len(up))]
		g.Add(1)
		go func() {
			defer g.Done()
			own, prompt := newID(), fenceShort
			if time.Since(began) > fenceShortTime {
				prompt = fenceLong
			}
			res := send(e.front, attempt{
				method: "POST", host: host, path: draftPrefix + own[:4], deadline: 14 * time.Second, body: []byte(strings.Repeat("x", 5000)),
				header: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", prompt, fenceOutput), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:%d", own, prompt-200)},
			})
			l.rec.printf("client: request %s at %s: status %d, signed %v, %d bytes, %v, error %v", res.id, e.name, res.status, res.signed, len(res.body), res.took.Round(time.Millisecond), res.err)
		}()
	}
}

// judgeFence looks for two holders that gave orders to one worker under one generation number.
func (l *lab) judgeFence() (broken bool) {
	for _, e := range l.fleet.engines {
		e.mu.Lock()
		for i, b := range e.orders {
			for _, a := range e.orders[:i] {
				if a.fence == b.fence && a.holder != b.holder {
					l.rec.say("worker %s has orders of %s (at %.3f) and of %s (at %.3f) with one generation number, %d", e.name, a.holder, l.rec.at(a.at), b.holder, l.rec.at(b.at), a.fence)
					broken = true
				}
			}
		}
		e.mu.Unlock()
	}
	return broken
}
