// Package poolgossip exchanges the reports of allocators with other control processes
// through gossip: the backlog of each pool and evidence of crashes.
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
	// maxMessageItems bounds the items of each kind in one gossip message, so
	// that its size does not grow with the fleet: 8 items take about 400 bytes.
	maxMessageItems = 8
	// backlogRetransmits is how often a backlog is passed on. Each process has
	// six neighbours; four rounds reach 3,300 nodes several times over.
	backlogRetransmits = 4
	// crashRetransmits is how often a crash is passed on: immediately to the six
	// neighbours, and in two answers to probes from others.
	crashRetransmits = 8
	// collectInterval is the interval at which allocators are asked for crashes.
	// It is short compared with the second after which a client retries a
	// request that got no answer, which then reaches the next target.
	collectInterval = 200 * time.Millisecond
	// minBacklogChange is the smallest change of a backlog that is announced:
	// half the bonus that an entry gives its own data centre.
	minBacklogChange = 25 * time.Millisecond
	// backlogRepeatInterval is the interval at which an unchanged backlog is
	// announced again, so that a pool without announcements is one whose
	// allocator is gone.
	backlogRepeatInterval = 5 * time.Second
)

// Store holds the backlogs and crashes of this process and those received from
// peers. It is safe for concurrent use.
type Store struct {
	self  string
	pools *poolmanager.Manager
	start time.Time

	mu        sync.Mutex
	backlogs  *decide.BacklogTable
	announced map[string]announcement
	version   uint64
	crashes   map[uint64]crash
	// unsharedCrashes are the crashes of one local pool that the other local
	// pools do not know yet.
	unsharedCrashes []poison.Crash
	urgent          chan struct{}
}

type announcement struct {
	backlog time.Duration
	at      time.Duration
}

type crash struct {
	message    *filbertv1.PoisonNews
	happenedAt time.Duration
	sends      int
}

// New returns an empty store.
func New(self string, m *poolmanager.Manager) *Store {
	return &Store{
		self: self, pools: m, start: time.Now(), backlogs: decide.NewBacklogTable(),
		announced: map[string]announcement{}, crashes: map[uint64]crash{},
		version: uint64(time.Now().UnixMilli()), urgent: make(chan struct{}, 1),
	}
}

func (s *Store) now() time.Duration { return time.Since(s.start) }

// Backlog returns the wait in a pool, of this process or announced by a peer.
func (s *Store) Backlog(name string) (time.Duration, bool) {
	if r, _, ok := s.pools.Runner(name); ok {
		return r.Backlog(), true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlogs.Backlog(s.now(), name)
}

// SupplyPools returns the backlogs for the next gossip message.
func (s *Store) SupplyPools() []*filbertv1.PoolNews {
	backlogs := s.ownBacklogs()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, backlog := range backlogs {
		s.announceBacklog(name, backlog)
	}
	var out []*filbertv1.PoolNews
	for _, item := range s.backlogs.NextBroadcast(s.now(), maxMessageItems, backlogRetransmits) {
		out = append(out, &filbertv1.PoolNews{
			Pool: item.Pool, Control: item.ControlAddress, BacklogMs: uint32(item.Backlog.Milliseconds()), Version: item.Version,
		})
	}
	return out
}

// ownBacklogs returns the backlogs of the pools that this process owns.
func (s *Store) ownBacklogs() map[string]time.Duration {
	backlogs := map[string]time.Duration{}
	s.pools.ForEach(func(p poolmanager.Plan, r *poolrunner.Runner) {
		if s.pools.IsOwner(p) {
			backlogs[p.ID] = r.Backlog()
		}
	})
	return backlogs
}

// announceBacklog announces a backlog that changed or is due to be repeated.
func (s *Store) announceBacklog(name string, backlog time.Duration) {
	now := s.now()
	last, ok := s.announced[name]
	if ok && (backlog-last.backlog).Abs() < minBacklogChange && now-last.at < backlogRepeatInterval {
		return
	}
	s.announced[name] = announcement{backlog: backlog, at: now}
	s.version++
	s.backlogs.Update(now, decide.BacklogReport{Pool: name, ControlAddress: s.self, Backlog: backlog, Version: s.version})
}

// ReceivePools stores the backlogs that a peer sent.
func (s *Store) ReceivePools(list []*filbertv1.PoolNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range list {
		s.backlogs.Update(s.now(), decide.BacklogReport{
			Pool: n.Pool, ControlAddress: n.Control, Backlog: time.Duration(n.BacklogMs) * time.Millisecond, Version: n.Version,
		})
	}
}

// SupplyPoison returns the crashes for the next gossip message: those of local
// pools, and those received from peers.
func (s *Store) SupplyPoison() []*filbertv1.PoisonNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*filbertv1.PoisonNews
	for id, c := range s.crashes {
		age := s.now() - c.happenedAt
		if age > crashTTL {
			delete(s.crashes, id)
			continue
		}
		if c.sends >= crashRetransmits || len(out) == maxMessageItems {
			continue
		}
		c.sends++
		s.crashes[id] = c
		out = append(out, &filbertv1.PoisonNews{
			Id: id, AgeMs: uint32(age.Milliseconds()), Fingerprints: c.message.Fingerprints,
		})
	}
	return out
}

