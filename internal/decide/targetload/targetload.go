// Package targetload sums the load that all hosts place on each target.
//
// It is made for eight hosts that send long generations to nine engines, about
// four at a time per host. A target's own load report is half a second old and
// costs a call. Without shared counts each host sees an eighth of the load, and
// its choice of the least loaded engine is nearly random. Sometimes an engine
// then has nine generations where the mean is four: its memory runs out, prompts
// wait for seconds, and when the engine is taken away its link cannot carry all
// the generations off.
//
// Each host counts its own load on each target, and hosts exchange the counts
// that changed. A count has a single writer, its host, and a version, so it can
// arrive by any path and any number of times. Counts are resent periodically. A
// count that was not resent in time is dropped, because its host has failed and
// its requests with it. For each target one host, the owner, collects the counts
// of all hosts and answers queries about it.
//
// Types in this package are not safe for concurrent use. Times are on the
// monotonic clock.
package targetload

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
)

const (
	// RefreshInterval is the interval at which a host resends its counts that did
	// not change, so that a lost message is made up for soon.
	RefreshInterval = 2 * time.Second
	// expireAfter is how long a count is valid without being resent: three
	// refresh intervals, so two refreshes can be lost.
	expireAfter = 3 * RefreshInterval
)

// HostLoad is a host's count of a target: the load that the host places on it,
// and what the host knows about it.
type HostLoad struct {
	Host, Target string
	// Version increases with each count of the host, also across restarts.
	Version uint64
	Load
	// Leaving is set if the target told the host that it is about to stop.
	Leaving bool
	// TimePerToken is the host's estimate of the time per token of a generation that runs
	// alone on the target; 0 if unknown.
	TimePerToken time.Duration
	// AdvertisedRate is the last rate limit that the target advertised to the host; nil if
	// it never advertised one.
	AdvertisedRate *targetrate.Advertisement
	// Brittle is the last statement of the target to the host on whether it is
	// brittle; nil if it never said that it is.
	Brittle *brittle.Statement
	// LeavingLifetime is the start, in Unix milliseconds, of the target's lifetime
	// in which it said in an answer to the host that it leaves; nil if it never
	// did.
	LeavingLifetime *int64
	// FailureSeq changes with each request of the host that failed because of the
	// target; 0 if none did.
	FailureSeq uint32
	// Granted is the part of the load that the host's own counts don't include yet; nil for
	// none. Only answers of owners have it. A Table takes no such counts.
	Granted *Granted
}

// Granted is room that the owner of a target granted to a host.
type Granted struct {
	Load
	// Version is that of the host's count without the room; 0 if the owner has none.
	Version uint64
	// Lifetime is the time until the grant expires.
	Lifetime time.Duration
}

// Load is the load on a target. Loads can be added.
type Load struct {
	Running int
	// ReservedTokens is the memory that the requests occupy or will occupy,
	// UnreadTokens the tokens of those prompts that have not produced a first
	// event yet.
	ReservedTokens, UnreadTokens int
	// BackupTokens is the number of tokens in backups that the target stores or will
	// store.
	BackupTokens int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{l.Running + other.Running, l.ReservedTokens + other.ReservedTokens, l.UnreadTokens + other.UnreadTokens, l.BackupTokens + other.BackupTokens}
}

// Sub returns the difference of two loads.
func (l Load) Sub(other Load) Load {
	return Load{l.Running - other.Running, l.ReservedTokens - other.ReservedTokens, l.UnreadTokens - other.UnreadTokens, l.BackupTokens - other.BackupTokens}
}

type entry struct {
	HostLoad
	receivedAt time.Duration
	// sentTo has the bits of the peers that hold this version, because it was
	// sent to them or received from them.
	sentTo uint64
	// versionSentToOwner is the version last sent to the target's owner.
	versionSentToOwner uint64
}

// Table holds the counts known to one host.
type Table struct {
	self       string
	version    uint64
	failureSeq uint32
	// counts holds the counts by target and host. Most calls concern one target.
	counts      map[string]map[string]entry
	peers       peerBits
	lastRefresh time.Duration
}

// New returns an empty table for the host self. start must be higher than any
// version that an earlier process of the host used, such as the time of day.
func New(self string, start uint64) *Table {
	return &Table{self: self, version: start, counts: map[string]map[string]entry{}, peers: newPeerBits()}
}

