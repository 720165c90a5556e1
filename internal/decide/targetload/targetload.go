// Package targetload adds up what all hosts have running at each target.
//
// Load pattern: eight hosts send long generations to nine engines, each host
// about four at a time; what a target reports of itself is half a second old
// and costs a call.
//
// What happens without it: each host sees an eighth of the load, so its choice
// of the emptiest engine is nearly a random one. Now and then an engine has
// nine generations where the mean is four: its memory runs out, prompts wait
// for seconds, and when it is taken away its link can't carry them all off.
//
// How it works: each host counts what it has running itself, and hosts tell
// each other the counts that changed. A count has one writer, its host, and a
// version, so that it may come by any way and any number of times. Counts are
// told again now and then, and one that was not heard of for longer is
// dropped: its host is gone, and its requests with it.
//
// It is not safe for concurrent use; times are on the steady clock.
package targetload

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/targetrate"
)

const (
	// RefreshEvery is how often a host tells again those of its counts that did
	// not change, so that one lost message makes nobody wrong for long.
	RefreshEvery = 2 * time.Second
	// expireAfter is how long a count holds that is not told again: three
	// refreshes, of which two may be lost.
	expireAfter = 3 * RefreshEvery
)

// HostLoad is what one host has running at one target.
type HostLoad struct {
	Host, Target string
	// Version rises with each count of the host, over its restarts too.
	Version uint64
	Load
	// Leaving says that the host has heard from the target itself that it is
	// about to stop.
	Leaving bool
	// TimePerToken is the host's estimate of the time that the target alone takes for
	// one token; 0 for none.
	TimePerToken time.Duration
	// AdvertisedRate is what the target last said to the host of the rate it takes; nil when
	// it never named one.
	AdvertisedRate *targetrate.Advertisement
	// FailureSeq is another number after each request of the host that the target
	// broke; 0 when it broke none.
	FailureSeq uint32
}

// Load is what runs at a target. Loads add up.
type Load struct {
	Running int
	// ReservedTokens are in memory or will be; UnreadTokens are those of prompts that have
	// no first event yet.
	ReservedTokens, UnreadTokens int
	// BackupTokens are the tokens of backups that the target keeps or will keep.
	BackupTokens int
}

// Add adds two loads.
func (l Load) Add(o Load) Load {
	return Load{l.Running + o.Running, l.ReservedTokens + o.ReservedTokens, l.UnreadTokens + o.UnreadTokens, l.BackupTokens + o.BackupTokens}
}

// Sub takes a load off.
func (l Load) Sub(o Load) Load {
	return Load{l.Running - o.Running, l.ReservedTokens - o.ReservedTokens, l.UnreadTokens - o.UnreadTokens, l.BackupTokens - o.BackupTokens}
}

type key struct{ host, target string }

type held struct {
	HostLoad
	heard time.Duration
	// told has the bit of each peer that holds this version: it was told, or
	// told it itself.
	told uint64
	// ownerTold is the version that the target's owner was told.
	ownerTold uint64
}

// Table holds the counts known to one host.
type Table struct {
	self      string
	version   uint64
	failures  uint32
	counts    map[key]held
	peers     peerBits
	refreshed time.Duration
}

// New returns an empty board of a host. start must be higher than any version
// that an earlier process of the host used, such as the time of day.
func New(self string, start uint64) *Table {
	return &Table{self: self, version: start, counts: map[key]held{}, peers: newPeerBits()}
}

// SetLocalLoad notes what this host has running at a target.
func (b *Table) SetLocalLoad(now time.Duration, target string, load Load) {
	c := b.Local(target)
	c.Load = load
	b.setOwn(now, c)
}

// SetLeaving notes that a target told this host that it is about to stop.
func (b *Table) SetLeaving(now time.Duration, target string) {
	c := b.Local(target)
	if c.Leaving {
		return
	}
	c.Leaving = true
	b.setOwn(now, c)
}

// SetTimePerToken notes the time that a target alone takes for one token.
func (b *Table) SetTimePerToken(now time.Duration, target string, step time.Duration) {
	c := b.Local(target)
	c.TimePerToken = step
	b.setOwn(now, c)
}

// AddFailure notes a request of this host that a target broke. The numbers run
// over all targets: a count that expired and is made anew must not come to the
// same one.
func (b *Table) AddFailure(now time.Duration, target string) {
	b.failures++
	c := b.Local(target)
	c.FailureSeq = b.failures
	b.setOwn(now, c)
}

// SetRate notes what a target said of the rate it takes.
func (b *Table) SetRate(now time.Duration, target string, w targetrate.Advertisement) {
	c := b.Local(target)
	c.AdvertisedRate = &w
	b.setOwn(now, c)
}

// Local gives this host's count of a target, an empty one when there is none.
func (b *Table) Local(target string) HostLoad {
	c := b.counts[key{b.self, target}].HostLoad
	c.Host, c.Target = b.self, target
	return c
}

func (b *Table) setOwn(now time.Duration, c HostLoad) {
	b.version++
	c.Version = b.version
	k := key{c.Host, c.Target}
	b.counts[k] = held{HostLoad: c, heard: now, ownerTold: b.counts[k].ownerTold}
}

