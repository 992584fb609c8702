//go:build race

package emulator_test

// unevenSeeds is lower with the race detector, which multiplies the time of the many steps of
// engines.
const unevenSeeds = 1