// SetLocalLoad sets this host's load on a target.
func (t *Table) SetLocalLoad(now time.Duration, target string, load Load) {
	c := t.LocalCount(target)
	c.Load = load
	t.setLocal(now, c)
}

// SetLeaving records that a target told this host that it is about to stop.
func (t *Table) SetLeaving(now time.Duration, target string) {
	c := t.LocalCount(target)
	if c.Leaving {
		return
	}
	c.Leaving = true
	t.setLocal(now, c)
}

// SetLeavingLifetime records that a target said in an answer to this host that it
// leaves.
func (t *Table) SetLeavingLifetime(now time.Duration, lifetime directory.Lifetime) {
	c := t.LocalCount(lifetime.TargetID)
	c.LeavingLifetime = &lifetime.StartedUnixMilli
	t.setLocal(now, c)
}

// SetTimePerToken sets this host's estimate of the time per token on a target.
func (t *Table) SetTimePerToken(now time.Duration, target string, timePerToken time.Duration) {
	c := t.LocalCount(target)
	c.TimePerToken = timePerToken
	t.setLocal(now, c)
}

// AddFailure records a request of this host that failed because of a target. The
// numbers run over all targets, so that a count created again after it expired
// does not repeat a number.
func (t *Table) AddFailure(now time.Duration, target string) {
	t.failureSeq++
	c := t.LocalCount(target)
	c.FailureSeq = t.failureSeq
	t.setLocal(now, c)
}

// SetBrittle sets what a target said to this host on whether it is brittle.
func (t *Table) SetBrittle(now time.Duration, target string, said brittle.Statement) {
	c := t.LocalCount(target)
	c.Brittle = &said
	t.setLocal(now, c)
}

// SetRate sets the rate limit that a target advertised to this host.
func (t *Table) SetRate(now time.Duration, target string, rate targetrate.Advertisement) {
	c := t.LocalCount(target)
	c.AdvertisedRate = &rate
	t.setLocal(now, c)
}

// LocalCount returns this host's count of a target, or an empty one.
func (t *Table) LocalCount(target string) HostLoad {
	c := t.counts[target][t.self].HostLoad
	c.Host, c.Target = t.self, target
	return c
}

// setLocal stores this host's count of a target under a new version.
func (t *Table) setLocal(now time.Duration, c HostLoad) {
	t.version++
	c.Version = t.version
	t.put(entry{HostLoad: c, receivedAt: now, versionSentToOwner: t.counts[c.Target][c.Host].versionSentToOwner})
}

// put stores a count.
func (t *Table) put(e entry) {
	byHost := t.counts[e.Target]
	if byHost == nil {
		byHost = map[string]entry{}
		t.counts[e.Target] = byHost
	}
	byHost[e.Host] = e
}

// remove removes a count.
func (t *Table) remove(target, host string) {
	delete(t.counts[target], host)
	if len(t.counts[target]) == 0 {
		delete(t.counts, target)
	}
}

// OwnerUpdates returns this host's own counts that changed since the last call or are
// due to be resent, and marks them as sent to the owners of their targets.
func (t *Table) OwnerUpdates(now time.Duration) []HostLoad {
	t.refresh(now)
	t.expire(now)
	var updates []HostLoad
	for _, byHost := range t.counts {
		c, found := byHost[t.self]
		if !found || c.versionSentToOwner == c.Version {
			continue
		}
		c.versionSentToOwner = c.Version
		byHost[t.self] = c
		updates = append(updates, c.HostLoad)
	}
	return updates
}

// ReplaceTarget replaces the counts of a target with the complete answer of its owner.
// Other hosts' counts that are missing from the answer have ended, unless they arrived
// after it was asked for: the owner may not have had them.
func (t *Table) ReplaceTarget(asked, now time.Duration, target string, counts []HostLoad) {
	for host, known := range t.counts[target] {
		fromHost := func(c HostLoad) bool { return c.Host == host }
		if host != t.self && known.receivedAt <= asked && !slices.ContainsFunc(counts, fromHost) {
			t.remove(target, host)
		}
	}
	t.Merge(now, "", counts)
}

// ForTarget returns the counts of one target, including this host's own, leaving out
// empty ones.
func (t *Table) ForTarget(now time.Duration, target string) []HostLoad {
	var counts []HostLoad
	for host, c := range t.counts[target] {
		if !c.isZero() && (host == t.self || now-c.receivedAt < expireAfter) {
			counts = append(counts, c.HostLoad)
		}
	}
	return counts
}

