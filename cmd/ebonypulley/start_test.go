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

// runsMain makes this test's program run as the product's.
const runsMain = "EBONYPULLEY_TEST_RUNS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runsMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// starting is an entry process that reads its settings from a pipe, and so waits in its start.
type starting struct {
	t     *testing.T
	cmd   *exec.Cmd
	file  string
	text  []byte
	pipe  *os.File
	lines chan string
}

func startEntry(t *testing.T) *starting {
	dir := t.TempDir()
	set := settings.DefaultPlatformEntry()
	set.Listen, set.Ready, set.Peers, set.Metrics, set.Store = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	text, err := settings.Format(set)
	require.NoError(t, err)
	s := &starting{t: t, file: filepath.Join(dir, "entry.jsonc"), text: text, lines: make(chan string, 100)}
	require.NoError(t, syscall.Mkfifo(s.file, 0o600))
	s.cmd = exec.Command(os.Args[0], "platform-entry", "--settings", s.file)
	s.cmd.Env = append(os.Environ(), runsMain+"=1")
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

// goOn lets the process have its settings, and read the same ones from a file later.
func (s *starting) goOn() {
	time.Sleep(50 * time.Millisecond) // for a signal to end it
	next := s.file + ".next"
	require.NoError(s.t, os.WriteFile(next, s.text, 0o600))
	require.NoError(s.t, os.Rename(next, s.file))
	_, err := s.pipe.Write(s.text)
	assert.NoError(s.t, err)
	assert.NoError(s.t, s.pipe.Close())
}

// saw waits for a line of its log.
func (s *starting) saw(text string) bool {
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

// TestHangupDuringStart: an entry that is just starting is ended by SIGHUP, or the reload that it
// asks for is lost.
func TestHangupDuringStart(t *testing.T) {
	s := startEntry(t)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGHUP))
	s.goOn()
	assert.True(t, s.saw(`"event":7004`), "the settings are read again")
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, s.cmd.Wait())
}

// TestTermDuringStart: an entry that is asked to end while it starts ends as one that failed.
func TestTermDuringStart(t *testing.T) {
	s := startEntry(t)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.goOn()
	assert.NoError(t, s.cmd.Wait())
}
