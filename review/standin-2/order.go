package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case "order".
const (
	orderWarmUp    = 20 * time.Second
	orderLoad      = 6 * time.Second // until workers of the first version turn requests away
	orderQuiet     = 11 * time.Second
	orderKill      = 10800 * time.Millisecond // after they began to
	orderDown      = 600 * time.Millisecond   // of one of the killed entries; the other one is down for twice as long
	orderTries     = 4                        // of a client
	orderUsual     = 55 * time.Millisecond    // between two new streams, 18 a second
	orderBurst     = 24 * time.Millisecond    // 2.3 times as many
	orderBurstTime = 4 * time.Second
	orderOutput    = 473
	orderEventGap  = 280 * time.Millisecond
	orderDeadline  = 14 * time.Second
	orderRetryStep = 400 * time.Millisecond
)

// orderZones are the zones of the four entries, and orderMemory is their memory in MB.
var orderZones = []string{"mx-centro-a", "mx-centro-b", "mx-centro-b", "mx-centro-c"}

const orderMemory = 284

// stream is what a client has of a stream, over its tries.
type stream struct {
	first    string // the ID of the attempt that brought the first event
	last     int
	versions []string
	at       []string // the entries that brought them
	began    time.Time
	resumed  int
}

// playOrder plays the kill of two of four entries while streams begin at another software version than
// the entries work out.
func playOrder(l *lab) (bool, error) {
	l.publishEngines(2, true)
	for i := range 18 {
		e := &engine{name: fmt.Sprintf("i-%08x", 0x9e16b790+i*7919), zone: orderZones[i%len(orderZones)], service: engines, stage: "decode", prefillPerMs: 55, eventInterval: orderEventGap, switchTime: 6 * time.Second, version: "v1"}
		switch {
		case i < 3:
			e.stage = "prefill"
		case i%5 == 0:
			e.version = "v2"
		}
		if err := l.fleet.add(e); err != nil {
			return false, err
		}
	}
	for i, zone := range orderZones {
		e, err := l.addEntry(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return false, err
		}
		e.memory = orderMemory
	}
	bounds["retry_budget_slack"] = 52
	for _, e := range l.entries {
		e.seeds = []string{l.entries[0].control, l.entries[1].control, l.entries[2].control}
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(orderWarmUp)
	var mu sync.Mutex
	var streams []*stream
	var g sync.WaitGroup
	stop := make(chan struct{})
	var burst atomic.Bool
	g.Add(1)
	go func() {
		defer g.Done()
		for {
			interval := orderUsual
			if burst.Load() {
				interval = orderBurst
			}
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			g.Add(1)
			go func() {
				defer g.Done()
				s := l.stream()
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, s)
			}()
		}
	}()
	time.Sleep(orderLoad)
	burst.Store(l.trouble)
	time.AfterFunc(orderBurstTime, func() { burst.Store(false) })
	for _, e := range l.fleet.engines {
		if e.version == "v1" && e.stage == "decode" && l.trouble {
			e.mu.Lock()
			e.quietUntil = time.Now().Add(orderQuiet)
			e.mu.Unlock()
		}
	}
	l.rec.printf("workers of v1 turn requests away: %v", l.trouble)
	time.Sleep(orderKill)
	if l.trouble {
		killed := []*entry{l.entries[2], l.entries[0]}
		for _, e := range killed {
			e.kill()
		}
		l.rec.printf("entries %s and %s are killed", killed[0].name, killed[1].name)
		for _, e := range killed {
			time.Sleep(orderDown)
			if err := e.start(l.root, l.folder); err != nil {
				return false, err
			}
			l.rec.printf("entry %s is started", e.name)
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	g.Wait()
	joined, resumed := 0, 0
	for _, s := range streams {
		resumed += min(s.resumed, 1)
		if len(s.versions) > 1 {
			joined++
			l.rec.printf("stream %s, begun at %.3f, holds events of %v, brought by %v", s.first, l.rec.at(s.began), s.versions, s.at)
		}
	}
	l.rec.say("%d streams, %d were taken up again, %d hold events of two versions, 2 are allowed", len(streams), resumed, joined)
	return joined > 2, nil
}

// stream requests a stream, and takes it up again at any entry when it breaks off.
func (l *lab) stream() *stream {
	s := &stream{began: time.Now(), last: -1}
	own := newID()
	for range orderTries {
		if time.Since(s.began) > orderDeadline-time.Second {
			break
		}
		e := l.entries[rand.IntN(len(l.entries))]
		status, done, err := l.try(s, e, own)
		if done {
			return s
		}
		l.rec.printf("client: stream %s at %s: status %d, last event %d, error %v", s.first, e.name, status, s.last, err)
		time.Sleep(orderRetryStep)
	}
	return s
}

// try makes one attempt, and reports whether the stream has ended.
func (l *lab) try(s *stream, e *entry, own string) (status int, done bool, err error) {
	left := orderDeadline - time.Since(s.began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	id := newID()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+draftPrefix+own[:4], bytes.NewReader(bytes.Repeat([]byte("x"), 300)))
	if err != nil {
		return 0, true, err
	}
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Model": "m",
		"Token-Count": fmt.Sprintf("200,%d", orderOutput), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%s:100", own),
	} {
		req.Header.Set(name, value)
	}
	if s.last >= 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.first)
		s.resumed++
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", e.front)
	}}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, false, nil
	}
	lines := bufio.NewScanner(resp.Body)
	event := -1
	for lines.Scan() {
		text := lines.Text()
		if n, ok := strings.CutPrefix(text, "id: "); ok {
			event, _ = strconv.Atoi(n)
		}
		if data, ok := strings.CutPrefix(text, "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			if s.last < 0 {
				s.first = id
			}
			s.last = event
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions, s.at = append(s.versions, version), append(s.at, e.name)
			}
		}
	}
	return resp.StatusCode, lines.Err() == nil && s.last >= orderOutput, lines.Err()
}
