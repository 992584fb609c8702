package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"ebonypulley/config"
	"ebonypulley/examples"
	"ebonypulley/fleet"
	"ebonypulley/load"
)

const (
	paidKey  = "demo-paid-key"
	trialKey = "demo-trial-key"
	// limitedKey is the key of a workspace with a limit of limitedTokens per
	// second.
	limitedKey      = "demo-limited-key"
	limitedName     = "demo-limited"
	limitedTokens   = 500
	limitedRequests = 20
	// readyTimeout is the timeout for the start of the fleet.
	readyTimeout = 20 * time.Second
	// keyWarmup is the delay before load is sent: an agent refuses idempotency
	// keys created before it began to record keys.
	keyWarmup = 2 * time.Second
	// freeTimeout is how long engines may hold memory after the last request:
	// the lease time and a margin.
	freeTimeout = 5 * time.Second
	freePoll    = 20 * time.Millisecond
	callerConns = 256
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run a whole fleet with stand-ins in this process",
		Description: "With --for, mixed load is sent and judged; the last line sums it up, and the exit code is 1 if anything was wrong. Without, the fleet stays up for trying it by hand.\n\nExamples:\n  ebonypulley demo --for 10s\n  ebonypulley demo --document examples/mexico.jsonc",
		Flags: append(mixFlags(),
			&cli.StringFlag{Name: "document", Usage: "the deployment's `FILE`; Almaty's by default"},
		),
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	if !cmd.IsSet("log-level") {
		if err := cmd.Root().Set("log-level", "error"); err != nil {
			return errorx.IllegalArgument.Wrap(err, "log-level")
		}
	}
	log, err := newLog(cmd)
	if err != nil {
		return err
	}
	doc, err := demoDocument(cmd.String("document"))
	if err != nil {
		return err
	}
	f, err := fleet.StartTCP(ctx, doc, log)
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }() // Stop logs its error
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		return err
	}
	fmt.Printf("fleet %s: %d entries, %d agents, %d stand-ins\n", doc.Deployment, len(f.Entries), len(f.Agents), len(f.Plan.Standins))
	if cmd.Duration("for") == 0 {
		printHints(f)
		<-ctx.Done()
		return nil
	}
	return runDemoLoad(ctx, f, cmd)
}

// demoDocument reads a configuration document and adds the demo's workspaces,
// whose keys are known.
func demoDocument(file string) (*config.Document, error) {
	name, text := "almaty.jsonc", examples.Almaty
	if file != "" {
		_, read, err := readDocument(file)
		if err != nil {
			return nil, err
		}
		name, text = file, read
	}
	doc, findings := config.Parse(name, text)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	fleet.AddWorkspace(doc, "demo-paid", paidKey, false)
	fleet.AddWorkspace(doc, "demo-trial", trialKey, true)
	fleet.AddWorkspace(doc, limitedName, limitedKey, false)
	doc.Workspaces[len(doc.Workspaces)-1].TokensPerSecond = limitedTokens
	return doc, nil
}

func printHints(f *fleet.Fleet) {
	c := f.NewCaller(nil)
	urls := fleet.EntryURLs(f.Plan.Document)
	fmt.Printf("\ntry:\n")
	fmt.Printf("  curl -s %s/v1/models -H 'Authorization: Bearer %s'\n", urls[0], paidKey)
	fmt.Printf("  curl -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"max_tokens\":32,\"messages\":[{\"role\":\"user\",\"content\":\"Write a placement letter.\"}]}'\n", urls[0], paidKey, c.Model)
	fmt.Printf("  curl -si %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"max_tokens\":8,\"prompt\":\"Dear parents\"}'\n", urls[1], trialKey, c.Model)
	fmt.Printf("  curl -si %s/app/%s%s -H 'Authorization: Bearer %s' -d '{\"seat\":12}'\n", urls[1], c.Route, c.NonIdempotentPath, paidKey)
	fmt.Printf("  curl -si %s/app/%s%s -H 'Authorization: Bearer %s'\n", urls[0], c.Route, c.IdempotentPath, paidKey)
	fmt.Println("\nstop with Ctrl-C")
}

