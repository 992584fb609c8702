package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockHashes returns the chained hashes of a prompt's complete cache blocks. Equal
// hashes mean equal text from the start up to and including that block.
func BlockHashes(prompt string) []uint64 {
	const size = BlockTokens * BytesPerToken
	blocks := make([]uint64, 0, len(prompt)/size)
	var d xxhash.Digest
	var link [8]byte
	for len(prompt) >= size {
		d.Reset()
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[:size])
		sum := d.Sum64()
		blocks = append(blocks, sum)
		binary.LittleEndian.PutUint64(link[:], sum)
		prompt = prompt[size:]
	}
	return blocks
}
