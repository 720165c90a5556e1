package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostList is one state of the published list of live entries.
type HostList struct {
	// Revision is the configuration service's revision of the list.
	Revision uint64
	// LiveHosts holds the forward addresses of the entries that may own keys.
	LiveHosts []string
	// ConfirmedAt is when the request that confirmed this list was SENT to the
	// configuration service, on the scale of `now`. The time of receipt would
	// not do: a message that waited in a socket while this process was paused
	// would make an old list look fresh.
	ConfirmedAt time.Duration
}

// digest is equal for lists of the same hosts, in any order.
func (l HostList) digest() uint64 {
	var sum uint64
	for _, name := range l.LiveHosts {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// ConfirmedAt converts a wall-clock time of a confirmation, as told by another
// process, to the monotonic scale: age by the wall clocks, plus the bound on
// how far two hosts' wall clocks differ.
func (c Config) ConfirmedAt(now time.Duration, wall, confirmed time.Time) time.Duration {
	age := max(wall.Sub(confirmed), 0)
	return now - age - c.ClockError
}

// ownership knows, for the hosts of the published list, since when this
// process and until when every other one has been live. That answers "have I
// been the owner of this key without a break since t?" for any key in one pass
// over the hosts, without keeping old lists.
type ownership struct {
	self     uint64
	selfName string
	revision uint64
	digest   uint64 // of the list's content
	// news is the highest revision that a peer was heard to have while it was
	// newer than ours, newsAt when that was heard first.
	news      uint64
	newsAt    time.Duration
	known     bool
	selfLive  bool
	selfSince time.Duration
	confirmed time.Duration
	// hosts is a slice, since each call with a caller's own key looks at all
	// of it; index finds a host by its name.
	hosts []hostSpan
	index map[string]int
}

type hostSpan struct {
	name string
	hash uint64
	live bool
	// last is when a host that is not live any more was last known live.
	last time.Duration
}

func newOwnership(self string) ownership {
	return ownership{self: xxhash.Sum64String(self), selfName: self, index: map[string]int{}}
}

// weight ranks a host for a key (rendezvous hashing): the host with the
// highest weight owns the key, and a change of one host moves only its keys.
func weight(host, key uint64) uint64 {
	x := host ^ key
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9 // finalizer of SplitMix64
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// set takes a list. unbroken is the longest time between two confirmations
// that counts as continuous.
func (o *ownership) set(now time.Duration, list HostList, unbroken, forget time.Duration) {
	if o.known && list.ConfirmedAt < o.confirmed && list.Revision <= o.revision {
		return // an older confirmation that came late says nothing new
	}
	digest := list.digest()
	broken := o.breaks(list, digest, unbroken)
	if broken || list.Revision != o.revision {
		o.replace(now, list, broken)
		o.forget(now - forget)
	}
	o.known, o.revision, o.digest, o.confirmed = true, list.Revision, digest, list.ConfirmedAt
	if o.news <= o.revision || o.newsAt < list.ConfirmedAt {
		o.news = 0
	}
}

// breaks tells whether other lists may have been in force, for long enough to
// matter, without this process knowing: after a long time without
// confirmation, after a restore to an older state (a revision that falls, or
// one that is used a second time for another list), and when the service still
// shows an older list than a peer had before we asked. Ownership then begins
// anew.
func (o *ownership) breaks(list HostList, digest uint64, unbroken time.Duration) bool {
	switch {
	case !o.known, list.ConfirmedAt-o.confirmed > unbroken, list.Revision < o.revision:
		return true
	case list.Revision == o.revision && digest != o.digest:
		return true
	default:
		return o.news > list.Revision && o.newsAt < list.ConfirmedAt
	}
}

// heard notes a peer's list revision.
func (o *ownership) heard(now time.Duration, revision uint64) {
	if revision <= o.revision || revision <= o.news {
		return
	}
	if o.news == 0 {
		o.newsAt = now
	}
	o.news = revision
}

func (o *ownership) replace(now time.Duration, list HostList, broken bool) {
	for i := range o.hosts {
		if h := &o.hosts[i]; h.live {
			h.live, h.last = false, now
		}
	}
	wasLive := o.selfLive
	o.selfLive = false
	for _, name := range list.LiveHosts {
		if name == o.selfName {
			o.selfLive = true
			continue
		}
		i, known := o.index[name]
		if !known {
			i = len(o.hosts)
			o.index[name] = i
			o.hosts = append(o.hosts, hostSpan{name: name, hash: xxhash.Sum64String(name)})
		}
		o.hosts[i].live = true
	}
	if o.selfLive && (!wasLive || broken) {
		o.selfSince = now
	}
}

// forget drops hosts that left so long ago that no living key can be theirs.
func (o *ownership) forget(before time.Duration) {
	kept := o.hosts[:0]
	for _, h := range o.hosts {
		if h.live || h.last >= before {
			o.index[h.name] = len(kept)
			kept = append(kept, h)
		} else {
			delete(o.index, h.name)
		}
	}
	clear(o.hosts[len(kept):])
	o.hosts = kept
}

// owner names the key's owner in the list in force, "" when there is none.
func (o *ownership) owner(key uint64) string {
	best, bestWeight := "", uint64(0)
	if o.selfLive {
		best, bestWeight = o.selfName, weight(o.self, key)
	}
	for i := range o.hosts {
		h := &o.hosts[i]
		if !h.live {
			continue
		}
		w := weight(h.hash, key)
		if best == "" || w > bestWeight || (w == bestWeight && h.name < best) {
			best, bestWeight = h.name, w
		}
	}
	return best
}

// since gives the time from which this process has been the key's owner
// without a break; ok is false when it is not the owner now.
func (o *ownership) since(key uint64) (since time.Duration, ok bool) {
	if !o.known || !o.selfLive {
		return 0, false
	}
	mine := weight(o.self, key)
	since = o.selfSince
	for i := range o.hosts {
		h := &o.hosts[i]
		w := weight(h.hash, key)
		if w < mine || (w == mine && o.selfName < h.name) {
			continue
		}
		if h.live {
			return 0, false
		}
		since = max(since, h.last)
	}
	return since, true
}
