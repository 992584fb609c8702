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
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

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

// TestHangupReloadsSettings: the platform changes the settings file and sends
// SIGHUP. Without a handler the signal would end the process with exit code 129
// and cut off the answers in progress.
func TestHangupReloadsSettings(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d := &reloadable{reloads: make(chan struct{}, 1)}
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, d, event.Nop(), notifySignals(), "", file) }()
	time.Sleep(50 * time.Millisecond) // until the goroutine has registered the signal handlers
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	waitForReload(t, d)

	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(file, later, later))
	waitForReload(t, d)
	cancel()
	assert.NoError(t, <-ended)
}

// TestMetricsPortInUse: another process on the VM uses the entry's metrics
// port. The entry must start and serve without metrics.
func TestMetricsPortInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, &reloadable{}, event.Nop(), notifySignals(), ln.Addr().String(), "") }()
	select {
	case err := <-ended:
		t.Fatalf("serve returned early: %v", err)
	case <-time.After(2 * debugDelay):
	}
	cancel()
	assert.NoError(t, <-ended)
}

func waitForReload(t *testing.T, d *reloadable) {
	t.Helper()
	select {
	case <-d.reloads:
	case <-time.After(5 * time.Second):
		t.Fatal("settings were not reloaded")
	}
}

// stuck is a daemon whose drain does not end within its bound.
type stuck struct{ reloadable }

func (d *stuck) Drain(ctx context.Context) error { return waitInDrain(ctx) }

func waitInDrain(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (d *stuck) DrainBound() time.Duration { return 50 * time.Millisecond }

// TestStuckDrainIsLogged: a daemon still runs at the bound of its drain. The log must say
// what it waits for, before it is killed.
func TestStuckDrainIsLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	signals := notifySignals()
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, &stuck{}, event.NewLog(zap.New(core)), signals, "", "") }()
	time.Sleep(50 * time.Millisecond) // until the daemon runs
	signals.drains <- syscall.SIGTERM
	assert.Eventually(t, func() bool { return logs.Len() > 0 }, 5*time.Second, 10*time.Millisecond)
	cancel()
	assert.NoError(t, <-ended)
	require.NotZero(t, logs.Len())
	assert.Contains(t, logs.All()[0].ContextMap()["goroutines"], "waitInDrain")
}
