package main

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonypulley"
	"ebonypulley/agent"
	"ebonypulley/entry"
	"ebonypulley/event"
	"ebonypulley/invariant"
	"ebonypulley/metrics"
	"ebonypulley/settings"
	"ebonypulley/standin"
)

// newLog returns a log that writes JSON lines to standard output, and logs
// invariant violations to it.
func newLog(cmd *cli.Command) (*event.Log, error) {
	level, err := zapcore.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "log-level")
	}
	log := event.NewOutput(os.Stdout, level)
	invariant.SetHandler(func(rule invariant.Rule, detail string) {
		log.Emit(event.Violation, zap.String("rule", string(rule)), zap.String("detail", detail))
	})
	return log, nil
}

// signalChannels receive the signals that a daemon handles. They are registered
// before the daemon reads its settings, because a signal without a handler ends
// the process at once: all requests in progress would be cut off, or an entry
// that is just starting would not come up.
type signalChannels struct {
	hangups, drains chan os.Signal
}

// notifySignals registers the signal handlers. Each channel buffers one signal
// until it is received.
func notifySignals() *signalChannels {
	c := &signalChannels{hangups: make(chan os.Signal, 1), drains: make(chan os.Signal, 1)}
	signal.Notify(c.hangups, syscall.SIGHUP)
	signal.Notify(c.drains, drainSignals...)
	return c
}

func (c *signalChannels) stop() {
	signal.Stop(c.hangups)
	signal.Stop(c.drains)
}

// gcPercent is the garbage collection target of a daemon in percent of heap
// growth. It is below Go's default of 100 because memory is scarcer than CPU
// time on the smallest VMs.
const gcPercent = 50

// serve runs a daemon until it ends. SIGTERM drains it; SIGHUP or a change of
// the settings file reloads its settings.
func serve(ctx context.Context, d ebonypulley.Daemon, log *event.Log, signals *signalChannels, metricsAddr, file string) error {
	defer log.Sync()
	defer signals.stop()
	debug.SetGCPercent(gcPercent)
	select {
	case <-signals.drains:
		log.Emit(event.Stopped)
		return nil
	default:
	}
	g := ebonypulley.NewGroup(ctx)
	g.Go(func(ctx context.Context) error { return reloadLoop(ctx, d, log, signals.hangups, file) })
	if metricsAddr != "" {
		g.Go(func(ctx context.Context) error {
			if err := serveDebug(ctx, metricsAddr); err != nil {
				log.Emit(event.MetricsUnavailable, zap.String("listen", metricsAddr), event.Err(err))
			}
			return nil
		})
	}
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-signals.drains:
			watchExit(d, log)
			return d.Drain(ctx)
		}
	})
	g.Go(func(ctx context.Context) error {
		defer g.Stop()
		return d.Run(ctx)
	})
	return g.Wait()
}

// watchExit logs what a daemon is doing when it has not ended the process within the bound
// of its drain. Nothing else tells what it waits for before it is killed.
func watchExit(d ebonypulley.Daemon, log *event.Log) {
	b, ok := d.(ebonypulley.Bounded)
	if !ok || b.DrainBound() <= 0 {
		return
	}
	time.AfterFunc(b.DrainBound(), func() {
		var text strings.Builder
		const withCounts = 1 // one stack for all goroutines that are at the same place
		err := pprof.Lookup("goroutine").WriteTo(&text, withCounts)
		log.Emit(event.StillRunning, zap.String("goroutines", text.String()), event.Err(err))
		log.Sync()
	})
}

// settingsInterval is the interval between checks of the settings file, which
// may change without a signal.
const settingsInterval = time.Second

func reloadLoop(ctx context.Context, d ebonypulley.Daemon, log *event.Log, hangups <-chan os.Signal, file string) error {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	last := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-tick.C:
			if modTime(file).Equal(last) {
				continue
			}
		}
		last = modTime(file)
		r, ok := d.(ebonypulley.Reloader)
		if !ok {
			continue
		}
		if err := r.Reload(); err != nil {
			log.Emit(event.SettingsRefused, event.Err(err))
			continue
		}
		log.Emit(event.SettingsReloaded, zap.String("file", file))
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// can't be read. Such a file counts as changed, and the reload reports the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

