package admission

import "time"

// Config holds the allocator's figures; the zero value of a field means its
// default.
type Config struct {
	// Owner tells whether this allocator is the pool's published owner. Only
	// the published owner admits to cold targets.
	Owner bool
	// LeaseFor is the life of a lease without renewal.
	LeaseFor time.Duration
	// QueueLimit bounds the asks that wait.
	QueueLimit int
	// Seed seeds the choices that are random.
	Seed uint64
}

const (
	defaultLease  = 3 * time.Second
	thinSlots     = 8
	thinRetry     = time.Second
	thinQueueSize = 256
)

type queued struct {
	ask   Ask
	until time.Duration
}

type lease struct {
	holder  Holder
	target  string
	expires time.Duration
}

// Allocator admits requests to the targets of one pool.
type Allocator struct {
	cfg     Config
	targets map[string]Target
	order   []string
	running map[string]int
	leases  map[LeaseID]*lease
	queue   []queued
	next    LeaseID
	out     []Decision
}

// New returns an allocator without targets.
func New(cfg Config) *Allocator {
	if cfg.LeaseFor == 0 {
		cfg.LeaseFor = defaultLease
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = thinQueueSize
	}
	return &Allocator{
		cfg: cfg, targets: map[string]Target{}, running: map[string]int{},
		leases: map[LeaseID]*lease{}, next: LeaseID(cfg.Seed),
	}
}

// SetOwner says whether this allocator is the pool's published owner.
func (a *Allocator) SetOwner(_ time.Duration, owner bool) { a.cfg.Owner = owner }

// SetTargets replaces the pool's targets.
func (a *Allocator) SetTargets(_ time.Duration, targets []Target) {
	a.targets = map[string]Target{}
	a.order = a.order[:0]
	for _, t := range targets {
		a.targets[t.Address] = t
		a.order = append(a.order, t.Address)
	}
}

// SetShares replaces the accounts' shares.
func (a *Allocator) SetShares(_ time.Duration, _ []Share) {}

// Report takes a target's statement of its load.
func (a *Allocator) Report(_ time.Duration, _ Report) {}

// Ask queues a request for admission; its decision comes from Decide.
func (a *Allocator) Ask(now time.Duration, ask Ask) {
	if len(a.queue) >= a.cfg.QueueLimit {
		a.refuse(ask, RefusedOverloaded)
		return
	}
	a.queue = append(a.queue, queued{ask: ask, until: now + ask.MaxWait})
}

// Withdraw takes a waiting request back.
func (a *Allocator) Withdraw(_ time.Duration, holder Holder, request uint64) {
	for i, q := range a.queue {
		if q.ask.Holder == holder && q.ask.Request == request {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// Renew extends leases of holder, and books those that are not known here.
func (a *Allocator) Renew(now time.Duration, holder Holder, renewals []Renewal) {
	for _, r := range renewals {
		l, ok := a.leases[r.Lease]
		if !ok {
			l = &lease{holder: holder, target: r.Target}
			a.leases[r.Lease] = l
			a.running[r.Target]++
		}
		l.expires = now + a.cfg.LeaseFor
	}
}

// Settle ends a lease.
func (a *Allocator) Settle(_ time.Duration, s Settlement) { a.drop(s.Lease) }

// DropHolder ends the leases of an entry process that is known to be gone.
func (a *Allocator) DropHolder(_ time.Duration, holder Holder) {
	for id, l := range a.leases {
		if l.holder == holder {
			a.drop(id)
		}
	}
}

// Backlog estimates the wait of a request that would ask now.
func (a *Allocator) Backlog() time.Duration {
	return time.Duration(len(a.queue)) * 10 * time.Millisecond
}

// Decide moves time on and returns the decisions that are due. The slice is
// valid until the next call.
func (a *Allocator) Decide(now time.Duration) []Decision {
	for id, l := range a.leases {
		if l.expires <= now {
			a.drop(id)
		}
	}
	kept := a.queue[:0]
	for _, q := range a.queue {
		switch target := a.pick(); {
		case target != "":
			a.grant(now, q.ask, target)
		case q.until <= now:
			a.refuse(q.ask, RefusedOverloaded)
		default:
			kept = append(kept, q)
		}
	}
	a.queue = kept
	out := a.out
	a.out = nil
	return out
}

func (a *Allocator) pick() string {
	best := ""
	for _, t := range a.order {
		if a.targets[t].Leaving || a.running[t] >= thinSlots {
			continue
		}
		if best == "" || a.running[t] < a.running[best] {
			best = t
		}
	}
	return best
}

func (a *Allocator) grant(now time.Duration, ask Ask, target string) {
	a.next++
	a.leases[a.next] = &lease{holder: ask.Holder, target: target, expires: now + a.cfg.LeaseFor}
	a.running[target]++
	a.out = append(a.out, Decision{
		Holder: ask.Holder, Request: ask.Request, Lease: a.next, Target: target, LeaseFor: a.cfg.LeaseFor,
	})
}

func (a *Allocator) refuse(ask Ask, reason RefusalReason) {
	a.out = append(a.out, Decision{
		Holder: ask.Holder, Request: ask.Request, Reason: reason, RetryAfter: thinRetry,
	})
}

func (a *Allocator) drop(id LeaseID) {
	if l, ok := a.leases[id]; ok {
		a.running[l.target]--
		delete(a.leases, id)
	}
}
