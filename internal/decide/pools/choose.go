package pools

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the figures of a choice; the zero value of a field means its
// default.
type Config struct {
	// FarPenalty is what a pool in another data centre costs. Default 50 ms:
	// its round trips cost 3 ms, but its data centre has its own callers, and a
	// backlog that lasts shorter than the news is old says little.
	FarPenalty time.Duration
	// AffinityWorth is what a cached prefix saves. Default 100 ms, the prompt
	// of a few hundred tokens at some thousand a second.
	AffinityWorth time.Duration
	// PerSent is what each request that this entry sent since the news adds to
	// a backlog. Default 5 ms.
	PerSent time.Duration
	// Unknown stands for the backlog of a pool without news. Default 200 ms:
	// such a pool is tried, but after those known to be free.
	Unknown time.Duration
	// BacklogMaxAge is how long a gossiped backlog counts. Default 5 s.
	BacklogMaxAge time.Duration
}

const (
	defaultFarPenalty    = 50 * time.Millisecond
	defaultAffinityWorth = 100 * time.Millisecond
	defaultPerSent       = 5 * time.Millisecond
	defaultUnknown       = 200 * time.Millisecond
	defaultNewsFor       = 5 * time.Second
)

func (c Config) withDefaults() Config {
	c.FarPenalty = cmp.Or(c.FarPenalty, defaultFarPenalty)
	c.AffinityWorth = cmp.Or(c.AffinityWorth, defaultAffinityWorth)
	c.PerSent = cmp.Or(c.PerSent, defaultPerSent)
	c.Unknown = cmp.Or(c.Unknown, defaultUnknown)
	c.BacklogMaxAge = cmp.Or(c.BacklogMaxAge, defaultNewsFor)
	return c
}

// PoolView is what an entry knows of one pool. A slice of views is a snapshot that
// requests read without a lock.
type PoolView struct {
	ID         string
	DataCentre string
	// Key stands for ID in ranks: see NewView.
	Key uint64
	// ControlAddress is the address of the process to ask.
	ControlAddress string
	// Backlog is the gossiped wait, heard at NewsAt; Heard is false without
	// news.
	Backlog      time.Duration
	NewsAt       time.Duration
	BacklogKnown bool
	// PendingRequests counts this entry's asks since the news that are not decided yet.
	PendingRequests int
	// Share of new work that the data centre takes: 1, less while it returns,
	// 0 once it is taken out (see package drain).
	Share float64
}

// NewPoolView returns a view of a pool without news, in full service.
func NewPoolView(pool Pool, control string) PoolView {
	return PoolView{ID: pool.ID, DataCentre: pool.DataCentre, Key: mix(hash(pool.ID)), ControlAddress: control, Share: 1}
}

// Request is what a choice depends on.
type Request struct {
	// DataCentre is the entry's own.
	DataCentre string
	// AffinityKey is the hash of the prompt's first blocks, or the fingerprint of
	// a request without prefix. Equal requests have the same candidates, so a
	// request that crashes targets meets the same few allocators.
	AffinityKey uint64
	// HasPrefix says that Affinity stands for a prefix worth finding again.
	HasPrefix bool
	// ExcludedPools lists pools that this request was refused by or could not reach.
	ExcludedPools []string
}

// RandomDraw holds the random numbers of one choice.
type RandomDraw struct {
	CandidateSeed uint64
	// ShareSample is in [0, 1).
	ShareSample float64
}

// Choose gives the index of the pool to ask, -1 when there is none. Pools are
// filtered (taken out, avoided, beyond their share), three candidates in the
// entry's data centre and one elsewhere are scored, the least score is picked.
//
// When only returning data centres are left, they take all the work: refusing
// it would be worse than a quick return.
func Choose(now time.Duration, cfg Config, views []PoolView, r Request, d RandomDraw) int {
	cfg = cfg.withDefaults()
	if best := choose(now, &cfg, views, &r, d); best >= 0 {
		return best
	}
	d.ShareSample = 0
	return choose(now, &cfg, views, &r, d)
}

func choose(now time.Duration, cfg *Config, views []PoolView, r *Request, d RandomDraw) int {
	c := candidates(views, r, d)
	best, least := -1, time.Duration(0)
	for n, i := range c {
		if i < 0 {
			continue
		}
		score := score(now, cfg, &views[i], r)
		if r.HasPrefix && n == 0 {
			score -= cfg.AffinityWorth
		}
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// candidates gives the first and the second by affinity and one at random, all
// in the entry's data centre, and one at random elsewhere; -1 for none. Random
// ones are those that rank first for a random number, which takes one pass.
func candidates(views []PoolView, r *Request, d RandomDraw) [4]int {
	first, second, other, far := champion{at: -1}, champion{at: -1}, champion{at: -1}, champion{at: -1}
	for i := range views {
		v := &views[i]
		if !usable(v, r, d) {
			continue
		}
		random := mix(d.CandidateSeed ^ v.Key)
		if v.DataCentre != r.DataCentre {
			far.offer(i, random)
			continue
		}
		other.offer(i, random)
		byAffinity := mix(r.AffinityKey ^ v.Key)
		if beaten := first; first.offer(i, byAffinity) {
			second = beaten
		} else {
			second.offer(i, byAffinity)
		}
	}
	return [4]int{first.at, second.at, other.at, far.at}
}

// champion is the view with the highest rank so far.
type champion struct {
	at   int
	rank uint64
}

func (c *champion) offer(i int, rank uint64) bool {
	if c.at >= 0 && rank <= c.rank {
		return false
	}
	c.at, c.rank = i, rank
	return true
}

func usable(v *PoolView, r *Request, d RandomDraw) bool {
	avoided := len(r.ExcludedPools) > 0 && slices.Contains(r.ExcludedPools, v.ID)
	return d.ShareSample < v.Share && !avoided
}

func score(now time.Duration, cfg *Config, v *PoolView, r *Request) time.Duration {
	s := cfg.Unknown
	if v.BacklogKnown && now-v.NewsAt < cfg.BacklogMaxAge {
		s = v.Backlog
	}
	s += time.Duration(v.PendingRequests) * cfg.PerSent
	if v.DataCentre != r.DataCentre {
		s += cfg.FarPenalty
	}
	return s
}

// SessionPools gives the pools of a data centre that an entry keeps sessions with:
// the n that rank first for the entry. At the target size a service has some
// eighty pools in a data centre; with a session to each, pings alone would
// use up an entry's budget of bytes. Different entries get different subsets,
// and a change of pools moves few sessions.
func SessionPools(entry string, pools []Pool, n int) []Pool {
	out := slices.Clone(pools)
	key := hash(entry)
	slices.SortFunc(out, func(a, b Pool) int {
		if rank(key, hash(a.ID)) > rank(key, hash(b.ID)) {
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}
