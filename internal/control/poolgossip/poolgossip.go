// Package poolgossip carries what allocators tell the fleet through gossip: the
// backlog of each pool, and the evidence of crashes.
package poolgossip

import (
	"context"
	"sync"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/poison"
	decide "filbertdeck/internal/decide/pools"
)

const (
	// messageItems bounds the items of each kind in one message of gossip, so
	// that its size does not grow with the fleet: 8 items are some 400 bytes.
	messageItems = 8
	// poolRounds is how often an item is handed on. Each process talks to six
	// neighbours; four rounds reach 3,300 nodes several times over.
	poolRounds = 4
	// crashRounds is how often a crash is handed on: to the six neighbours at
	// once, and in two answers to probes of others.
	crashRounds = 8
	// collectEvery is how often the allocators are asked for crashes: short
	// against the second after which a client sends a request again that got no
	// answer, which then meets the next target.
	collectEvery = 200 * time.Millisecond
	// stepBacklog is the change of a backlog that is worth telling: half the
	// bonus that an entry gives its own data centre.
	stepBacklog = 25 * time.Millisecond
	// tellAgain repeats a backlog that did not change, so that a pool without
	// news is one whose allocator is gone.
	tellAgain = 5 * time.Second
)

// Board keeps the news of this process and of others. It is safe for
// concurrent use.
type Board struct {
	self  string
	pools *poolmanager.Manager
	start time.Time

	mu      sync.Mutex
	heard   *decide.BacklogTable
	told    map[string]told
	version uint64
	crashes map[uint64]crash
	// siblings are crashes of a pool here that the other pools don't know yet.
	siblings []poison.Crash
	urgent   chan struct{}
}

type told struct {
	backlog time.Duration
	at      time.Duration
}

type crash struct {
	news   *filbertv1.PoisonNews
	at     time.Duration
	passed int
}

// New returns a board without news.
func New(self string, m *poolmanager.Manager) *Board {
	return &Board{
		self: self, pools: m, start: time.Now(), heard: decide.NewBacklogTable(),
		told: map[string]told{}, crashes: map[uint64]crash{},
		version: uint64(time.Now().UnixMilli()), urgent: make(chan struct{}, 1),
	}
}

func (b *Board) now() time.Duration { return time.Since(b.start) }

// Backlog is the wait in a pool, own or heard of.
func (b *Board) Backlog(name string) (time.Duration, bool) {
	if r, _, ok := b.pools.Runner(name); ok {
		return r.Backlog(), true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard.Backlog(b.now(), name)
}

// SupplyPools gives the backlogs for the next message of gossip.
func (b *Board) SupplyPools() []*filbertv1.PoolNews {
	own := b.own()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, backlog := range own {
		b.tell(name, backlog)
	}
	var out []*filbertv1.PoolNews
	for _, item := range b.heard.NextBroadcast(b.now(), messageItems, poolRounds) {
		out = append(out, &filbertv1.PoolNews{
			Pool: item.Pool, Control: item.ControlAddress, BacklogMs: uint32(item.Backlog.Milliseconds()), Version: item.Version,
		})
	}
	return out
}

// own gives the backlogs of the pools that this process owns.
func (b *Board) own() map[string]time.Duration {
	own := map[string]time.Duration{}
	b.pools.Each(func(p poolmanager.Plan, r *poolrunner.Runner) {
		if b.pools.Owns(p) {
			own[p.ID] = r.Backlog()
		}
	})
	return own
}

// tell makes an item of a backlog that changed, or was not told for long.
func (b *Board) tell(name string, backlog time.Duration) {
	now := b.now()
	last, ok := b.told[name]
	if ok && (backlog-last.backlog).Abs() < stepBacklog && now-last.at < tellAgain {
		return
	}
	b.told[name] = told{backlog: backlog, at: now}
	b.version++
	b.heard.Update(now, decide.BacklogReport{Pool: name, ControlAddress: b.self, Backlog: backlog, Version: b.version})
}

// TakePools takes the backlogs that a peer supplied.
func (b *Board) TakePools(list []*filbertv1.PoolNews) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range list {
		b.heard.Update(b.now(), decide.BacklogReport{
			Pool: n.Pool, ControlAddress: n.Control, Backlog: time.Duration(n.BacklogMs) * time.Millisecond, Version: n.Version,
		})
	}
}

