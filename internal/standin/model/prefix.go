package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// blockChars is the number of characters in a prefix block.
const blockChars = 64

// PrefixChain returns the hashes of the complete blocks of a prompt. Hash k
// covers block k and hash k-1, so that equal hashes mean equal prompts up to the
// end of that block.
func PrefixChain(prompt string) []uint64 {
	chain := make([]uint64, 0, len(prompt)/blockChars)
	var previous uint64
	var buf [8 + blockChars]byte
	for ; len(prompt) >= blockChars; prompt = prompt[blockChars:] {
		binary.LittleEndian.PutUint64(buf[:8], previous)
		copy(buf[8:], prompt[:blockChars])
		previous = xxhash.Sum64(buf[:])
		chain = append(chain, previous)
	}
	return chain
}
