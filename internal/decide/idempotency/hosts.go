package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostList is a confirmed state of the published list of live entries.
type HostList struct {
	// Revision is the configuration service's revision of the list.
	Revision uint64
	// LiveHosts holds the forwarding addresses of the entries that may own keys.
	LiveHosts []string
	// ConfirmedAt is when the request that confirmed this list was sent to the
	// configuration service, on the same clock as now. The time of receipt
	// would make an old list look recent if the response waited in a socket
	// buffer while this process was paused.
	ConfirmedAt time.Duration
}

// digest returns a hash that is equal for lists of the same hosts in any order.
func (l HostList) digest() uint64 {
	var sum uint64
	for _, name := range l.LiveHosts {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// ConfirmedAt converts the wall-clock time of a confirmation that another
// process reported to this process's monotonic clock. It takes the age by the
// wall clocks and adds the maximum clock skew between two hosts.
func (c Config) ConfirmedAt(now time.Duration, wall, confirmed time.Time) time.Duration {
	age := max(wall.Sub(confirmed), 0)
	return now - age - c.MaxClockSkew
}

// ownershipHistory records since when this process has been on the published
// list, and when each host that has left was last on it. From this, one pass
// over the hosts tells since when this process has owned a key without
// interruption, without keeping old lists.
type ownershipHistory struct {
	selfHash uint64
	selfName string
	revision uint64
	digest   uint64 // of the list's content
	// peerRevision is the highest list revision newer than ours that a peer has
	// reported, 0 if none. peerRevisionAt is when a newer revision was first
	// reported.
	peerRevision   uint64
	peerRevisionAt time.Duration
	hasList        bool
	selfLive       bool
	selfLiveSince  time.Duration
	confirmedAt    time.Duration
	// hosts is a slice because each call with a caller's key scans all of it.
	// hostIndex finds a host by name.
	hosts     []hostState
	hostIndex map[string]int
}

type hostState struct {
	name string
	hash uint64
	live bool
	// lastLive is when a host that has left the list was last known to be on
	// it.
	lastLive time.Duration
}

func newOwnershipHistory(self string) ownershipHistory {
	return ownershipHistory{selfHash: xxhash.Sum64String(self), selfName: self, hostIndex: map[string]int{}}
}

// rendezvousWeight ranks a host for a key (rendezvous hashing). The host with
// the highest weight owns the key, so a change of one host moves only the keys
// of that host.
func rendezvousWeight(host, key uint64) uint64 {
	x := host ^ key
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9 // finalizer of SplitMix64
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// update records a confirmed list. maxGap is the longest time between two
// confirmations over which ownership still counts as uninterrupted. Hosts that
// left the list longer than retention ago are removed.
func (o *ownershipHistory) update(now time.Duration, list HostList, maxGap, retention time.Duration) {
	if o.hasList && list.ConfirmedAt < o.confirmedAt && list.Revision <= o.revision {
		return // an older confirmation that arrived late
	}
	digest := list.digest()
	discontinuous := o.isDiscontinuous(list, digest, maxGap)
	if discontinuous || list.Revision != o.revision {
		o.replaceHosts(now, list, discontinuous)
		o.pruneHosts(now - retention)
	}
	o.hasList, o.revision, o.digest, o.confirmedAt = true, list.Revision, digest, list.ConfirmedAt
	if o.peerRevision <= o.revision || o.peerRevisionAt < list.ConfirmedAt {
		o.peerRevision = 0
	}
}

// isDiscontinuous reports whether another list may have been in force, without
// this process knowing, for long enough to matter. That is possible after a
// long gap between confirmations, after the service was restored to an older
// state (the revision falls, or is used again for another list), and when the
// service returns an older list than a peer already had before the request was
// sent. Ownership then starts again.
func (o *ownershipHistory) isDiscontinuous(list HostList, digest uint64, maxGap time.Duration) bool {
	switch {
	case !o.hasList, list.ConfirmedAt-o.confirmedAt > maxGap, list.Revision < o.revision:
		return true
	case list.Revision == o.revision && digest != o.digest:
		return true
	default:
		return o.peerRevision > list.Revision && o.peerRevisionAt < list.ConfirmedAt
	}
}

// observePeerRevision records a peer's list revision.
func (o *ownershipHistory) observePeerRevision(now time.Duration, revision uint64) {
	if revision <= o.revision || revision <= o.peerRevision {
		return
	}
	if o.peerRevision == 0 {
		o.peerRevisionAt = now
	}
	o.peerRevision = revision
}

func (o *ownershipHistory) replaceHosts(now time.Duration, list HostList, discontinuous bool) {
	for i := range o.hosts {
		if h := &o.hosts[i]; h.live {
			h.live, h.lastLive = false, now
		}
	}
	wasLive := o.selfLive
	o.selfLive = false
	for _, name := range list.LiveHosts {
		if name == o.selfName {
			o.selfLive = true
			continue
		}
		i, found := o.hostIndex[name]
		if !found {
			i = len(o.hosts)
			o.hostIndex[name] = i
			o.hosts = append(o.hosts, hostState{name: name, hash: xxhash.Sum64String(name)})
		}
		o.hosts[i].live = true
	}
	if o.selfLive && (!wasLive || discontinuous) {
		o.selfLiveSince = now
	}
}

// pruneHosts removes hosts that left the list before cutoff. No key that they
// can have accepted is still valid.
func (o *ownershipHistory) pruneHosts(cutoff time.Duration) {
	kept := o.hosts[:0]
	for _, h := range o.hosts {
		if h.live || h.lastLive >= cutoff {
			o.hostIndex[h.name] = len(kept)
			kept = append(kept, h)
		} else {
			delete(o.hostIndex, h.name)
		}
	}
	clear(o.hosts[len(kept):])
	o.hosts = kept
}

// owner returns the owner of the key by the current list, or "" if there is
// none.
func (o *ownershipHistory) owner(key uint64) string {
	best, bestWeight := "", uint64(0)
	if o.selfLive {
		best, bestWeight = o.selfName, rendezvousWeight(o.selfHash, key)
	}
	for i := range o.hosts {
		h := &o.hosts[i]
		if !h.live {
			continue
		}
		w := rendezvousWeight(h.hash, key)
		if best == "" || w > bestWeight || (w == bestWeight && h.name < best) {
			best, bestWeight = h.name, w
		}
	}
	return best
}

// ownerSince returns the time since which this process has owned the key
// without interruption. ok is false if it does not own the key now.
func (o *ownershipHistory) ownerSince(key uint64) (since time.Duration, ok bool) {
	if !o.hasList || !o.selfLive {
		return 0, false
	}
	selfWeight := rendezvousWeight(o.selfHash, key)
	since = o.selfLiveSince
	for i := range o.hosts {
		h := &o.hosts[i]
		w := rendezvousWeight(h.hash, key)
		if w < selfWeight || (w == selfWeight && o.selfName < h.name) {
			continue
		}
		if h.live {
			return 0, false
		}
		since = max(since, h.lastLive)
	}
	return since, true
}
