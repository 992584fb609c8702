package main

import (
	"context"
	"fmt"
	"os"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"ebonypulley/inspect"
)

func inspectCommand() *cli.Command {
	return &cli.Command{
		Name:        "inspect",
		Usage:       "tell from logs what happened to a request, or why requests failed",
		ArgsUsage:   "FILE...",
		Description: "Give the logs of all entries.\n\nExamples:\n  ebonypulley inspect entry-*.log\n  ebonypulley inspect --request dfc04f01a0ad65ef entry-*.log",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "request", Usage: "the `ID` of a request: print its lines in order"}},
		Action:      runInspect,
	}
}

func runInspect(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errorx.IllegalArgument.New("name at least one log FILE")
	}
	var lines []inspect.Line
	for _, name := range cmd.Args().Slice() {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	if id := cmd.String("request"); id != "" {
		return printRequest(lines, id)
	}
	printCauses(inspect.FailureCauses(lines))
	return nil
}

func readLog(name string) ([]inspect.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines, skipped, err := inspect.Read(f)
	if err != nil {
		return nil, errorx.Decorate(err, "%s", name)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not events\n", name, skipped)
	}
	return lines, nil
}

func printRequest(lines []inspect.Line, id string) error {
	found := inspect.RequestLines(lines, id)
	if len(found) == 0 {
		return errorx.IllegalArgument.New("no lines of request %s; they may have been dropped by sampling (docs/OPERATIONS.md)", id)
	}
	for _, l := range found {
		fmt.Printf("%+8.3fs %s %d %s", l.At.Sub(found[0].At).Seconds(), l.Process, l.Event, l.Text)
		for _, f := range l.Fields {
			fmt.Printf("  %s=%s", f.Name, f.Value)
		}
		fmt.Println()
	}
	return nil
}

func printCauses(causes []inspect.Cause) {
	for _, c := range causes {
		fmt.Printf("%6d  %d %s, %s: %s  (such as %s)\n", c.Count, c.Event, c.Text, c.Why, c.Error, c.Example)
	}
}
