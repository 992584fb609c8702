package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/settings"
)

// runMainEnv is the environment variable that makes the test binary run main.
const runMainEnv = "EBONYPULLEY_TEST_RUNS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startingEntry is an entry process whose settings file is a named pipe, so that
// it blocks during its start until deliverSettings is called.
type startingEntry struct {
	t     *testing.T
	cmd   *exec.Cmd
	file  string
	text  []byte
	pipe  *os.File
	lines chan string
}

func startEntry(t *testing.T) *startingEntry {
	dir := t.TempDir()
	set := settings.DefaultPlatformEntry()
	set.Listen, set.Ready, set.Peers, set.Metrics, set.Store = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	text, err := settings.Format(set)
	require.NoError(t, err)
	s := &startingEntry{t: t, file: filepath.Join(dir, "entry.jsonc"), text: text, lines: make(chan string, 100)}
	require.NoError(t, syscall.Mkfifo(s.file, 0o600))
	s.cmd = exec.Command(os.Args[0], "platform-entry", "--settings", s.file)
	s.cmd.Env = append(os.Environ(), runMainEnv+"=1")
	out, err := s.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, s.cmd.Start())
	t.Cleanup(func() { _ = s.cmd.Process.Kill() })
	go func() {
		for scan := bufio.NewScanner(out); scan.Scan(); {
			s.lines <- scan.Text()
		}
		close(s.lines)
	}()
	s.pipe, err = os.OpenFile(s.file, os.O_WRONLY, 0) // returns once the process reads
	require.NoError(t, err)
	return s
}

// deliverSettings writes the settings to the pipe, after replacing the pipe by a
// regular file of the same content for later reloads.
func (s *startingEntry) deliverSettings() {
	time.Sleep(50 * time.Millisecond) // a signal without a handler would end the process now
	next := s.file + ".next"
	require.NoError(s.t, os.WriteFile(next, s.text, 0o600))
	require.NoError(s.t, os.Rename(next, s.file))
	_, err := s.pipe.Write(s.text)
	assert.NoError(s.t, err)
	assert.NoError(s.t, s.pipe.Close())
}

// waitForLine reports whether a log line that contains text appears within 5 s.
func (s *startingEntry) waitForLine(text string) bool {
	timeout := time.After(5 * time.Second)
	for {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return false
			}
			if strings.Contains(line, text) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// TestHangupDuringStart: SIGHUP reaches an entry during its start. It must
// neither end the process nor be lost: the entry reloads its settings once it
// runs.
func TestHangupDuringStart(t *testing.T) {
	s := startEntry(t)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGHUP))
	s.deliverSettings()
	assert.True(t, s.waitForLine(`"event":7004`), "the settings are reloaded")
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, s.cmd.Wait())
}

// TestTermDuringStart: an entry that receives SIGTERM during its start must exit
// with code 0, not as if it had failed.
func TestTermDuringStart(t *testing.T) {
	s := startEntry(t)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.deliverSettings()
	assert.NoError(t, s.cmd.Wait())
}
