package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Parameters of the case "parts".
const (
	partsPerPrompt = 72
	badPosition    = 68 // counted from 1
	badPart        = "bad0bad1"
	contact        = 3 * time.Second

	// Three requests in a hundred have the bad part.
	soundInterval = 60 * time.Millisecond
	badInterval   = 33 * soundInterval
	badFrom       = 5 * time.Second
	badFor        = 20 * time.Second
)

// playParts plays prompts of many parts, one of which crashes each engine that begins to answer it.
func playParts(l *lab) (bool, error) {
	l.publishEngines(2, true)
	if l.trouble {
		l.fleet.crashesOn = func(prefix string) bool { return strings.Contains(prefix, badPart+":") }
	}
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		e := &engine{name: fmt.Sprintf("i-%08x", 0x9e16b790+i), zone: zones[i%3], service: engines, stage: stage, prefillPerMs: 55, eventInterval: 40 * time.Millisecond, switchTime: 6 * time.Second}
		if err := l.fleet.add(e); err != nil {
			return false, err
		}
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
	time.Sleep(4 * time.Second)
	var g sync.WaitGroup
	began := time.Now()
	every := func(interval, from, until time.Duration, tainted bool) {
		g.Add(1)
		go func() {
			defer g.Done()
			time.Sleep(from)
			for time.Since(began) < until {
				g.Add(1)
				go func() {
					defer g.Done()
					l.draft(tainted)
				}()
				time.Sleep(interval)
			}
		}()
	}
	every(soundInterval, 0, badFrom+badFor+5*time.Second, false)
	every(badInterval, badFrom, badFrom+badFor, true)
	g.Wait()
	return l.judgeParts(), nil
}

// draft sends a prompt of many parts. All but the last are shared with other prompts.
func (l *lab) draft(tainted bool) {
	parts := []string{"5c1e07a2:200"}
	for len(parts) < partsPerPrompt-1 {
		part := fmt.Sprintf("91bd%04x:60", rand.IntN(300))
		if tainted && len(parts) == badPosition-1 {
			part = badPart + ":60"
		}
		parts = append(parts, part)
	}
	own := newID()
	parts = append(parts, own+":60")
	tokens := 200 + 60*(partsPerPrompt-1)
	e := l.entries[rand.IntN(len(l.entries))]
	res := send(e.front, attempt{
		method: "POST", host: host, path: draftPrefix + own[:4], deadline: 14 * time.Second, body: []byte(strings.Repeat("x", 5000)),
		header: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("%d,110", tokens), "Prompt-Prefix": strings.Join(parts, ",")},
	})
	l.rec.printf("client: request %s with the bad part %v at %s: status %d, signed %v, %d bytes, %v, error %v", res.id, tainted, e.name, res.status, res.signed, len(res.body), res.took.Round(time.Millisecond), res.err)
}

// judgeParts counts the requests with the bad part that reached workers later than contact after the
// fifth crash.
func (l *lab) judgeParts() bool {
	crashes := l.fleet.crashTimes()
	l.rec.say("%d crashes of workers", len(crashes))
	if len(crashes) < 5 {
		return false
	}
	after := crashes[4].Add(contact)
	ids := make(map[string]bool)
	for _, e := range l.fleet.engines {
		for _, a := range e.arrivals {
			if strings.Contains(a.prefix, badPart+":") && a.at.After(after) && a.what == "generation" {
				ids[a.id] = true
				l.rec.printf("request %s with the bad part reached worker %s at %.3f", a.id, e.name, l.rec.at(a.at))
			}
		}
	}
	l.rec.say("fifth crash at %.3f s; %d requests with the bad part reached workers more than 3 s later, 3 are allowed", l.rec.at(crashes[4]), len(ids))
	return len(ids) > 3
}
