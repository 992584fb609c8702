package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entry is a machine that runs one process of the system.
type entry struct {
	name, ip string
	settings string
	logFile  *os.File
	rec      *record
	front    string
	ready    string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool // the script ends the process
	// disturbedAt is when the script last started or ended the process. One that ends by itself
	// counts as running all the while.
	disturbedAt time.Time
	ownEnds     int // ends that the script didn't bring about
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// startEntries starts the entries of a deployment, with settings like those of
// kzclubs-enrol.
func startEntries(program, dir string, n int, storeAddr string, rec *record) ([]*entry, error) {
	var list []*entry
	var seeds []string
	ports := make(map[string][4]int)
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x3f, os.Getpid()&0xff, 1+i)
		var p [4]int
		for j := range p {
			var err error
			if p[j], err = freePort(ip); err != nil {
				return nil, err
			}
		}
		ports[ip] = p
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p[2]))
		}
		list = append(list, &entry{name: fmt.Sprintf("edge-alm-%c-%d", 'a'+i%3, 1+i/3), ip: ip, rec: rec})
	}
	for i, e := range list {
		p := ports[e.ip]
		e.front, e.ready = fmt.Sprintf("%s:%d", e.ip, p[0]), fmt.Sprintf("%s:%d", e.ip, p[1])
		text, err := json.MarshalIndent(map[string]any{
			"name": e.name, "data_centre": zoneOf(i), "listen": e.front, "ready": e.ready,
			"peers": fmt.Sprintf("%s:%d", e.ip, p[2]), "metrics": fmt.Sprintf("%s:%d", e.ip, p[3]), "store": storeAddr, "seeds": seeds,
			"grace": "8s", "retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 56,
			"quota_window": "8s", "quota_overrun": 0.25, "quota_slack": 190000,
			"link_mbps": 1000.0, "memory_mb": 134, "max_descriptors": 4100, "first_start": true,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		e.settings = filepath.Join(dir, e.name+".json")
		if err := os.WriteFile(e.settings, text, 0o600); err != nil {
			return nil, err
		}
		if e.logFile, err = os.Create(filepath.Join(dir, e.name+".log")); err != nil {
			return nil, err
		}
		if err := e.start(program); err != nil {
			return list, err
		}
	}
	return list, nil
}

// restartDelay is how long after the end of its process the platform starts another one.
const restartDelay = 300 * time.Millisecond

// start starts the process with the command of the deploy file.
func (e *entry) start(program string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	cmd := exec.Command(program, "platform-entry", "--settings-env", "EBONYPULLEY_BOOT")
	cmd.Env = append(os.Environ(), "EBONYPULLEY_BOOT="+e.settings)
	cmd.Stdout, cmd.Stderr = e.logFile, e.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	if e.expected || e.cmd == nil {
		e.disturbedAt = time.Now()
	}
	e.cmd, e.expected = cmd, false
	exited := make(chan struct{})
	e.exited = exited
	e.rec.note("%s: process %d starts", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		own := !e.expected
		if own {
			e.ownEnds++
		}
		calm := e.inTouchLocked()
		e.mu.Unlock()
		if own {
			e.rec.say("%s: its process ended by itself (undisturbed for contact_ms: %t): %v", e.name, calm, err)
		} else {
			e.rec.note("%s: its process ended: %v", e.name, err)
		}
		close(exited)
		if !own {
			return
		}
		time.Sleep(restartDelay)
		if err := e.start(program); err != nil {
			e.rec.say("%s: can't be started again: %v", e.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s) // fails if it has ended
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.mu.Lock()
	e.expected, e.disturbedAt = true, time.Now()
	exited := e.exited
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
	<-exited
}

// endsOfItsOwn returns how often a process of the entry ended by itself.
func (e *entry) endsOfItsOwn() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownEnds
}

// killDownTime is how long an entry is down that the script restarts.
const killDownTime = 500 * time.Millisecond

// restart kills the process, and starts another one after a time.
func (e *entry) restart(program string) error {
	e.kill()
	time.Sleep(killDownTime)
	return e.start(program)
}

// contact is the bound contact_ms.
const contact = 3 * time.Second

// inTouch reports whether nothing was done to the entry for contact_ms.
func (e *entry) inTouch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inTouchLocked()
}

func (e *entry) inTouchLocked() bool { return time.Since(e.disturbedAt) > contact }

// awaitReady waits until the entry says that it is ready.
func (e *entry) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
