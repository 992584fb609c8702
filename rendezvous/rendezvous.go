// Package rendezvous ranks endpoints by a hash of their IDs and a key. All processes compute the
// same order, and endpoints keep their relative order when others are added or removed.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of an ID or a key.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// Score returns the score of an endpoint, given by the hash of its ID, for a key. The lowest
// score is the first in the order.
func Score(key, id uint64) uint64 { return mix64(key ^ id) }

// Order returns the indices of n endpoints in the order of a key.
func Order(key uint64, n int, id func(i int) string) []int {
	scores, order := make([]uint64, n), make([]int, n)
	for i := range n {
		scores[i], order[i] = Score(key, Hash(id(i))), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	return order
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
