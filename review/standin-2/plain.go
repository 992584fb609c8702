package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainSlots is the number of requests that a plain worker runs at once.
const plainSlots = 6

// plain is a stand-in for a worker of a plain service.
type plain struct {
	store               *store
	rec                 *record
	name, zone, service string
	addr                string
	born                int64
	slots               chan struct{}

	mu   sync.Mutex
	runs []arrival
}

// start serves on a free port and registers the worker.
func (p *plain) start() error {
	ln, err := net.Listen("tcp", listenAnywhere)
	if err != nil {
		return err
	}
	p.addr, p.slots, p.born = ln.Addr().String(), make(chan struct{}, plainSlots), time.Now().UnixMilli()
	go func() { _ = http.Serve(ln, p) }()
	p.publish()
	return nil
}

func (p *plain) publish() {
	p.store.put("servers/"+p.name, map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": plainSlots, "state": "ready", "cold_left_ms": 0,
		"sequence": 1, "born": p.born,
	})
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.name {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(p.slots), plainSlots))
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", p.name)
		return
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	}
	select {
	case p.slots <- struct{}{}:
	default:
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	p.mu.Lock()
	p.runs = append(p.runs, arrival{at: time.Now(), id: id, what: r.URL.Path})
	p.mu.Unlock()
	p.rec.printf("worker %s of %s runs request %s, %s", p.name, p.service, id, r.URL.Path)
	time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
	w.Header().Set("Response-Signature", "sig."+p.name+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("y", 800))
}
