// Command standin-2 plays the cases of the second review: it starts entries of the
// project as processes of their own, with stand-ins for the platform's store, its workers
// and its clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// at returns the time since the beginning of the case, in seconds.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// printf writes a line with the time since the beginning of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
