package pools

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the parameters of pool selection. A zero field means its
// default.
type Config struct {
	// RemotePenalty is added to the score of a pool in another data centre.
	// Default 50 ms: its round trips take only 3 ms, but its data centre serves
	// its own callers too, and a backlog shorter than the age of its report is
	// not reliable.
	RemotePenalty time.Duration
	// AffinityBonus is subtracted from the score of the pool that ranks first
	// for a cached prefix. Default 100 ms, the time to process a prompt of a
	// few hundred tokens at some thousand tokens a second.
	AffinityBonus time.Duration
	// PendingRequestCost is added to the backlog for each request that this
	// entry has sent since the last report. Default 5 ms.
	PendingRequestCost time.Duration
	// UnknownBacklog is assumed for a pool without a current report. Default
	// 200 ms: such a pool is tried, but only after pools that are known to be
	// free.
	UnknownBacklog time.Duration
	// BacklogMaxAge is how long a gossiped backlog is used. Default 5 s.
	BacklogMaxAge time.Duration
}

const (
	defaultRemotePenalty      = 50 * time.Millisecond
	defaultAffinityBonus      = 100 * time.Millisecond
	defaultPendingRequestCost = 5 * time.Millisecond
	defaultUnknownBacklog     = 200 * time.Millisecond
	defaultBacklogMaxAge      = 5 * time.Second
)

func (c Config) withDefaults() Config {
	c.RemotePenalty = cmp.Or(c.RemotePenalty, defaultRemotePenalty)
	c.AffinityBonus = cmp.Or(c.AffinityBonus, defaultAffinityBonus)
	c.PendingRequestCost = cmp.Or(c.PendingRequestCost, defaultPendingRequestCost)
	c.UnknownBacklog = cmp.Or(c.UnknownBacklog, defaultUnknownBacklog)
	c.BacklogMaxAge = cmp.Or(c.BacklogMaxAge, defaultBacklogMaxAge)
	return c
}

// PoolView is what an entry knows of one pool. Requests read a slice of views as a
// snapshot, without a lock.
type PoolView struct {
	ID         string
	DataCentre string
	// HashKey is the mixed hash of ID, for ranking. It is set when the view is
	// created.
	HashKey uint64
	// ControlAddress is the address of the control process that admits for the pool.
	ControlAddress string
	// Backlog is the gossiped wait, received at BacklogAt.
	Backlog   time.Duration
	BacklogAt time.Duration
	// BacklogKnown reports whether a backlog has been received.
	BacklogKnown bool
	// PendingRequests counts the requests that this entry has sent to the pool since the
	// last report and that the pool has not answered yet.
	PendingRequests int
	// Share is the fraction of new requests that the data centre accepts: 1 in
	// normal operation, less while it returns to service, 0 once it is drained
	// (see package drain).
	Share float64
}

// NewPoolView returns the view of a pool without a backlog report, at full share.
func NewPoolView(pool Pool, control string) PoolView {
	return PoolView{ID: pool.ID, DataCentre: pool.DataCentre, HashKey: mix(hash(pool.ID)), ControlAddress: control, Share: 1}
}

// Request holds the properties of a request that pool selection depends on.
type Request struct {
	// DataCentre is the data centre of the entry.
	DataCentre string
	// AffinityKey is the hash of the prompt's first blocks, or the fingerprint of
	// a request without a prefix. Equal requests have the same affinity
	// candidates, so that a request that crashes targets is repeated to the
	// same few allocators.
	AffinityKey uint64
	// HasPrefix reports whether the affinity stands for a prefix that a target may
	// have cached.
	HasPrefix bool
	// ExcludedPools lists the IDs of the pools that refused this request or were
	// unreachable.
	ExcludedPools []string
}

// RandomDraw holds the random numbers for one selection.
type RandomDraw struct {
	// CandidateSeed selects the random candidates.
	CandidateSeed uint64
	// ShareSample is in [0, 1), and excludes pools whose share is not above it.
	ShareSample float64
}

