package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/event"
)

// reloadable is a daemon that counts its reloads.
type reloadable struct {
	reloads chan struct{}
}

func (d *reloadable) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (d *reloadable) Drain(context.Context) error { return nil }

func (d *reloadable) Reload() error {
	d.reloads <- struct{}{}
	return nil
}

// TestHangup: clients see their answers cut off in the middle. The platform
// changed the settings file and sent SIGHUP; no handler took the signal, so
// the process ended at once, with code 129.
func TestHangup(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d := &reloadable{reloads: make(chan struct{}, 1)}
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, d, event.Nop(), catchSignals(), "", file) }()
	time.Sleep(50 * time.Millisecond) // the handler stands
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	reloaded(t, d)

	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(file, later, later))
	reloaded(t, d)
	cancel()
	assert.NoError(t, <-ended)
}

// TestMetricsPortInUse: an entry does not start. Its metrics port is taken by
// something else on that VM; it serves without metrics.
func TestMetricsPortInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, &reloadable{}, event.Nop(), catchSignals(), ln.Addr().String(), "") }()
	select {
	case err := <-ended:
		t.Fatalf("it ended: %v", err)
	case <-time.After(2 * debugDelay):
	}
	cancel()
	assert.NoError(t, <-ended)
}

func reloaded(t *testing.T, d *reloadable) {
	t.Helper()
	select {
	case <-d.reloads:
	case <-time.After(5 * time.Second):
		t.Fatal("the settings were not read again")
	}
}