// crashTTL is how long a crash is passed on; the detectors keep it longer.
const crashTTL = time.Minute

// Urgent returns a channel that signals crashes to be sent to peers without
// delay. If they waited for the next probes, a caller that retries its request
// every second would stay a hop ahead of them, and each pool that it reaches
// would lose a target.
func (s *Store) Urgent() <-chan struct{} { return s.urgent }

func (s *Store) signalUrgent() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// Run collects the crashes of local pools until ctx ends.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.shareLocalCrashes()
			s.collect()
		}
	}
}

// collect asks each allocator for evidence of crashes. The answers arrive on
// the allocators' goroutines.
func (s *Store) collect() {
	s.pools.ForEach(func(_ poolmanager.Plan, r *poolrunner.Runner) {
		r.Do(func(a *admission.Allocator, now time.Duration) {
			s.recordCrashes(a.PoisonEvidence(now, maxMessageItems))
		})
	})
}

func (s *Store) recordCrashes(list []poison.Crash) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		if _, known := s.crashes[c.ID]; known || c.Age >= crashTTL {
			continue
		}
		s.crashes[c.ID] = crash{
			happenedAt: s.now() - c.Age, message: &filbertv1.PoisonNews{Id: c.ID, Fingerprints: fingerprints(c.Suspects)},
		}
		s.unsharedCrashes = append(s.unsharedCrashes, c)
		s.signalUrgent()
	}
}

// fingerprints returns the fingerprints of requests.
func fingerprints(requests []poison.Request) []uint64 {
	out := make([]uint64, len(requests))
	for i, r := range requests {
		out[i] = r.Fingerprint
	}
	return out
}

// shareLocalCrashes passes the crashes of one local pool to the other local
// pools. Peers don't do that: a crash that they send back is known here. It is
// not called on the goroutine of the allocator that reports a crash: two
// allocators that send to each other while their queues are full would deadlock.
func (s *Store) shareLocalCrashes() {
	s.mu.Lock()
	crashes := s.unsharedCrashes
	s.unsharedCrashes = nil
	s.mu.Unlock()
	s.mergeIntoAllocators(crashes)
}

func (s *Store) mergeIntoAllocators(crashes []poison.Crash) {
	if len(crashes) == 0 {
		return
	}
	s.pools.ForEach(func(_ poolmanager.Plan, r *poolrunner.Runner) {
		r.Do(func(a *admission.Allocator, now time.Duration) { a.MergePoisonEvidence(now, crashes) })
	})
}

// ReceivePoison stores the crashes that a peer sent and passes new ones to every
// local allocator.
func (s *Store) ReceivePoison(list []*filbertv1.PoisonNews) {
	newCrashes := make([]poison.Crash, 0, len(list))
	s.mu.Lock()
	for _, n := range list {
		if known, ok := s.crashes[n.Id]; ok && len(known.message.Fingerprints) >= len(n.Fingerprints) {
			continue
		}
		age := time.Duration(n.AgeMs) * time.Millisecond
		s.crashes[n.Id] = crash{happenedAt: s.now() - age, message: n}
		newCrashes = append(newCrashes, poison.Crash{ID: n.Id, Age: age, Suspects: poison.Requests(n.Fingerprints)})
	}
	s.mu.Unlock()
	if len(newCrashes) == 0 {
		return
	}
	s.signalUrgent()
	s.mergeIntoAllocators(newCrashes)
}
