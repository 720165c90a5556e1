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
	// uploadBurstBytes is the backlog of accepted uploads above which a host
	// accepts no more.
	uploadBurstBytes = 192 << 10
	// maxSuggestedHolders bounds the holders of the document that are suggested
	// to a refused peer, maxKnownHolders those that are remembered.
	maxSuggestedHolders, maxKnownHolders = 3, 12
)

// UploadLimiter decides to which peers one host uploads a document.
type UploadLimiter struct {
	// linkFreeAt is when all accepted uploads are expected to be complete.
	linkFreeAt time.Duration
	holders    []string
	// rotation counts the refused peers, so that each gets different suggestions.
	rotation int
}

// Admit reports whether that many bytes may be uploaded to a peer now. If not, it returns
// some of the peers to which the document was uploaded recently.
func (l *UploadLimiter) Admit(now time.Duration, peer string, bytes int) (others []string, ok bool) {
	burst := time.Duration(uploadBurstBytes) * time.Second / uploadBytesPerSecond
	if l.linkFreeAt > now+burst {
		return l.suggestHolders(peer), false
	}
	l.linkFreeAt = max(l.linkFreeAt, now) + time.Duration(bytes)*time.Second/uploadBytesPerSecond
	l.holders = append(slices.DeleteFunc(l.holders, func(h string) bool { return h == peer }), peer)
	l.holders = l.holders[max(0, len(l.holders)-maxKnownHolders):]
	return nil, true
}

// suggestHolders returns holders that a peer may ask. The most recent ones may
// not have the document yet, and answer that they are busy.
func (l *UploadLimiter) suggestHolders(peer string) []string {
	others := slices.DeleteFunc(slices.Clone(l.holders), func(h string) bool { return h == peer })
	start := 0
	if surplus := len(others) - maxSuggestedHolders; surplus > 0 {
		l.rotation++
		start = l.rotation % (surplus + 1)
	}
	return others[start:min(start+maxSuggestedHolders, len(others))]
}
