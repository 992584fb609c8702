package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/event"
	"ebonypulley/fleet"
	"ebonypulley/jsonc"
	"ebonypulley/load"
	"ebonypulley/standin"
)

// benchFleet runs the small fleet over loopback TCP. Its engines take almost no time, so that
// the figures show the router's overhead.
func benchFleet(b *testing.B) *fleet.Fleet {
	b.Helper()
	doc := smallDocument(b)
	f, err := fleet.StartTCPWith(b.Context(), doc, event.Nop(), func(s *standin.Settings) {
		s.Engine.StepBase = jsonc.Duration(time.Microsecond)
		s.Engine.StepPerRequest = jsonc.Duration(time.Nanosecond)
		s.Engine.PrefillPerToken = jsonc.Duration(time.Nanosecond)
		s.Plain.CallDuration = jsonc.Duration(time.Nanosecond)
	})
	require.NoError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	require.NoError(b, f.Ready(ctx))
	b.Cleanup(func() { assert.NoError(b, f.Stop()) })
	return f
}

// BenchmarkDraft measures a generation through entry, agents and stand-ins in one process. The
// difference between the token counts is the cost per token.
func BenchmarkDraft(b *testing.B) {
	f := benchFleet(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	c := f.NewCaller(client)
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, tokens := range []int{1, 32, 128} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				res := c.Generate(b.Context(), rnd, load.GenerationSpec{Key: paidKey, Prompt: "benchmark 12", MaxTokens: tokens, Stream: true})
				if res.Status != http.StatusOK || res.Mismatch != "" {
					b.Fatal(res.Reason, res.Mismatch)
				}
			}
		})
	}
}

// BenchmarkCall measures a plain call: Offer, Granted, Start and Outcome.
func BenchmarkCall(b *testing.B) {
	f := benchFleet(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	c := f.NewCaller(client)
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, kind := range []load.Kind{load.KindIdempotent, load.KindNonIdempotent} {
		b.Run(string(kind), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				res := c.Call(b.Context(), rnd, load.CallSpec{Key: paidKey, Kind: kind})
				if res.Status != http.StatusOK {
					b.Fatal(res.Reason)
				}
			}
		})
	}
}
