// Package promptprefix computes the hashes by which engines name the parts of a
// prompt that they hold in their cache. The chain is the one that the engines
// publish (docs/protocols.md): xxhash64 over blocks of 64 bytes, each hash
// covering the one before it, so that equal hashes mean equal beginnings.
package promptprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockSize is the length of a block in bytes.
	BlockSize = 64
	// MaxBlocks bounds the chain that is sent with a request. Longer common
	// beginnings than 2 KiB do not change the choice of a target, and each
	// hash costs eight bytes on the wire.
	MaxBlocks = 32
)

// BlockHashes returns the hashes of the prompt's whole leading blocks.
func BlockHashes(prompt string) []uint64 {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	chain := make([]uint64, 0, n)
	var earlier uint64
	var buf [8 + BlockSize]byte
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], earlier)
		copy(buf[8:], prompt[i*BlockSize:(i+1)*BlockSize])
		earlier = xxhash.Sum64(buf[:])
		chain = append(chain, earlier)
	}
	return chain
}

// Fingerprint names a request: equal for equal requests of any account.
func Fingerprint(service, prompt string, maxTokens int) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(maxTokens)))
	return d.Sum64()
}
