package main

import (
	"net/http"
	"strconv"
	"time"
)

// slashRequests is the number of requests that slashes sends.
const slashRequests = 20

// slashes plays requests whose path begins with two slashes, as it does if a client joins a base
// address that ends with a slash and a path that begins with one.
func slashes(program string, rec *record, trouble bool) int {
	f, err := startFleet(program, rec, deployment{entries: 2, plain: 3, routes: []any{plainRoute("r-all", "/", "non_idempotent", 1)}})
	if err != nil {
		rec.say("the case can't run: %v", err)
		return 2
	}
	defer f.stop()
	time.Sleep(2 * time.Second)
	ran, changed := 0, 0
	for i := range slashRequests {
		k := kind{method: http.MethodPost, host: "app.example", path: "/seat/book?child=" + strconv.Itoa(i)}
		if trouble {
			k.path = "/" + k.path
		}
		id := newID()
		f.clients.attempt(f.clients.pick(), k, id, clientLimit, false)
		if rec.runCount(id) == 0 {
			continue
		}
		ran++
		if got := rec.target(id); got != k.path {
			changed++
			rec.note("request %s: sent with %s, run with %s", id, k.path, got)
		}
	}
	rec.say("requests: sent %d, run %d, run with another path than the client's %d", slashRequests, ran, changed)
	switch {
	case ran == 0:
		rec.say("the case can't run: no request reached a worker")
		return 2
	case changed > 0:
		rec.say("BROKEN: UNASKED")
		return 1
	}
	return 0
}
