//go:build !race

package emulator_test

// unevenSeeds is the number of seeds with which a load of uneven engines is played.
const unevenSeeds = 16