// SupplyPoison gives the crashes for the next message of gossip: those of the
// pools that run here, and those that were heard of.
func (b *Board) SupplyPoison() []*filbertv1.PoisonNews {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*filbertv1.PoisonNews
	for id, c := range b.crashes {
		age := b.now() - c.at
		if age > crashLife {
			delete(b.crashes, id)
			continue
		}
		if c.passed >= crashRounds || len(out) == messageItems {
			continue
		}
		c.passed++
		b.crashes[id] = c
		out = append(out, &filbertv1.PoisonNews{
			Id: id, AgeMs: uint32(age.Milliseconds()), Fingerprints: c.news.Fingerprints,
		})
	}
	return out
}

// crashLife is how long a crash is handed on; the detectors keep it longer.
const crashLife = time.Minute

// Urgent is received from once there are crashes that peers should hear of at
// once. Were they left to the next probes, a caller that sends its request again
// each second would be a hop ahead of the news, and each pool that it reaches
// would lose a target.
func (b *Board) Urgent() <-chan struct{} { return b.urgent }

func (b *Board) hurry() {
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

// Run collects the crashes of the pools that run here until ctx ends.
func (b *Board) Run(ctx context.Context) {
	ticker := time.NewTicker(collectEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.tellSiblings()
			b.collect()
		}
	}
}

// collect asks each allocator for its evidence. The answers come on the
// allocators' goroutines.
func (b *Board) collect() {
	b.pools.Each(func(_ poolmanager.Plan, r *poolrunner.Runner) {
		r.Do(func(a *admission.Allocator, now time.Duration) {
			b.keep(a.PoisonEvidence(now, messageItems))
		})
	})
}

func (b *Board) keep(list []poison.Crash) {
	if len(list) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range list {
		if _, known := b.crashes[c.ID]; known || c.Age >= crashLife {
			continue
		}
		b.crashes[c.ID] = crash{
			at: b.now() - c.Age, news: &filbertv1.PoisonNews{Id: c.ID, Fingerprints: c.Fingerprints},
		}
		b.siblings = append(b.siblings, c)
		b.hurry()
	}
}

// tellSiblings hands the crashes of one pool to the other pools of this process.
// Peers don't do it: what they echo is known here. It is not done where a crash
// is collected, on the goroutine of an allocator: two that hand to each other
// while their queues are full would wait for ever.
func (b *Board) tellSiblings() {
	b.mu.Lock()
	crashes := b.siblings
	b.siblings = nil
	b.mu.Unlock()
	b.merge(crashes)
}

func (b *Board) merge(crashes []poison.Crash) {
	if len(crashes) == 0 {
		return
	}
	b.pools.Each(func(_ poolmanager.Plan, r *poolrunner.Runner) {
		r.Do(func(a *admission.Allocator, now time.Duration) { a.MergePoisonEvidence(now, crashes) })
	})
}

// TakePoison takes the crashes that a peer supplied and hands them to every
// allocator of this process.
func (b *Board) TakePoison(list []*filbertv1.PoisonNews) {
	fresh := make([]poison.Crash, 0, len(list))
	b.mu.Lock()
	for _, n := range list {
		if known, ok := b.crashes[n.Id]; ok && len(known.news.Fingerprints) >= len(n.Fingerprints) {
			continue
		}
		age := time.Duration(n.AgeMs) * time.Millisecond
		b.crashes[n.Id] = crash{at: b.now() - age, news: n}
		fresh = append(fresh, poison.Crash{ID: n.Id, Age: age, Fingerprints: n.Fingerprints})
	}
	b.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	b.hurry()
	b.merge(fresh)
}