// VersionOf returns the version of a host's count of a target; 0 if there is none.
func (t *Table) VersionOf(target, host string) uint64 { return t.counts[target][host].Version }

// isZero reports whether a count carries no more information than a missing one.
func (c HostLoad) isZero() bool {
	return c.Load == Load{} && c.TimePerToken == 0 && !c.Leaving && c.FailureSeq == 0 && c.AdvertisedRate == nil && c.Brittle == nil && c.LeavingLifetime == nil
}

// Merge merges counts received from a peer. An empty peer name means that the
// sender is not tracked as a peer.
func (t *Table) Merge(now time.Duration, peer string, counts []HostLoad) {
	var bit uint64
	if peer != "" {
		bit = t.bit(peer)
	}
	for _, c := range counts {
		if c.Host == t.self {
			// An earlier process of this host wrote this count. This process must
			// supersede it, even if the clock was set back in the meantime.
			if c.Version > t.version {
				t.version = c.Version
				t.SetLocalLoad(now, c.Target, t.counts[c.Target][t.self].Load)
			}
			continue
		}
		current, found := t.counts[c.Target][c.Host]
		switch {
		case !found && c.isZero():
			// Hosts that query a target send their own count of it, which is mostly
			// empty. Keeping these counts would fill answers and memory.
		case !found || c.Version > current.Version:
			t.put(entry{HostLoad: c, receivedAt: now, sentTo: bit})
		case c.Version == current.Version:
			current.sentTo |= bit
			if peer == "" {
				// The owner expires counts that their hosts do not resend.
				current.receivedAt = now
			}
			t.put(current)
		}
	}
}

// PeerUpdates returns the counts that were neither sent to a peer nor received from it,
// and marks them as sent.
func (t *Table) PeerUpdates(now time.Duration, peer string) []HostLoad {
	t.refresh(now)
	t.expire(now)
	bit := t.bit(peer)
	var updates []HostLoad
	for _, byHost := range t.counts {
		for host, c := range byHost {
			if host == peer || c.sentTo&bit != 0 {
				continue
			}
			c.sentTo |= bit
			byHost[host] = c
			updates = append(updates, c.HostLoad)
		}
	}
	return updates
}

// bit returns the bit of a peer. If the bit was reassigned from another peer, it
// is cleared in all counts, because the new peer may hold none of them.
func (t *Table) bit(peer string) uint64 {
	bit, reassigned := t.peers.bit(peer)
	if !reassigned {
		return bit
	}
	for _, byHost := range t.counts {
		for host, c := range byHost {
			c.sentTo &^= bit
			byHost[host] = c
		}
	}
	return bit
}

// Total is the sum of all hosts' counts of one target.
type Total struct {
	// OtherHostsLoad is the load of the other hosts.
	OtherHostsLoad Load
	// Hosts is the number of hosts, including this one, with requests running on
	// the target.
	Hosts int
	// Leaving is set if the target told any host that it is about to stop.
	Leaving bool
}

// Total returns the total of one target.
func (t *Table) Total(now time.Duration, target string) Total {
	var sum Total
	for host, c := range t.counts[target] {
		local := host == t.self
		if !local && now-c.receivedAt >= expireAfter {
			continue
		}
		if !local {
			sum.OtherHostsLoad = sum.OtherHostsLoad.Add(c.Load)
		}
		if c.Running > 0 {
			sum.Hosts++
		}
		sum.Leaving = sum.Leaving || c.Leaving
	}
	return sum
}

// refresh resends this host's counts of running requests every RefreshInterval.
func (t *Table) refresh(now time.Duration) {
	if now-t.lastRefresh < RefreshInterval {
		return
	}
	t.lastRefresh = now
	for target, byHost := range t.counts {
		if c, found := byHost[t.self]; found && c.Running > 0 && now-c.receivedAt >= RefreshInterval {
			t.SetLocalLoad(now, target, c.Load)
		}
	}
}

// expire removes the counts that were not resent in time.
func (t *Table) expire(now time.Duration) {
	for target, byHost := range t.counts {
		for host, c := range byHost {
			if now-c.receivedAt >= expireAfter {
				t.remove(target, host)
			}
		}
	}
}
