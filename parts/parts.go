// Package parts splits large published values into parts that are identified by their digest
// (content-defined chunking). A process that has an older value fetches only the parts that
// changed, in small answers, and keeps those that arrived when an answer or its sender is
// lost.
//
// A configuration of thousands of routes may change every two seconds, and some entries have
// links of 10 Mbit/s. A configuration of 4,240 routes takes 1.0 MB whole; as parts, the last
// 1,400 of these routes take 0.09 MB on the link.
package parts

import (
	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

const (
	// minPartBytes, targetPartBytes and maxPartBytes bound the size of a part. A change costs
	// about one part of the target size; smaller parts would compress worse.
	minPartBytes    = 4 << 10
	targetPartBytes = 12 << 10
	maxPartBytes    = 32 << 10
	// MaxValueBytes bounds the size of a value, so that a wrong size in a manifest can't
	// exhaust memory. It is far above the 1 MB that a published value may have.
	MaxValueBytes = 4 << 20
	// maxIndexBytes bounds the values of an index together; a removed value is not taken out.
	maxIndexBytes = 2 * MaxValueBytes
	// gearSeed generates the table of the rolling hash. It must be the same in every process;
	// otherwise equal values are split differently and share no parts.
	gearSeed = 0x9e3779b97f4a7c15
)

var (
	partErrors = errorx.NewNamespace("parts")
	// ErrManifest is returned for a manifest that no value can have.
	ErrManifest = partErrors.NewType("manifest")
	// ErrPart is returned for bytes that are not a part, and ErrValue for parts that do not
	// make up the value.
	ErrPart  = partErrors.NewType("part")
	ErrValue = partErrors.NewType("value")
)

// Manifest describes the parts of a value.
type Manifest struct {
	// Size is the size of the value in bytes, Digest its hash.
	Size   int
	Digest uint64
	// Parts holds the digests of the parts in order.
	Parts []uint64
}

var gear = gearTable()

// gearTable returns a pseudorandom number for each byte value, from the SplitMix64 generator.
func gearTable() (table [256]uint64) {
	state := uint64(gearSeed)
	for i := range table {
		state += gearSeed
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}

// cut returns the length of the first part of value. Besides the size bounds, the boundary
// depends only on the 64 bytes before it, so that an insertion shifts only the boundaries
// close after it.
func cut(value []byte) int {
	if len(value) <= minPartBytes {
		return len(value)
	}
	end := min(len(value), maxPartBytes)
	var hash uint64
	for i := range end {
		hash = hash<<1 + gear[value[i]]
		if i >= minPartBytes && hash>>32%(targetPartBytes-minPartBytes) == 0 {
			return i + 1
		}
	}
	return end
}

// split returns the parts of a value as subslices.
func split(value []byte) [][]byte {
	var list [][]byte
	for len(value) > 0 {
		n := cut(value)
		list = append(list, value[:n:n])
		value = value[n:]
	}
	return list
}

func digest(b []byte) uint64 { return xxhash.Sum64(b) }
