package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// oversize plays a request whose Token-Count names the largest number as the maximum of its
// output tokens, sent by a tenant whose burst is one token.
const (
	oversizeEntries = 3
	plainRate       = 30 // of both tenants together, requests a second
	streamRate      = 6
	// judged is how long requests are judged after the large one was sent.
	judged = 20 * time.Second
)

func oversize(program string, rec *record, trouble bool) int {
	stream := map[string]any{
		"name": "r-draft", "host": "app.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900, "target_gap_ms": 300,
		"priority": 1, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true,
	}
	tenant := func(name, key string) map[string]any {
		return map[string]any{"name": name, "api_keys": []any{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 110145, "burst": 1}
	}
	plain, other := tenant("hule930", "asnmgkcuyj8pjbvk9m68"), tenant("kavi114", "k7b2ex5wa5xwyhks8nbk")
	other["burst"] = 110145
	f, err := startFleet(program, rec, deployment{
		entries: oversizeEntries, plain: 3, prefill: 1, decode: 2, tenants: []any{plain, other},
		routes: []any{plainRoute("r-book", "/book/", "non_idempotent", 1), stream},
	})
	if err != nil {
		rec.say("the case can't run: %v", err)
		return 2
	}
	defer f.stop()
	time.Sleep(12 * time.Second) // the limits of an entry apply in full one window after its start
	key := func(k string) string { return "Authorization: Token " + k + "\r\n" }
	prompt := func(k string, output int64) string {
		return key(k) + fmt.Sprintf("Model: m\r\nToken-Count: 1000,%d\r\nPrompt-Prefix: 5c1e07a2:200,%s:800\r\n", output, newID())
	}
	c := f.clients
	stop := make(chan struct{})
	fixed := func(rate float64) func() float64 { return func() float64 { return rate } }
	for _, k := range []string{"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"} {
		go c.run(kind{method: http.MethodPost, host: "app.example", path: "/book/x", limit: clientLimit, header: key(k)}, fixed(plainRate/2), stop)
		go c.run(kind{method: http.MethodPost, host: "app.example", path: "/draft/x", limit: 14 * time.Second, header: prompt(k, 72)}, fixed(streamRate/2), stop)
	}
	time.Sleep(measured)
	rec.say("plain requests unanswered at their route's timeout before: %d", c.overdue.Load())
	output := int64(72)
	if trouble {
		output = 1<<31 - 1
	}
	var done atomic.Bool
	go func() {
		out := c.attempt(f.entries[0], kind{method: http.MethodPost, host: "app.example", path: "/draft/x", header: prompt("asnmgkcuyj8pjbvk9m68", output)}, newID(), 14*time.Second, true)
		rec.say("the request with up to %d output tokens was answered %d", output, out.status)
		done.Store(true)
	}()
	time.Sleep(judged)
	close(stop)
	c.wg.Wait()
	for !done.Load() {
		time.Sleep(100 * time.Millisecond)
	}
	rec.say("attempts: sent %d, served %d, refused %d, cut %d, other ends %d", c.sent.Load(), c.served.Load(), c.refused.Load(), c.cut.Load(), c.other.Load())
	overdue, unanswered := c.overdue.Load(), c.unanswered.Load()
	rec.say("plain requests unanswered at their route's timeout: %d; of them without an answer 0.5 s later: %d", overdue, unanswered)
	if unanswered >= 8 && 2*unanswered > overdue {
		rec.say("BROKEN: CONFIG")
		return 1
	}
	return 0
}