// OwnerUpdates gives this host's own counts that changed since the last time, or
// have to be told again, and takes them for told to the owners of their targets.
func (b *Table) OwnerUpdates(now time.Duration) []HostLoad {
	b.refresh(now)
	b.expire(now)
	var news []HostLoad
	for k, c := range b.counts {
		if k.host != b.self || c.ownerTold == c.Version {
			continue
		}
		c.ownerTold = c.Version
		b.counts[k] = c
		news = append(news, c.HostLoad)
	}
	return news
}

// ReplaceTarget takes all that the owner of a target knows of it: what it does not
// name has ended.
func (b *Table) ReplaceTarget(now time.Duration, target string, counts []HostLoad) {
	for k := range b.counts {
		named := func(c HostLoad) bool { return c.Host == k.host }
		if k.target == target && k.host != b.self && !slices.ContainsFunc(counts, named) {
			delete(b.counts, k)
		}
	}
	b.Merge(now, "", counts)
}

// ForTarget gives the counts of one target that say anything, this host's own among
// them.
func (b *Table) ForTarget(now time.Duration, target string) []HostLoad {
	var counts []HostLoad
	for k, c := range b.counts {
		if k.target == target && !c.empty() && (k.host == b.self || now-c.heard < expireAfter) {
			counts = append(counts, c.HostLoad)
		}
	}
	return counts
}

// empty tells whether a count says nothing that a missing one would not.
func (c HostLoad) empty() bool {
	return c.Load == Load{} && c.TimePerToken == 0 && !c.Leaving && c.FailureSeq == 0 && c.AdvertisedRate == nil
}

// Merge takes counts that a peer told; an empty name stands for one that is not
// told any.
func (b *Table) Merge(now time.Duration, peer string, counts []HostLoad) {
	var bit uint64
	if peer != "" {
		bit = b.bit(peer)
	}
	for _, c := range counts {
		k := key{c.Host, c.Target}
		if c.Host == b.self {
			// A process of this host that is gone counted there. What this one
			// tells must overrule it, also if the clock went back meanwhile.
			if c.Version > b.version {
				b.version = c.Version
				b.SetLocalLoad(now, c.Target, b.counts[k].Load)
			}
			continue
		}
		old, known := b.counts[k]
		switch {
		case !known && c.empty():
			// Hosts that ask about a target tell what they have there, which mostly
			// is nothing. Kept, these would fill answers and memory.
		case !known || c.Version > old.Version:
			b.counts[k] = held{HostLoad: c, heard: now, told: bit}
		case c.Version == old.Version:
			old.told |= bit
			if peer == "" {
				// The owner expires what its host doesn't tell again.
				old.heard = now
			}
			b.counts[k] = old
		}
	}
}

// PeerUpdates gives the counts that a peer was not told yet, by this host or by
// telling them itself, and takes them for told.
func (b *Table) PeerUpdates(now time.Duration, peer string) []HostLoad {
	b.refresh(now)
	b.expire(now)
	bit := b.bit(peer)
	var news []HostLoad
	for k, c := range b.counts {
		if k.host == peer || c.told&bit != 0 {
			continue
		}
		c.told |= bit
		b.counts[k] = c
		news = append(news, c.HostLoad)
	}
	return news
}

// bit gives the bit of a peer. When it was another peer's, that one may hold
// nothing by now.
func (b *Table) bit(peer string) uint64 {
	bit, taken := b.peers.bit(peer)
	if !taken {
		return bit
	}
	for k, c := range b.counts {
		c.told &^= bit
		b.counts[k] = c
	}
	return bit
}

// Sum is what all hosts' counts of one target come to.
type Sum struct {
	// Others is what the other hosts have running there.
	Others Load
	// Hosts counts the hosts, this one included, with something running there.
	Hosts int
	// Leaving is set when any host heard that the target is about to stop.
	Leaving bool
}

// Totals adds up the counts of every target in one pass: a choice among all
// targets of a service would else go through all counts once for each of them.
func (b *Table) Totals(now time.Duration) map[string]Sum {
	sums := make(map[string]Sum)
	for k, c := range b.counts {
		own := k.host == b.self
		if !own && now-c.heard >= expireAfter {
			continue
		}
		sum := sums[k.target]
		if !own {
			sum.Others = sum.Others.Add(c.Load)
		}
		if c.Running > 0 {
			sum.Hosts++
		}
		sum.Leaving = sum.Leaving || c.Leaving
		sums[k.target] = sum
	}
	return sums
}

func (b *Table) refresh(now time.Duration) {
	if now-b.refreshed < RefreshEvery {
		return
	}
	b.refreshed = now
	for k, c := range b.counts {
		if k.host == b.self && c.Running > 0 && now-c.heard >= RefreshEvery {
			b.SetLocalLoad(now, k.target, c.Load)
		}
	}
}

func (b *Table) expire(now time.Duration) {
	for k, c := range b.counts {
		if now-c.heard >= expireAfter {
			delete(b.counts, k)
		}
	}
}
