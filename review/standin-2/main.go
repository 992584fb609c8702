package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// lab is what a case runs in.
type lab struct {
	root, folder string
	rec          *record
	store        *store
	fleet        *fleet
	entries      []*entry
	trouble      bool
}

// cases maps names to cases. A case returns whether the rule was broken.
var cases = map[string]func(l *lab) (broken bool, err error){
	"fence":   playFence,
	"order":   playOrder,
	"parts":   playParts,
	"restore": playRestore,
	"split":   playSplit,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, root, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	l := &lab{root: root, folder: folder, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer l.end()
	broken, err := l.prepareAndRun(cases[name])
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("broken")
		return exitBroken
	}
	rec.say("held")
	return exitHeld
}

func (l *lab) prepareAndRun(run func(*lab) (bool, error)) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	l.store = s
	l.fleet = &fleet{store: s, rec: l.rec, stride: 11, handles: make(map[string]bool), crashTime: 3 * time.Second}
	return run(l)
}

// end ends all processes of the case. LOGS names a folder that keeps their logs.
func (l *lab) end() {
	for _, e := range l.entries {
		e.kill()
	}
	if keep := os.Getenv("LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(l.folder, "*.log"))
		for _, path := range logs {
			if text, err := os.ReadFile(path); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(l.folder)
}

// network is the part of the loopback network in which all of a case listens. Channels begin at
// 127.0.0.1, so that their ports don't meet those of listeners.
var network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))

// listenAnywhere is an address of the platform and its workers, with any free port.
var listenAnywhere = network + "1:0"

// firstEntry is the last part of the address of the first entry.
const firstEntry = 10

// addEntry adds an entry with an address of its own, which is not started yet.
func (l *lab) addEntry(name, zone string) (*entry, error) {
	e, err := newEntry(name, zone, network+strconv.Itoa(firstEntry+len(l.entries)))
	if err == nil {
		l.entries = append(l.entries, e)
	}
	return e, err
}

// startEntries writes the settings of all entries and starts them together.
func (l *lab) startEntries() error {
	for _, e := range l.entries {
		if err := e.writeSettings(l.root, l.folder, l.store.addr); err != nil {
			return err
		}
	}
	for _, e := range l.entries {
		if err := e.start(l.root, l.folder); err != nil {
			return err
		}
		l.rec.printf("entry %s started at %s", e.name, e.control)
	}
	return nil
}

// awaitReady waits until all entries say that they are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range l.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(l.entries) {
			return nil
		}
	}
	return fmt.Errorf("not all entries were ready within %v", limit)
}

const (
	host        = "clubs.example"
	engines     = "clerk"
	draftPrefix = "/draft/"
)

// publishEngines writes a configuration with one service of engines and one route to it.
func (l *lab) publishEngines(maxAttempts int, resumable bool) {
	l.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": host, "path_prefix": draftPrefix, "kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900,
			"priority": 1, "service": engines, "max_attempts": maxAttempts, "sticky": true, "resumable": resumable, "target_gap_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": engines, "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 128, "kv_capacity": 66897, "token_kv_bytes": 18432, "link_mbps": 350000.0, "moves": true, "backups": true, "stride": 11,
				"most": 12, "kv_hold_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// zones are those of the small deployment.
var zones = []string{"alm-a", "alm-b", "alm-c"}