func runDemoLoad(ctx context.Context, f *fleet.Fleet, cmd *cli.Command) error {
	time.Sleep(keyWarmup)
	transport := &http.Transport{MaxIdleConnsPerHost: callerConns}
	defer transport.CloseIdleConnections()
	mix := newMix(cmd, f.NewCaller(&http.Client{Transport: transport}), paidKey, trialKey)
	sum, results, err := mix.Run(ctx, targetsOf(f.Plan.Document))
	if err != nil {
		return err
	}
	if err := showLimit(ctx, f); err != nil {
		return err
	}
	return printSummary("demo", f, load.CheckRuns(sum, results, f.RunCounts()))
}

// showLimit sends more requests than the limited workspace may use, and prints
// what its callers and the operators see.
func showLimit(ctx context.Context, f *fleet.Fleet) error {
	doc := f.Plan.Document
	caller := f.NewCaller(nil)
	served, refused, retryAfter := 0, 0, ""
	for n := range limitedRequests {
		url := fleet.EntryURLs(doc)[n%len(doc.Entries)] + "/v1/completions"
		body := fmt.Sprintf(`{"model":%q,"max_tokens":400,"stream":true,"prompt":"Dear parents"}`, caller.Model)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return errorx.IllegalArgument.Wrap(err, "request")
		}
		req.Header.Set("Authorization", "Bearer "+limitedKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errorx.ExternalError.Wrap(err, "a caller of %s", limitedName)
		}
		_ = resp.Body.Close() // only status and headers are shown
		switch resp.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			retryAfter = resp.Header.Get("Retry-After")
		}
	}
	var counted int64
	for _, e := range f.Entries {
		counted += e.Metrics().Count("quota_refused." + limitedName)
	}
	fmt.Printf("workspace %s with %d tokens a second: %d served, %d refused with 429, Retry-After %s s; counted quota_refused.%s=%d\n",
		limitedName, limitedTokens, served, refused, retryAfter, limitedName, counted)
	return nil
}

func printProgress(s load.Summary) {
	fmt.Printf("  %5d ended: %d whole, %d not run, %d unknown, %d cancelled\n", s.Requests, s.Complete, s.NotRun, s.Unknown, s.Cancelled)
}

// engineStats reports what the engines hold and what they have prefilled.
type engineStats interface {
	// HeldRequests returns the number of requests that hold engine memory.
	HeldRequests() int
	PrefillStats() fleet.PrefillStats
}

// waitUntilFree waits until no engine holds a request, and returns how long that
// took; it gives up after freeTimeout.
func waitUntilFree(h engineStats) time.Duration {
	began := time.Now()
	for h.HeldRequests() > 0 && time.Since(began) < freeTimeout {
		time.Sleep(freePoll)
	}
	return min(time.Since(began), freeTimeout)
}

// printSummary prints the results of the load; scripts parse its last line.
func printSummary(name string, h engineStats, s load.Summary) error {
	freed := waitUntilFree(h)
	for _, m := range s.Mismatches {
		fmt.Println("mismatch:", m)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Printf("%5d %s\n", s.Reasons[reason], reason)
	}
	if s.FalseNotRun > 0 {
		fmt.Printf("reported as not run, but ran: %d\n", s.FalseNotRun)
	}
	prefill := h.PrefillStats()
	fmt.Printf("paid drafts within both targets: %d of %d; aborted answers: %d\n", s.PaidOnTarget, s.Paid, s.Aborted)
	fmt.Printf("prefill: %d tokens computed, %d from cache, %d wasted; %d results expired unused\n", prefill.ComputedTokens, prefill.CachedTokens, prefill.WastedTokens, prefill.ExpiredResults)
	fmt.Printf("engine memory was free %s after the last request\n", freed.Round(time.Millisecond))
	violations := s.Violations + int64(s.FalseNotRun)
	if freed >= freeTimeout {
		fmt.Printf("engines still hold %d requests\n", h.HeldRequests())
		violations++
	}
	fmt.Printf("%s: requests=%d whole=%d not_run=%d unknown=%d cancelled=%d duplicates=%d violations=%d\n",
		name, s.Requests, s.Complete, s.NotRun, s.Unknown, s.Cancelled, s.Duplicates, violations)
	if s.Duplicates > 0 || violations > 0 || len(s.Mismatches) > 0 {
		return errReported
	}
	return nil
}
