// Command ebonypulley is the router: each subcommand is one role of it, or a
// tool beside it.
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

// errReported is returned by commands that have printed all there is to say.
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

// message is what a user sees of an error: no stack trace.
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

// drainSignals is what asks a daemon to drain.
var drainSignals = []os.Signal{syscall.SIGTERM}
