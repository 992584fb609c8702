package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// entry is a process of the project, started by the command of the deploy file.
type entry struct {
	name, zone, ip        string
	front, ready, control string
	seeds                 []string
	memory                float64 // in MB, that of kzclubs-enrol if zero
	settings              string
	cmd                   *exec.Cmd
	started               time.Time
}

// newEntry reserves free ports of a loopback address for an entry.
func newEntry(name, zone, ip string) (*entry, error) {
	e := &entry{name: name, zone: zone, ip: ip}
	for _, addr := range []*string{&e.front, &e.ready, &e.control} {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		*addr = ln.Addr().String()
		defer func() { _ = ln.Close() }()
	}
	return e, nil
}

// bounds are those of the small deployment that the users' sheet of kzclubs-enrol gives.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2,
	"budget_window_s": 10, "retry_budget_slack": 56, "recovery_s": 12, "transit_ms": 120, "reuse_window_s": 5.6,
	"require_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300,
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}\n?`)
	placeholders = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// writeSettings fills in the template of the deploy file.
func (e *entry) writeSettings(root, folder, store string) error {
	fields := map[string]any{
		"node": e.name, "zone": e.zone, "ip": e.ip, "seeds": e.seeds, "bootstrap": true, "bounds": bounds,
		"listen":   map[string]any{"front": e.front, "ready_addr": e.ready, "control": e.control},
		"platform": map[string]any{"address": store},
		"limits":   map[string]any{"link_mbps": 1000.0, "memory_mb": cmp.Or(e.memory, 134), "max_fds": 4100},
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "entry.jsonc.tmpl"))
	if err != nil {
		return err
	}
	find := func(path string) any {
		var v any = fields
		for _, name := range strings.Split(path, ".") {
			m, ok := v.(map[string]any)
			if !ok {
				return nil
			}
			v = m[name]
		}
		return v
	}
	out := sections.ReplaceAllFunc(text, func(s []byte) []byte {
		m := sections.FindSubmatch(s)
		if find(string(m[1])) == nil {
			return nil
		}
		return m[2]
	})
	out = placeholders.ReplaceAllFunc(out, func(s []byte) []byte {
		m := placeholders.FindSubmatch(s)
		v := find(string(m[1]))
		if len(m[2]) > 0 {
			t, _ := json.Marshal(v)
			return t
		}
		return []byte(fmt.Sprint(v))
	})
	e.settings = filepath.Join(folder, e.name+".jsonc")
	return os.WriteFile(e.settings, out, 0o600)
}

// start starts the process.
func (e *entry) start(root, folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(filepath.Join(root, "target", "ebonypulley"), "platform-entry", "--settings-env", "EBONYPULLEY_BOOT")
	e.cmd.Dir = root
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "EBONYPULLEY_BOOT=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.started = time.Now()
	return e.cmd.Start()
}

// kill ends the process at once.
func (e *entry) kill() {
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	e.cmd = nil
}

// isReady asks the process as the platform does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
