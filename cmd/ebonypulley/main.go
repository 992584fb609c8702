// Command ebonypulley runs the router: each subcommand runs one of its daemons
// or one of its tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	_ "ebonypulley/plugins"
)

// errReported is returned by commands that have already printed what failed.
var errReported = errors.New("reported")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := app().Run(ctx, os.Args)
	if err == nil {
		return
	}
	if !errors.Is(err, errReported) {
		fmt.Fprintln(os.Stderr, "ebonypulley:", message(err))
	}
	stop()
	os.Exit(1)
}

// message returns the text of an error without its stack trace.
func message(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Error()
	}
	return err.Error()
}

func app() *cli.Command {
	return &cli.Command{
		Name:                  "ebonypulley",
		Usage:                 "route requests to separate prefill and decode pools of model engines, and to plain services",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			platformCommand(),
			standinCommand(),
			checkCommand(),
			planCommand(),
			demoCommand(),
			loadCommand(),
			soakCommand(),
			inspectCommand(),
		},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least level logged: debug, info, warn or error"},
		},
	}
}

// drainSignals are the signals that make a daemon drain.
var drainSignals = []os.Signal{syscall.SIGTERM}
