package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the case "restore".
const (
	configApply  = 2 * time.Second
	copyAge      = 5 * time.Second // of the copy, when the store leaves
	awayTime     = time.Second
	workersAgain = time.Second      // after the return, the workers have written their entries again
	operatorLate = 10 * time.Second // after the return, the operator writes the configuration again
	killedFor    = 2 * time.Second
)

// publishBookings writes a configuration whose only route leads to a service.
func (l *lab) publishBookings(version int, service string) {
	var services []any
	for _, name := range []string{"enrol-old", "enrol-new"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	l.store.put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-book", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 300,
			"priority": 2, "service": service, "max_attempts": 1,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	l.rec.printf("the store has confirmed version %d of the configuration: bookings go to %s", version, service)
}

// booking is a booking of a client.
type booking struct {
	result
	at    time.Time
	entry *entry
}

// playRestore plays the restart of an entry after the store came back from a copy that lacks the
// newest configuration.
func playRestore(l *lab) (bool, error) {
	l.publishBookings(8, "enrol-old")
	var workers []*plain
	for i := range 6 {
		p := &plain{store: l.store, rec: l.rec, name: fmt.Sprintf("i-%08x", 0x4b0f1200+i), zone: zones[i%3], service: []string{"enrol-old", "enrol-new"}[i/3]}
		if err := p.start(); err != nil {
			return false, err
		}
		workers = append(workers, p)
	}
	for i := range 3 {
		if _, err := l.addEntry(fmt.Sprintf("edge-%s-1", zones[i]), zones[i]); err != nil {
			return false, err
		}
	}
	for _, e := range l.entries {
		e.seeds = []string{l.entries[0].control, l.entries[1].control, l.entries[2].control}
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var bookings bookingList
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		l.book(&bookings, stop, &g)
	}()
	time.Sleep(4 * time.Second)
	saved := l.store.copy()
	time.Sleep(time.Second)
	l.publishBookings(9, "enrol-new")
	confirmed := time.Now()
	time.Sleep(copyAge - time.Second)
	stable := l.drill(saved, workers)
	time.Sleep(time.Second)
	close(stop)
	g.Wait()
	return l.judgeRestore(bookings.list, workers, confirmed, stable), nil
}

// drill plays the drill until the operator has written the configuration again, and returns from when
// on the store counts as stable.
func (l *lab) drill(saved backup, workers []*plain) (stable time.Time) {
	if !l.trouble {
		time.Sleep(awayTime + operatorLate)
		return time.Time{}
	}
	victim := l.entries[rand.IntN(len(l.entries))]
	l.store.leave()
	l.rec.printf("the store is away")
	victim.kill()
	l.rec.printf("entry %s is killed", victim.name)
	time.Sleep(awayTime)
	l.store.restore(saved)
	back := time.Now()
	l.rec.printf("the store is back from a copy")
	time.Sleep(killedFor - awayTime)
	if err := victim.start(l.root, l.folder); err != nil {
		l.rec.say("entry %s can't start: %v", victim.name, err)
	}
	l.rec.printf("entry %s is started", victim.name)
	time.Sleep(time.Until(back.Add(workersAgain)))
	for _, p := range workers {
		p.publish()
	}
	time.Sleep(time.Until(back.Add(operatorLate)))
	l.publishBookings(9, "enrol-new")
	return back.Add(contact)
}

type bookingList struct {
	mu   sync.Mutex
	list []booking
}

// book sends bookings to all entries in turn.
func (l *lab) book(bookings *bookingList, stop <-chan struct{}, g *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		b := booking{entry: l.entries[i%len(l.entries)], at: time.Now()}
		g.Add(1)
		go func() {
			defer g.Done()
			b.result = send(b.entry.front, attempt{method: "POST", host: host, path: "/book/7", deadline: 1500 * time.Millisecond, body: []byte("seat 7")})
			l.rec.printf("client: request %s at %s: status %d, signed %v, %v, error %v", b.id, b.entry.name, b.status, b.signed, b.took.Round(time.Millisecond), b.err)
			bookings.mu.Lock()
			defer bookings.mu.Unlock()
			bookings.list = append(bookings.list, b)
		}()
	}
}

// judgeRestore counts the bookings that the old service ran although the configuration that moved them
// was confirmed long before, at machines in touch.
func (l *lab) judgeRestore(bookings []booking, workers []*plain, confirmed, stable time.Time) bool {
	old := make(map[string]string)
	for _, p := range workers {
		if p.service == "enrol-old" {
			for _, a := range p.runs {
				old[a.id] = p.name
			}
		}
	}
	wrong := make(map[string]int)
	sum := 0
	for _, b := range bookings {
		inTouch := b.at.Sub(b.entry.started) >= contact && b.at.After(stable)
		if worker := old[b.id]; worker != "" && inTouch && b.at.Sub(confirmed) > configApply {
			l.rec.printf("request %s, sent at %.3f to %s, was run by worker %s of the old service", b.id, l.rec.at(b.at), b.entry.name, worker)
			wrong[b.entry.name]++
			sum++
		}
	}
	l.rec.say("%d bookings in all; the old service ran %d sent more than 2 s after version 9 was confirmed, by entry: %v", len(bookings), sum, wrong)
	return sum > 0
}
