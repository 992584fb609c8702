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

// newLog returns a log of JSON lines on standard output and reports invariant
// violations to it.
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

// caught are the signals that a daemon takes, from before it reads its settings.
//
// A signal that no handler takes ends the process at once. It shows as every request in
// progress cut off, or as an entry that does not come back after a start.
type caught struct {
	hangups, drains chan os.Signal
}

// catchSignals begins to take signals; one of each kind waits until it is looked at.
func catchSignals() *caught {
	c := &caught{hangups: make(chan os.Signal, 1), drains: make(chan os.Signal, 1)}
	signal.Notify(c.hangups, syscall.SIGHUP)
	signal.Notify(c.drains, drainSignals...)
	return c
}

func (c *caught) stop() {
	signal.Stop(c.hangups)
	signal.Stop(c.drains)
}

// gcPercent is how much the heap of a daemon grows between two collections, in percent: memory is
// scarcer than processor time on the smallest VMs.
const gcPercent = 50

// serve runs a daemon until it ends; SIGTERM drains it, and it reads its
// settings file again on SIGHUP or when the file has changed.
func serve(ctx context.Context, d ebonypulley.Daemon, log *event.Log, signals *caught, metrics, file string) error {
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
	if metrics != "" {
		g.Go(func(ctx context.Context) error {
			if err := serveDebug(ctx, metrics); err != nil {
				log.Emit(event.MetricsLost, zap.String("listen", metrics), event.Err(err))
			}
			return nil
		})
	}
	g.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-signals.drains:
			return d.Drain(ctx)
		}
	})
	g.Go(func(ctx context.Context) error {
		defer g.Stop()
		return d.Run(ctx)
	})
	return g.Wait()
}

// settingsInterval is the pause between two looks at the settings file, which
// may change without a signal.
const settingsInterval = time.Second

func reloadLoop(ctx context.Context, d ebonypulley.Daemon, log *event.Log, hangups <-chan os.Signal, file string) error {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	last := modified(file)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-tick.C:
			if modified(file).Equal(last) {
				continue
			}
		}
		last = modified(file)
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

// modified returns when a file was last changed. A file that can't be read
// counts as unchanged at the zero time; reloading it says what is wrong.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

const debugHeaderTimeout = 5 * time.Second

// debugDelay lets the daemon's own addresses go first.
const debugDelay = 300 * time.Millisecond

// serveDebug shows expvar at /debug/vars.
//
// The metrics port, which is the same on all VMs, is
// in use on one of them. It shows as a process that does not start. The guard
// holds because the daemon listens first and goes on without its metrics.
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

// warnPlainText logs that an address can be reached from other machines
// without encryption.
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

// daemonCommand makes the command of one role.
func daemonCommand(name, usage string, defaults func() any, run func(ctx context.Context, file string, log *event.Log, signals *caught) error) *cli.Command {
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
				return errorx.IllegalArgument.New("--settings FILE is needed; see --print-defaults")
			}
			signals := catchSignals()
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
		func(ctx context.Context, file string, log *event.Log, signals *caught) error {
			set, err := settings.Entry(file)
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
	return daemonCommand("agent", "gate the endpoint on this VM",
		func() any { return settings.DefaultAgent() },
		func(ctx context.Context, file string, log *event.Log, signals *caught) error {
			set, err := settings.Agent(file)
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
		func(ctx context.Context, file string, log *event.Log, signals *caught) error {
			set, err := settings.Standin(file)
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
