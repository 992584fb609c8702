package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"ebonypulley/config"
	"ebonypulley/fleet"
	"ebonypulley/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "report every finding in configuration documents",
		ArgsUsage:   "FILE...",
		Description: "Each finding is printed as file:line:column: severity: text. The exit code is 1 if any is an error.\n\nExample:\n  ebonypulley check examples/almaty.jsonc",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() == 0 {
				return errorx.IllegalArgument.New("name at least one FILE")
			}
			failed := false
			for _, file := range cmd.Args().Slice() {
				ok, err := checkFile(file)
				if err != nil {
					return err
				}
				failed = failed || !ok
			}
			if failed {
				return errReported
			}
			return nil
		},
	}
}

func checkFile(file string) (bool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return false, errorx.IllegalArgument.Wrap(err, "check")
	}
	doc, findings := config.Parse(file, text)
	for _, f := range findings {
		fmt.Println(f)
	}
	if findings.Errors() > 0 {
		fmt.Printf("%s: %d error(s)\n", file, findings.Errors())
		return false, nil
	}
	fmt.Printf("%s: ok, generation %d: %d workspaces, %d endpoints, %d entries\n",
		file, doc.Generation, len(doc.Workspaces), len(doc.Endpoints), len(doc.Entries))
	return true, nil
}

// readDocument reads and parses a configuration document. Errors among its
// findings are returned as an error.
func readDocument(file string) (*config.Document, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errorx.IllegalArgument.Wrap(err, "document")
	}
	doc, findings := config.Parse(file, text)
	return doc, text, findings.Err()
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "write a settings file for each process of a document, with stand-ins for the platform",
		ArgsUsage:   "FILE",
		Description: "Prints one line a process: role, name, settings file, address.\n\nExample:\n  ebonypulley plan --out /tmp/almaty examples/almaty.jsonc",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "write the files into `DIR`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			doc, text, err := readDocument(file)
			if err != nil {
				return err
			}
			plan, err := fleet.NewPlan(doc, text)
			if err != nil {
				return err
			}
			return writePlan(plan, cmd.String("out"), file)
		},
	}
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

func writePlan(plan *fleet.Plan, dir, document string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errorx.ExternalError.Wrap(err, "plan")
	}
	document, err := filepath.Abs(document)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "plan")
	}
	for _, s := range plan.Standins {
		if s.Name == "config" {
			s.Settings.Document = document
		}
		if err := writeSettings(dir, "standin", s.Name, s.Settings.Listen, s.Settings); err != nil {
			return err
		}
	}
	for _, s := range plan.Agents {
		if err := writeSettings(dir, "agent", s.Name, s.Listen, s); err != nil {
			return err
		}
	}
	for _, s := range plan.Entries {
		if err := writeSettings(dir, "entry", s.Name, s.Listen, s); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of one process and prints its line of
// the plan.
func writeSettings(dir, role, name, addr string, v any) error {
	text, err := settings.Format(v)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, role+"-"+name+".jsonc")
	if err := os.WriteFile(file, text, fileMode); err != nil {
		return errorx.ExternalError.Wrap(err, "plan")
	}
	fmt.Println(role, name, file, addr)
	return nil
}
