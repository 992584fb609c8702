package main

import (
	"fmt"
	"net/http"
	"time"
)

// The deployment and the traffic of badparts, in requests a second.
const (
	badPartEntries  = 3
	badPartPrefills = 4
	badPartDecodes  = 10
	plainCalls      = 240
	goodStreams     = 12
	badStreams      = 120
	// badTime is how long requests are sent that crash their workers.
	badTime = 2 * time.Second
	// calmTime is the time before an entry is killed and after its restart: longer than
	// contact_ms.
	calmTime = 4500 * time.Millisecond
	// endTime is how long the requests in progress at the end are waited for.
	endTime = 5 * time.Second
	// killsInRound is the number of entries that are killed in a round, one after the other.
	killsInRound = 2
)

// badPartIDs are the parts that crash workers, a new one in each round.
var badPartIDs = []string{"bad04a1a", "bad0eb43", "bad0f375", "bad0de0b", "bad075f1", "bad0d588"}

// badParts plays requests that crash their model workers and have one part of their prompts in
// common. Later the entries are killed one after the other.
func badParts(program string, rec *record, trouble bool) int {
	stream := map[string]any{
		"name": "r-draft", "host": "app.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900, "target_gap_ms": 300,
		"priority": 1, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true,
	}
	f, err := startFleet(program, rec, deployment{
		entries: badPartEntries, plain: 3, prefill: badPartPrefills, decode: badPartDecodes,
		routes: []any{stream, plainRoute("r-check", "/check/", "idempotent", 2)},
	})
	if err != nil {
		rec.say("the case can't run: %v", err)
		return 2
	}
	defer f.stop()
	time.Sleep(3 * time.Second)
	c := f.clients
	stop := make(chan struct{})
	prompt := func(first string) func() string {
		return func() string {
			return fmt.Sprintf("Model: m\r\nToken-Count: 1000,72\r\nPrompt-Prefix: %s:200,%s:300,%s:500\r\n", first, newID(), newID())
		}
	}
	draft := kind{method: http.MethodPost, host: "app.example", path: "/draft/x", idempotent: true, limit: 14 * time.Second}
	good := draft
	good.headerOf = prompt("600d600d")
	check := kind{method: http.MethodGet, host: "app.example", path: "/check/x", idempotent: true, limit: clientLimit}
	rate := func(perSecond float64) func() float64 { return func() float64 { return perSecond } }
	go c.run(good, rate(goodStreams), stop)
	go c.run(check, rate(plainCalls), stop)
	for n, part := range badPartIDs {
		time.Sleep(calmTime)
		bad, stopBad := draft, make(chan struct{})
		bad.headerOf = prompt(part)
		if trouble {
			rec.say("round %d: requests that crash their workers are sent, then entries are killed", n+1)
			go c.run(bad, rate(badStreams), stopBad)
		}
		time.Sleep(badTime)
		close(stopBad)
		for i := range killsInRound {
			time.Sleep(calmTime)
			if !trouble {
				continue
			}
			if err := f.entries[(n+i)%badPartEntries].restart(program); err != nil {
				rec.say("the case can't run: %v", err)
				return 2
			}
		}
	}
	time.Sleep(calmTime)
	close(stop)
	c.awaitEnds(endTime)
	ends, machines := 0, 0
	for _, e := range f.entries {
		n := e.endsOfItsOwn()
		ends += n
		machines += min(n, 1)
	}
	rec.say("attempts: sent %d, served %d, refused %d, cut %d, other ends %d", c.sent.Load(), c.served.Load(), c.refused.Load(), c.cut.Load(), c.other.Load())
	rec.say("processes that ended by themselves: %d, at %d entries", ends, machines)
	rec.say("attempts that an entry in touch passed on from a kept channel to a sound worker, and whose channel it closed without an answer: %d", c.lost.Load())
	code := 0
	if c.lost.Load() > 3 {
		rec.say("BROKEN: LOST")
		code = 1
	}
	return code
}
