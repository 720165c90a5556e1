// Package promptprefix computes the hashes with which engines identify the prompt
// prefixes in their caches. It uses the engines' published scheme
// (docs/protocols.md): xxhash64 over blocks of 64 bytes, where each hash covers
// the previous one, so that equal hashes mean equal prefixes.
package promptprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockSize is the length of a block in bytes.
	BlockSize = 64
	// MaxBlocks limits the number of hashes that are sent with a request. Common
	// prefixes beyond 2 KiB do not change the choice of a target, and each hash
	// takes eight bytes on the wire.
	MaxBlocks = 32
)

// BlockHashes returns the hashes of the prompt's complete leading blocks, at most
// MaxBlocks of them.
func BlockHashes(prompt string) []uint64 {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	chain := make([]uint64, 0, n)
	var previous uint64
	var buf [8 + BlockSize]byte
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], previous)
		copy(buf[8:], prompt[i*BlockSize:(i+1)*BlockSize])
		previous = xxhash.Sum64(buf[:])
		chain = append(chain, previous)
	}
	return chain
}

// Fingerprint returns a hash of a request. Equal requests have the same
// fingerprint, whatever their account.
func Fingerprint(service, prompt string, maxTokens int) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(maxTokens)))
	return d.Sum64()
}
