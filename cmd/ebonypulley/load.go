package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"ebonypulley/config"
	"ebonypulley/fleet"
	"ebonypulley/load"
	"ebonypulley/standin"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send mixed load to a running fleet and judge every answer",
		Description: "The fleet's addresses are those of the document; its endpoints must be stand-ins, which count how often each call ran.\n\nExample:\n  ebonypulley load --document examples/almaty.jsonc --paid-key almaty-office-key --trial-key almaty-trial-key --for 20s",
		Flags: append(mixFlags(),
			&cli.StringFlag{Name: "document", Required: true, Usage: "the deployment's `FILE`"},
			&cli.StringFlag{Name: "paid-key", Required: true, Usage: "a paid workspace's `KEY`"},
			&cli.StringFlag{Name: "trial-key", Required: true, Usage: "a trial workspace's `KEY`"},
		),
		Action: runLoad,
	}
}

// mixFlags returns the flags of the commands that send load.
func mixFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "for", Usage: "send mixed load for this `TIME`, then stop"},
		&cli.FloatFlag{Name: "rate", Value: 60, Usage: "mean requests a second"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
	}
}

func newMix(cmd *cli.Command, caller load.Caller, paid, trial string) load.Mix {
	return load.Mix{
		Caller:   caller,
		PaidKey:  paid,
		TrialKey: trial,
		Rate:     cmd.Float("rate"),
		Duration: cmd.Duration("for"),
		Seed:     cmd.Uint64("seed"),
		Progress: printProgress,
	}
}

func targetsOf(doc *config.Document) load.Targets {
	return load.Targets{TTFT: doc.Targets.TTFT.D(), TBT: doc.Targets.TBT.D()}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	doc, _, err := readDocument(cmd.String("document"))
	if err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: callerConns}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	mix := newMix(cmd, fleet.NewCaller(doc, client), cmd.String("paid-key"), cmd.String("trial-key"))
	sum, results, err := mix.Run(ctx, targetsOf(doc))
	if err != nil {
		return err
	}
	remote := &remoteStandins{doc: doc, client: client}
	sum = load.CheckRuns(sum, results, remote.runs())
	return printSummary("load", remote, sum)
}

// remoteStandins reads the counters of the stand-ins of a fleet of separate
// processes.
type remoteStandins struct {
	doc    *config.Document
	client *http.Client
}

func (r *remoteStandins) runs() map[string]int {
	total := make(map[string]int)
	for _, e := range r.doc.Endpoints {
		if r.doc.Pool(e.Pool).Role != config.Plain {
			continue
		}
		var runs map[string]int
		if err := r.get(e.URL+"/admin/runs", &runs); err != nil {
			fmt.Println("stand-in does not report its runs:", err)
		}
		for call, n := range runs {
			total[call] += n
		}
	}
	return total
}

// HeldRequests implements engineStats. An engine that does not answer counts as empty.
func (r *remoteStandins) HeldRequests() int {
	held := 0
	for _, e := range r.doc.Endpoints {
		if r.doc.Pool(e.Pool).Role == config.Plain {
			continue
		}
		var s standin.EngineStats
		if r.get(e.URL+"/admin/stats", &s) == nil {
			held += s.HeldRequests
		}
	}
	return held
}

// PrefillStats implements engineStats. Wasted stays 0, because only the entries know it.
func (r *remoteStandins) PrefillStats() fleet.PrefillStats {
	var p fleet.PrefillStats
	for _, e := range r.doc.Endpoints {
		var s standin.EngineStats
		if r.doc.Pool(e.Pool).Role == config.Prefill && r.get(e.URL+"/admin/stats", &s) == nil {
			p.ComputedTokens += s.PrefillTokens
			p.CachedTokens += s.CachedTokens
			p.ExpiredResults += s.ExpiredResults
		}
	}
	return p
}

func (r *remoteStandins) get(target string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errorx.IllegalArgument.Wrap(err, "stand-in")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "stand-in")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errorx.ExternalError.Wrap(err, "stand-in %s", target)
	}
	return nil
}
