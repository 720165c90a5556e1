package fetch

import (
	"slices"
	"time"
)

// Limits of uploads.
const (
	// uploadBytesPerSecond is the rate at which a host uploads: less than the
	// slowest link carries.
	uploadBytesPerSecond = 1 << 20
	// uploadBurstBytes is what a host uploads at once after a pause.
	uploadBurstBytes = 192 << 10
	// maxSuggestedHolders is the number of holders suggested to a peer that was
	// turned away, maxKnownHolders the number that are remembered.
	maxSuggestedHolders, maxKnownHolders = 3, 12
)

// UploadLimiter decides to which peers one host uploads a document.
type UploadLimiter struct {
	// linkFreeAt is when all accepted uploads are expected to have left the
	// link.
	linkFreeAt time.Duration
	holders    []string
	// rotation counts the peers that were turned away, so that each gets
	// different suggestions.
	rotation int
}

// Admit reports whether a peer may have that many bytes now. If not, it returns
// some of the peers to which the document was uploaded recently.
func (g *UploadLimiter) Admit(now time.Duration, peer string, bytes int) (others []string, ok bool) {
	burst := time.Duration(uploadBurstBytes) * time.Second / uploadBytesPerSecond
	if g.linkFreeAt > now+burst {
		return g.suggestHolders(peer), false
	}
	g.linkFreeAt = max(g.linkFreeAt, now) + time.Duration(bytes)*time.Second/uploadBytesPerSecond
	g.holders = append(slices.DeleteFunc(g.holders, func(h string) bool { return h == peer }), peer)
	g.holders = g.holders[max(0, len(g.holders)-maxKnownHolders):]
	return nil, true
}

// suggestHolders returns holders that a peer may ask. The most recent ones may
// not have the document yet, and answer that they are busy.
func (g *UploadLimiter) suggestHolders(peer string) []string {
	others := slices.DeleteFunc(slices.Clone(g.holders), func(h string) bool { return h == peer })
	start := 0
	if surplus := len(others) - maxSuggestedHolders; surplus > 0 {
		g.rotation++
		start = g.rotation % (surplus + 1)
	}
	return others[start:min(start+maxSuggestedHolders, len(others))]
}
