package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"ebonypulley/soak"
	"ebonypulley/soak/processes"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "drive the decision machines through long random histories in virtual time",
		Description: "One seed gives one history; its hash is printed. On a violation the history before it is printed and the exit code is 1.\n\nExamples:\n  ebonypulley soak --seed 7 --steps 1000000\n  ebonypulley soak --seeds 200 --steps 50000\n  ebonypulley soak --processes --seeds 50 --for 10s",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one run each"},
			&cli.IntFlag{Name: "steps", Value: 100_000, Usage: "steps of each run"},
			&cli.StringFlag{Name: "faults", Value: "all", Usage: "all or none"},
			&cli.BoolFlag{Name: "processes", Usage: "run entries as separate processes on loopback, with faults from outside"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "with --processes: number of entries"},
			&cli.StringFlag{Name: "fleet", Usage: "with --processes: file that describes the fleet and its load, such as examples/five-entries.soak.jsonc; replaces --entries"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "with --processes: how long each seed brings faults about"},
			&cli.StringFlag{Name: "program", Usage: "with --processes: path of the program that runs the entries, such as one built from another commit; this one by default"},
			&cli.BoolFlag{Name: "failing", Usage: "with --processes: let workers fail a part of all requests, so that the retry budget is used up"},
			&cli.BoolFlag{Name: "restart-all", Usage: "with --processes: add releases of another software version, and restarts of all entries at once"},
			&cli.BoolFlag{Name: "claim-first-start", Usage: "with --processes: let the settings of entries say at each start, also at restarts, that no process has run before"},
			&cli.BoolFlag{Name: "restarts", Usage: "with --processes: pause all entries and kill them, one by one and all at once in turn"},
			&cli.BoolFlag{Name: "late-arrivals", Usage: "with --processes: instead of random faults, make requests arrive late: workers stop and connections hold bytes back while entries are paused and killed"},
			&cli.BoolFlag{Name: "streams", Usage: "with --processes: instead of random faults, overlap those that may lose, double or reorder events of streams"},
			&cli.StringFlag{Name: "out-of-step", Usage: "with --processes: instead of random faults, let workers of other software versions join while entries are stopped, refused or stopped-refused (by the store)"},
			&cli.IntFlag{Name: "out-of-step-entries", Value: 1, Usage: "with --out-of-step: how many are so together"},
			&cli.DurationFlag{Name: "out-of-step-for", Usage: "with --out-of-step: for how long; several lengths in turn by default"},
			&cli.BoolFlag{Name: "out-of-step-anywhere", Usage: "with --out-of-step: let callers begin and resume streams at any entry, after their usual pauses"},
			&cli.BoolFlag{Name: "deadly", Usage: "with --processes: add requests that crash each worker that runs them, and come again"},
			&cli.BoolFlag{Name: "bad-part", Usage: "with --processes: add requests with a prompt part that crashes engines"},
			&cli.IntFlag{Name: "bad-part-events", Usage: "with --bad-part: how many events an engine writes before it crashes"},
			&cli.DurationFlag{Name: "bad-part-interval", Usage: "with --bad-part: the time between two such requests; 250 ms by default"},
			&cli.BoolFlag{Name: "bad-part-kill", Usage: "with --bad-part: kill all entries once the part is blocked"},
			&cli.BoolFlag{Name: "bad-part-faults", Usage: "with --bad-part: let workers fail, stop and lose connections beside it"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("processes") {
		return runProcesses(ctx, cmd)
	}
	faults := cmd.String("faults")
	if faults != "all" && faults != "none" {
		return errorx.IllegalArgument.New("--faults is all or none, not %q", faults)
	}
	total := soak.Report{Seed: cmd.Uint64("seed"), Matrix: make(map[soak.Cell]int), Outcomes: make(map[string]int)}
	began := time.Now()
	for i := range cmd.Int("seeds") {
		if ctx.Err() != nil {
			break
		}
		r := soak.Run(soak.Settings{Seed: total.Seed + uint64(i), Steps: cmd.Int("steps"), Faults: faults == "all"})
		total.Add(r)
		if len(r.Violations) > 0 {
			printHistory(r)
			break
		}
	}
	printSoak(total, time.Since(began))
	if len(total.Violations) > 0 {
		return errReported
	}
	return nil
}

