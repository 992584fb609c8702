package processes

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// entry is one entry VM. It runs one process at a time, and another after that
// has ended.
type entry struct {
	run      *run
	name     string
	listen   string
	settings string
	log      *os.File
	store    *proxy
	// namespace is where the process runs; nil is that of the soak.
	namespace *namespace

	replacing atomic.Bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	// processCount is the number of processes started so far; lastDisturbed is
	// when the run last killed, paused or continued one.
	processCount  int
	lastDisturbed time.Time
	startedAt     time.Time
	// exitExpected is set when the run ends the process.
	exitExpected bool
}

// writeSettings writes the settings file of an entry.
func (e *entry) writeSettings(ip string, seeds []string) error {
	e.listen = ip + ":8080"
	text, err := json.MarshalIndent(map[string]any{
		"name": e.name, "data_centre": "dc-1", "listen": e.listen, "ready": ip + ":8081", "peers": ip + ":8082",
		"metrics": ip + ":8083", "store": e.store.addr(), "seeds": seeds, "grace": "6s",
		"memory_mb": vmMemoryMB, "max_descriptors": vmDescriptors,
		"retry_ratio": retryRatio, "retry_window": retryWindow.String(), "retry_slack": retrySlack,
		"first_start": e.run.set.ClaimFirstStart, "quota_window": quotaWindow.String(), "quota_overrun": quotaOverrun, "quota_slack": quotaSlack,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, text, 0o600)
}

// start starts a new process.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	cmd := exec.Command(e.run.set.Program, "platform-entry", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := e.namespace.run(cmd.Start); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.cmd, e.exited, e.exitExpected = cmd, exited, false
	e.processCount++
	e.startedAt = time.Now()
	go func() {
		err := cmd.Wait()
		close(exited)
		e.mu.Lock()
		expected := e.exitExpected
		e.mu.Unlock()
		if !expected {
			e.run.violation("%s exited unexpectedly: %v", e.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the current process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s) // fails if the process has exited
	}
}

// markDisturbed records that the run disturbs the process now, so that the
// effects don't count as violations.
func (e *entry) markDisturbed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastDisturbed = time.Now()
}

// undisturbedSince reports whether the process of that number still runs and has
// not been disturbed since at.
func (e *entry) undisturbedSince(at time.Time, process int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processCount == process && e.lastDisturbed.Before(at)
}

// settled reports whether the process has run undisturbed for a while and isn't told to end.
func (e *entry) settled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.exitExpected && time.Since(e.startedAt) >= settledTime && time.Since(e.lastDisturbed) >= settledTime
}

// processNumber returns the number of the current process.
func (e *entry) processNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processCount
}

// restart sends the process a signal that ends it, waits for its exit, and
// starts a new one after a pause.
func (e *entry) restart(s syscall.Signal, pause time.Duration) {
	e.mu.Lock()
	e.exitExpected = true
	exited := e.exited
	e.mu.Unlock()
	if s == syscall.SIGKILL {
		e.markDisturbed()
	}
	e.signal(s)
	select {
	case <-exited:
	case <-time.After(drainTimeout):
		e.run.violation("%s did not exit within %s of %s", e.name, drainTimeout, s)
		e.markDisturbed()
		e.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(pause)
	if err := e.start(); err != nil {
		e.run.violation("%s can't be started: %v", e.name, err)
	}
}

// killEnding kills the process if it was told to end and still runs.
func (e *entry) killEnding() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exitExpected {
		e.lastDisturbed = time.Now()
		_ = e.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has exited
	}
}

// drainTimeout is the maximum time from SIGTERM to the exit of a process: the
// grace of 6 s and a margin for a busy machine.
const drainTimeout = 8 * time.Second

func newEntry(r *run, i int) (*entry, error) {
	e := &entry{run: r, name: fmt.Sprintf("entry-%d", i)}
	e.settings = filepath.Join(r.dir, e.name+".json")
	var err error
	if r.set.BetweenEntries {
		if e.namespace, err = newNamespace(); err != nil {
			return nil, err
		}
	}
	if e.store, err = newProxyBetween(e.namespace, "127.0.0.1:0", nil, r.storeAddr); err != nil {
		return nil, err
	}
	e.log, err = os.OpenFile(filepath.Join(r.dir, e.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return e, err
}
