package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// blockChars is the characters of one prefix block.
const blockChars = 64

// PrefixChain gives the hashes of a prompt's whole blocks. Hash k covers block
// k and hash k-1, so that equal hashes mean equal prompts up to there.
func PrefixChain(prompt string) []uint64 {
	chain := make([]uint64, 0, len(prompt)/blockChars)
	var earlier uint64
	var buf [8 + blockChars]byte
	for ; len(prompt) >= blockChars; prompt = prompt[blockChars:] {
		binary.LittleEndian.PutUint64(buf[:8], earlier)
		copy(buf[8:], prompt[:blockChars])
		earlier = xxhash.Sum64(buf[:])
		chain = append(chain, earlier)
	}
	return chain
}