// runProcesses runs the soak of real processes for each seed. It stops at the
// first violation and keeps the logs of that run.
func runProcesses(ctx context.Context, cmd *cli.Command) error {
	program := cmd.String("program")
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	var fleet *processes.Profile
	if file := cmd.String("fleet"); file != "" {
		if cmd.Bool("bad-part") {
			return errorx.IllegalArgument.New("--bad-part needs the usual requests: leave out --fleet")
		}
		var err error
		if fleet, err = processes.ReadProfile(file); err != nil {
			return err
		}
	}
	outOfStep, err := outOfStepOf(cmd)
	if err != nil {
		return err
	}
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(i)
		r, err := processes.Run(ctx, processes.Settings{
			Program: program, Seed: seed, Entries: cmd.Int("entries"), For: cmd.Duration("for"),
			BadPart: cmd.Bool("bad-part"), BadPartEvents: cmd.Int("bad-part-events"), BadPartInterval: cmd.Duration("bad-part-interval"), BadPartKill: cmd.Bool("bad-part-kill"), BadPartFaults: cmd.Bool("bad-part-faults"),
			Failing: cmd.Bool("failing"), RestartAll: cmd.Bool("restart-all"),
			ClaimFirstStart: cmd.Bool("claim-first-start"), Restarts: cmd.Bool("restarts"),
			LateArrivals: cmd.Bool("late-arrivals"), Streams: cmd.Bool("streams"), OutOfStep: outOfStep, Deadly: cmd.Bool("deadly"), Fleet: fleet,
		})
		if err != nil {
			return err
		}
		fmt.Printf("soak: processes seed=%d requests=%d answered=%d refused=%d other=%d cut=%d faults=%d memory=%dMB repeats:%s %s violations=%d\n",
			seed, r.Requests, r.Answered, r.Refused, r.Other, r.Cut, r.Faults, r.PeakMemoryMB, r.WorstWindows, r.Streams, len(r.Violations))
		if r.Deadly != "" {
			fmt.Println("  deadly requests:" + r.Deadly)
		}
		if len(r.Violations) == 0 {
			continue
		}
		for _, v := range r.Violations {
			fmt.Println(" ", v)
		}
		fmt.Println("  logs and history:", r.Dir)
		return errReported
	}
	return nil
}

// outOfStepOf returns what the flags say of entries out of step, nil if they ask for none.
func outOfStepOf(cmd *cli.Command) (*processes.OutOfStep, error) {
	if cmd.String("out-of-step") == "" {
		return nil, nil
	}
	var lengths []time.Duration
	if d := cmd.Duration("out-of-step-for"); d > 0 {
		lengths = append(lengths, d)
	}
	return processes.NewOutOfStep(cmd.String("out-of-step"), cmd.Int("out-of-step-entries"), lengths, cmd.Bool("out-of-step-anywhere"))
}

func printHistory(r soak.Report) {
	fmt.Printf("seed %d after %d steps:\n", r.Seed, r.Steps)
	for _, line := range r.History {
		fmt.Println(" ", line)
	}
}

func printSoak(r soak.Report, took time.Duration) {
	fmt.Printf("%-14s", "fault \\ phase")
	for _, p := range soak.Phases[:len(soak.Phases)-1] {
		fmt.Printf("%10s", p)
	}
	fmt.Println()
	for _, f := range soak.Faults {
		fmt.Printf("%-14s", f)
		for _, p := range soak.Phases[:len(soak.Phases)-1] {
			fmt.Printf("%10d", r.Matrix[soak.Cell{Fault: f, Phase: p}])
		}
		fmt.Println()
	}
	fmt.Printf("outcomes: %v; longest lease after its caller disconnected: %s\n", r.Outcomes, r.LongestStaleLease.Round(time.Millisecond))
	fmt.Printf("history %016x, %.0f steps/s\n", r.Hash, float64(r.Steps)/took.Seconds())
	fmt.Printf("soak: seed=%d steps=%d requests=%d faults=%d violations=%d\n", r.Seed, r.Steps, r.Requests, r.Faults, len(r.Violations))
}
