package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and remembers what the checks need.
type record struct {
	began time.Time

	mu   sync.Mutex
	out  *bufio.Writer
	file *os.File
	runs map[string]int // by attempt ID
	// reached holds the worker that an attempt reached last, crashed the workers that are down.
	reached map[string]string
	crashed map[string]bool
	// targets holds the path and query with which an attempt reached a worker last.
	targets map[string]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: bufio.NewWriter(f), file: f, runs: make(map[string]int), reached: make(map[string]string), crashed: make(map[string]bool), targets: make(map[string]string)}, nil
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// arrived records a request that a worker received. The path and query of a request target in
// absolute form are what follows its host.
func (r *record) arrived(id, worker, what string, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[id], r.targets[id] = worker, req.URL.RequestURI()
	r.noteLocked("request %s reaches worker %s: %s, target %s, path and query %s", id, worker, what, req.RequestURI, r.targets[id])
}

// target returns the path and query with which an attempt reached a worker, empty if it has not.
func (r *record) target(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets[id]
}

func (r *record) ran(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.noteLocked("request %s runs at worker %s", id, worker)
}

func (r *record) dropped(id, worker string) {
	r.note("request %s dropped by worker %s: its channel was closed", id, worker)
}

func (r *record) answered(id, worker string) { r.note("request %s answered by worker %s", id, worker) }

// runCount returns how often an attempt has run.
func (r *record) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// reachedSound reports whether an attempt has reached a worker that has not crashed since.
func (r *record) reachedSound(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.reached[id]
	return ok && !r.crashed[w]
}

// crash records that a worker crashes.
func (r *record) crash(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed[worker] = true
	r.noteLocked("worker %s crashes", worker)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
