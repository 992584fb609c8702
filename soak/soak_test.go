package soak_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ebonypulley/soak"
)

// TestSoak: a seed determines its history, no history violates an invariant, and
// together the histories cover each fault in each phase in which it can occur.
func TestSoak(t *testing.T) {
	matrix := make(map[soak.Cell]int)
	for seed := range uint64(6) {
		set := soak.Settings{Seed: seed, Steps: 30_000, Faults: true}
		r := soak.Run(set)
		assert.Empty(t, r.Violations, "seed %d: %v", seed, r.History)
		assert.Equal(t, r.Hash, soak.Run(set).Hash, "seed %d", seed)
		for cell, n := range r.Matrix {
			matrix[cell] += n
		}
	}
	for _, f := range soak.Faults {
		for _, p := range []soak.Phase{soak.Offering, soak.Waiting, soak.Granted, soak.Running} {
			if f == soak.AnswerLost && p != soak.Running {
				continue // an answer can only be lost while its call runs
			}
			assert.Positive(t, matrix[soak.Cell{Fault: f, Phase: p}], "%s in phase %s", f, p)
		}
	}
}

// TestSoakWithoutFaults: without faults, no invariant is violated and calls are
// answered.
func TestSoakWithoutFaults(t *testing.T) {
	r := soak.Run(soak.Settings{Seed: 1, Steps: 50_000})
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Outcomes["answered"])
	t.Log(r.Outcomes)
}