const debugHeaderTimeout = 5 * time.Second

// debugDelay is the delay before the metrics address is opened, so that the
// daemon opens its own addresses first.
const debugDelay = 300 * time.Millisecond

// serveDebug serves expvar at /debug/vars.
//
// The daemon listens on its own addresses first and continues without metrics
// if addr can't be opened: the metrics port is the same on all VMs, and a VM
// where another process uses it must not keep the daemon from starting.
func serveDebug(ctx context.Context, addr string) error {
	if !ebonypulley.Sleep(ctx, debugDelay) {
		return nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "debug address")
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: debugHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return errorx.ExternalError.Wrap(err, "debug")
	}
	return nil
}

// warnPlainText logs a warning if addr is not a loopback address, because
// connections to it from other machines are not encrypted.
func warnPlainText(log *event.Log, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	if err == nil && !ap.Addr().IsLoopback() {
		log.Emit(event.PlainTextOpen, zap.String("listen", addr))
	}
}

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "read the process settings from `FILE`"},
		&cli.BoolFlag{Name: "print-defaults", Usage: "print a settings file with all fields and exit"},
	}
}

// daemonCommand returns the command that runs a daemon.
func daemonCommand(name, usage string, defaults func() any, run func(ctx context.Context, file string, log *event.Log, signals *signalChannels) error) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		Description: "Example:\n  ebonypulley " + name + " --print-defaults > " + name + ".jsonc\n  ebonypulley " + name + " --settings " + name + ".jsonc\n\nSIGTERM drains the process: it takes no new work, ends what is in progress and exits with 0.",
		Flags:       settingsFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Bool("print-defaults") {
				return printSettings(defaults())
			}
			file := cmd.String("settings")
			if file == "" {
				return errorx.IllegalArgument.New("--settings FILE is required; see --print-defaults")
			}
			signals := notifySignals()
			log, err := newLog(cmd)
			if err != nil {
				return err
			}
			return run(ctx, file, log, signals)
		},
	}
}

func printSettings(v any) error {
	text, err := settings.Format(v)
	if err != nil {
		return err
	}
	_, err = fmt.Print(string(text))
	return err
}

func entryCommand() *cli.Command {
	return daemonCommand("entry", "serve callers on an entry VM",
		func() any { return settings.DefaultEntry() },
		func(ctx context.Context, file string, log *event.Log, signals *signalChannels) error {
			set, err := settings.LoadEntry(file)
			if err != nil {
				return err
			}
			warnPlainText(log, set.Listen)
			e := entry.New(set, log, nil)
			metrics.Publish("entry", func() any { return e.Stats() })
			return serve(ctx, e, log, signals, set.Debug, file)
		})
}

func agentCommand() *cli.Command {
	return daemonCommand("agent", "control admission to the endpoint on this VM",
		func() any { return settings.DefaultAgent() },
		func(ctx context.Context, file string, log *event.Log, signals *signalChannels) error {
			set, err := settings.LoadAgent(file)
			if err != nil {
				return err
			}
			warnPlainText(log, set.Listen)
			a := agent.New(set, log, nil)
			metrics.Publish("agent", func() any { return a.Stats() })
			return serve(ctx, a, log, signals, set.Debug, file)
		})
}

func standinCommand() *cli.Command {
	return daemonCommand("standin", "stand in for an engine, a plain service or a service of the platform",
		func() any { return settings.DefaultStandin() },
		func(ctx context.Context, file string, log *event.Log, signals *signalChannels) error {
			set, err := settings.LoadStandin(file)
			if err != nil {
				return err
			}
			h, err := standin.New(set, nil)
			if err != nil {
				return err
			}
			return serve(ctx, &standin.Server{Listen: set.Listen, Handler: h}, log, signals, "", file)
		})
}
