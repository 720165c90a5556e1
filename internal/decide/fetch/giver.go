package fetch

import (
	"slices"
	"time"
)

// Figures of giving.
const (
	// giveRate is the bytes a second that a host gives away: less than the
	// slowest link carries.
	giveRate = 1 << 20
	// giveBurst is what it gives at once after a pause.
	giveBurst = 192 << 10
	// namedHolders is how many others are named to one that was turned away,
	// knownHolders how many are remembered.
	namedHolders, knownHolders = 3, 12
)

// UploadLimiter decides to whom one host gives a document.
type UploadLimiter struct {
	// free is when all that was given is taken to have left the link.
	free    time.Duration
	holders []string
	// turn counts those turned away, so that each is named others.
	turn int
}

// Admit tells whether a peer may have so many bytes now. Otherwise it names some
// of those that got the like from here lately.
func (g *UploadLimiter) Admit(now time.Duration, peer string, bytes int) (others []string, ok bool) {
	burst := time.Duration(giveBurst) * time.Second / giveRate
	if g.free > now+burst {
		return g.named(peer), false
	}
	g.free = max(g.free, now) + time.Duration(bytes)*time.Second/giveRate
	g.holders = append(slices.DeleteFunc(g.holders, func(h string) bool { return h == peer }), peer)
	g.holders = g.holders[max(0, len(g.holders)-knownHolders):]
	return nil, true
}

// named gives the holders that a peer may ask. Those that got it last may not
// have it yet, and answer that they are busy.
func (g *UploadLimiter) named(peer string) []string {
	others := slices.DeleteFunc(slices.Clone(g.holders), func(h string) bool { return h == peer })
	start := 0
	if spare := len(others) - namedHolders; spare > 0 {
		g.turn++
		start = g.turn % (spare + 1)
	}
	return others[start:min(start+namedHolders, len(others))]
}