// Choose returns the index of the pool to ask for admission, or -1 if there is
// none. It excludes pools that are drained, avoided or beyond their share, and
// returns the one with the lowest score of up to four candidates: three in the
// entry's data centre and one elsewhere.
//
// If all remaining pools are in data centres that are returning to service,
// they get all requests regardless of their share: refusing requests would be
// worse than a fast return.
func Choose(now time.Duration, cfg Config, views []PoolView, r Request, d RandomDraw) int {
	cfg = cfg.withDefaults()
	if best := chooseBest(now, &cfg, views, &r, d); best >= 0 {
		return best
	}
	d.ShareSample = 0
	return chooseBest(now, &cfg, views, &r, d)
}

func chooseBest(now time.Duration, cfg *Config, views []PoolView, r *Request, d RandomDraw) int {
	c := candidates(views, r, d)
	best, bestScore := -1, time.Duration(0)
	for n, i := range c {
		if i < 0 {
			continue
		}
		score := score(now, cfg, &views[i], r)
		if r.HasPrefix && n == 0 {
			score -= cfg.AffinityBonus
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// candidates returns the indexes of the two pools that rank first for the
// affinity, of a random one, all in the entry's data centre, and of a random
// one elsewhere; -1 where there is none. The random ones are those that rank
// first for a random number, so that one pass over the views suffices.
func candidates(views []PoolView, r *Request, d RandomDraw) [4]int {
	first, second, randomLocal, randomRemote := topRanked{index: -1}, topRanked{index: -1}, topRanked{index: -1}, topRanked{index: -1}
	for i := range views {
		v := &views[i]
		if !isEligible(v, r, d) {
			continue
		}
		randomRank := mix(d.CandidateSeed ^ v.HashKey)
		if v.DataCentre != r.DataCentre {
			randomRemote.consider(i, randomRank)
			continue
		}
		randomLocal.consider(i, randomRank)
		affinityRank := mix(r.AffinityKey ^ v.HashKey)
		if previousFirst := first; first.consider(i, affinityRank) {
			second = previousFirst
		} else {
			second.consider(i, affinityRank)
		}
	}
	return [4]int{first.index, second.index, randomLocal.index, randomRemote.index}
}

// topRanked is the view with the highest rank so far; index is -1 if there is
// none.
type topRanked struct {
	index int
	rank  uint64
}

func (t *topRanked) consider(i int, rank uint64) bool {
	if t.index >= 0 && rank <= t.rank {
		return false
	}
	t.index, t.rank = i, rank
	return true
}

func isEligible(v *PoolView, r *Request, d RandomDraw) bool {
	excluded := len(r.ExcludedPools) > 0 && slices.Contains(r.ExcludedPools, v.ID)
	return d.ShareSample < v.Share && !excluded
}

func score(now time.Duration, cfg *Config, v *PoolView, r *Request) time.Duration {
	total := cfg.UnknownBacklog
	if v.BacklogKnown && now-v.BacklogAt < cfg.BacklogMaxAge {
		total = v.Backlog
	}
	total += time.Duration(v.PendingRequests) * cfg.PendingRequestCost
	if v.DataCentre != r.DataCentre {
		total += cfg.RemotePenalty
	}
	return total
}

// SessionPools returns the pools of a data centre that an entry keeps sessions with:
// the n that rank first for the entry. At the target scale a service has some
// eighty pools in a data centre; with a session to each of them, pings alone
// would use up the entry's network budget. Different entries get different
// subsets, and adding or removing a pool changes few sessions.
func SessionPools(entry string, pools []Pool, n int) []Pool {
	out := slices.Clone(pools)
	entryHash := hash(entry)
	slices.SortFunc(out, func(a, b Pool) int {
		if rank(entryHash, hash(a.ID)) > rank(entryHash, hash(b.ID)) {
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}
