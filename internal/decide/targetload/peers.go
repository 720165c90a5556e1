package targetload

import "math/bits"

// maxPeers is the number of peers whose state is tracked. A host sends its counts
// to its neighbours: six that it selected and about six that selected it.
const maxPeers = 64

// peerBits assigns a bit to each peer, so that the set of peers that hold a count
// takes 8 bytes per count instead of an entry per peer. In a fleet of dozens of
// hosts, each keeps hundreds of counts and exchanges them with a dozen peers.
type peerBits struct {
	bits map[string]uint64
	// lastUse is the value of useCount at each peer's last use.
	lastUse  map[string]uint64
	useCount uint64
}

func newPeerBits() peerBits { return peerBits{bits: map[string]uint64{}, lastUse: map[string]uint64{}} }

// bit returns the bit of a peer. reassigned is set if the bit belonged to the
// least recently used peer until now.
func (p *peerBits) bit(peer string) (bit uint64, reassigned bool) {
	p.useCount++
	p.lastUse[peer] = p.useCount
	if bit, found := p.bits[peer]; found {
		return bit, false
	}
	bit, reassigned = p.allocate()
	p.bits[peer] = bit
	return bit, reassigned
}

// allocate returns an unused bit, or the bit of the least recently used peer,
// which it removes.
func (p *peerBits) allocate() (bit uint64, reassigned bool) {
	var inUse uint64
	for _, b := range p.bits {
		inUse |= b
	}
	if len(p.bits) < maxPeers {
		return 1 << bits.TrailingZeros64(^inUse), false
	}
	oldest := ""
	for peer := range p.bits {
		if oldest == "" || p.lastUse[peer] < p.lastUse[oldest] {
			oldest = peer
		}
	}
	bit = p.bits[oldest]
	delete(p.bits, oldest)
	delete(p.lastUse, oldest)
	return bit, true
}
