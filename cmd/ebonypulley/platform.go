package main

import (
	"context"
	"os"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"ebonypulley/memory"
	"ebonypulley/metrics"
	"ebonypulley/platform"
	"ebonypulley/settings"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform-entry",
		Usage:       "serve clients on an entry VM of the users' platform",
		Description: "Example:\n  ebonypulley platform-entry --print-defaults > entry.jsonc\n  ebonypulley platform-entry --settings entry.jsonc\n\nSIGTERM drains the process: it takes no new work, ends what is in progress and exits with 0.",
		Flags: append(settingsFlags(),
			&cli.StringFlag{Name: "settings-env", Usage: "read the path of the settings file from the environment variable `NAME`"}),
		Action: runPlatformEntry,
	}
}

func runPlatformEntry(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("print-defaults") {
		return printSettings(settings.DefaultPlatformEntry())
	}
	file := cmd.String("settings")
	if name := cmd.String("settings-env"); name != "" {
		file = os.Getenv(name)
	}
	if file == "" {
		return errorx.IllegalArgument.New("--settings FILE or --settings-env NAME is required; see --print-defaults")
	}
	signals := notifySignals()
	log, err := newLog(cmd)
	if err != nil {
		return err
	}
	set, err := settings.LoadPlatformEntry(file)
	if err != nil {
		return err
	}
	memory.LimitRuntime(set.MemoryLimit())
	e := platform.New(set, log)
	e.ReadSettings = func() (platform.Settings, error) { return settings.LoadPlatformEntry(file) }
	metrics.Publish("entry", func() any { return e.Metrics().Snapshot() })
	metrics.Publish("pace", func() any { return e.PaceSummaries() })
	return serve(ctx, e, log, signals, set.Metrics, file)
}
