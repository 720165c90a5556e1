package targetload

import "math/bits"

// maxPeers is the number of peers told apart. A host tells its counts to its
// neighbours, six of its own and about six whose neighbour it is.
const maxPeers = 64

// peerBits gives each peer a bit, so that what peers hold takes 8 bytes a count
// in place of an entry for each of them: a host of dozens keeps hundreds of
// counts and exchanges them with a dozen peers.
type peerBits struct {
	of map[string]uint64
	// used orders the peers by their last use.
	used  map[string]uint64
	clock uint64
}

func newPeerBits() peerBits { return peerBits{of: map[string]uint64{}, used: map[string]uint64{}} }

// bit gives a peer's bit; taken tells that it was taken from the peer that was
// not used for longest.
func (p *peerBits) bit(peer string) (bit uint64, taken bool) {
	p.clock++
	p.used[peer] = p.clock
	if bit, known := p.of[peer]; known {
		return bit, false
	}
	bit, taken = p.free()
	p.of[peer] = bit
	return bit, taken
}

func (p *peerBits) free() (bit uint64, taken bool) {
	var all uint64
	for _, b := range p.of {
		all |= b
	}
	if len(p.of) < maxPeers {
		return 1 << bits.TrailingZeros64(^all), false
	}
	oldest := ""
	for peer := range p.of {
		if oldest == "" || p.used[peer] < p.used[oldest] {
			oldest = peer
		}
	}
	bit = p.of[oldest]
	delete(p.of, oldest)
	delete(p.used, oldest)
	return bit, true
}
