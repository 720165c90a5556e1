package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/decide/fairqueue"
	"filbertdeck/internal/decide/health"
	"filbertdeck/internal/decide/memoryforecast"
	"filbertdeck/internal/decide/slowstart"
)

// Config holds the allocator's figures; the zero value of a field means its
// default.
type Config struct {
	// Owner tells whether this allocator is the pool's published owner. Only
	// the published owner admits to cold targets.
	Owner bool
	// LeaseDuration is the life of a lease without renewal. Default 3 s.
	LeaseDuration time.Duration
	// QueueLimit bounds the asks that wait. Default 1024.
	QueueLimit int
	// Seed seeds the choices that are random and the first lease's id. Draw it
	// anew at each start of the process: an id that comes again would renew a
	// lease of the process before.
	Seed uint64
	// Memory is the memory rule; the zero value is the default rule.
	Memory memoryforecast.AdmissionRule
	// SlowStart holds the figures for targets that have just started.
	SlowStart slowstart.Config
}

const (
	defaultLease      = 3 * time.Second
	defaultQueueLimit = 1024

	// PromptCharge and OutputCharge are the service charged for a token. An
	// output token costs a place in a batch step and a prompt token a part of
	// one; the scheme's authors charge 1 and 2 as well.
	PromptCharge = 1.0
	OutputCharge = 2.0
	// callCharge is charged for a call of a plain service, which has no tokens.
	callCharge = 1.0

	// refreshEvery bounds the age of predictions: at 25 tokens a second each
	// of 50 generations grows by 2.5 tokens between refreshes, a thousandth of
	// an engine's memory in all.
	refreshEvery = 100 * time.Millisecond
	// deferLimit bounds the asks put behind in one round because they can't use
	// the targets that have room (Ask.Avoid, suspects): two batches' worth of
	// innocents that shared a target with a poison request.
	deferLimit = 64
	// hopelessChecks bounds the accounts whose newest ask is looked at again at
	// each refresh; all 11,000 are seen within five seconds.
	hopelessChecks = 256
)

// Allocator admits requests to the targets of one pool.
type Allocator struct {
	cfg     Config
	random  *rand.Rand
	outputs outputs
	queue   *fairqueue.Queue[Ask]
	drain   fairqueue.Drain
	shares  map[string]Share
	parts   partTable

	targets map[string]*target
	order   []*target
	// usable is the number of targets that aren't leaving.
	usable  int
	waiting map[askKey]*fairqueue.Request[Ask]
	leases  leaseTable

	health   *health.Pool
	pace     pace
	suspects suspects
	owner    ownership
	stopping bool

	skipped []*fairqueue.Account[Ask]
	// held are the waiting suspects, in the order in which they became so.
	held     []*fairqueue.Request[Ask]
	heldGrew bool
	// turn counts calls of admit.
	turn      uint64
	refreshed time.Duration
	round     int
	// out gathers decisions; spare is the slice that the last Decide returned.
	out, spare []Decision
}

// askKey names a waiting ask.
type askKey struct {
	holder  Holder
	request uint64
}

// New returns an allocator without targets.
func New(cfg Config) *Allocator {
	if cfg.LeaseDuration == 0 {
		cfg.LeaseDuration = defaultLease
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.Memory == (memoryforecast.AdmissionRule{}) {
		cfg.Memory = memoryforecast.DefaultRule()
	}
	cfg.SlowStart.LeaseDuration = cfg.LeaseDuration
	return &Allocator{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, firstID(cfg.Seed))),
		outputs:  newOutputs(),
		queue:    fairqueue.New[Ask](cfg.QueueLimit, fairqueue.DefaultLookAhead),
		shares:   map[string]Share{},
		parts:    partTable{byAccount: map[string]*part{}},
		targets:  map[string]*target{},
		waiting:  map[askKey]*fairqueue.Request[Ask]{},
		leases:   newLeaseTable(LeaseID(firstID(cfg.Seed))),
		health:   health.New(health.Config{}),
		suspects: newSuspects(),
		owner:    ownership{owner: cfg.Owner, known: cfg.Owner},
	}
}

// firstID spreads seeds over all ids, so that the ids drawn after neighbouring
// seeds don't run into each other.
func firstID(seed uint64) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(seed >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// SetShares replaces the accounts' shares.
func (a *Allocator) SetShares(now time.Duration, shares []Share) {
	clear(a.shares)
	for _, s := range shares {
		a.SetShare(now, s)
	}
}

// SetShare replaces one account's share, as an edit of one row does.
func (a *Allocator) SetShare(_ time.Duration, s Share) {
	a.shares[s.Account] = s
	if a.queue.Known(s.Account) != nil {
		a.account(s.Account)
	}
}

// RemoveShare takes an account's share away; it counts with weight 1 then.
func (a *Allocator) RemoveShare(_ time.Duration, account string) {
	delete(a.shares, account)
	if a.queue.Known(account) != nil {
		a.account(account)
	}
}

func (a *Allocator) account(name string) *fairqueue.Account[Ask] {
	s := a.shares[name]
	return a.queue.Account(name, s.Weight, a.limit(name, s))
}

// Stop refuses everything that waits and everything asked from now on. What
// runs goes on, and its leases are renewed and settled as before.
func (a *Allocator) Stop(_ time.Duration) { a.stopping = true }

// Decide moves time on and returns the decisions that are due. The slice is
// valid until the next call.
func (a *Allocator) Decide(now time.Duration) []Decision {
	a.expireLeases(now)
	a.lapseParts(now)
	a.refresh(now)
	a.refuseOverdue(now - 1)
	a.admit(now)
	if a.heldGrew {
		a.refuseHeld(now)
	}
	a.refuseOverdue(now)
	out := a.out
	a.out, a.spare = a.spare[:0], out
	return out
}

// refresh brings everything up to date that follows from the passage of time.
func (a *Allocator) refresh(now time.Duration) {
	if now-a.refreshed < refreshEvery && a.refreshed > 0 {
		return
	}
	a.refreshed = now
	a.outputs.refresh()
	for _, t := range a.order {
		t.refresh(now, &a.outputs)
	}
	// Requests that only their account's limit or their own constraints hold
	// back say nothing of how fast the pool serves: it may be idle, and others
	// would be turned away.
	a.drain.Tick(now, a.queue.Blocked())
	a.refuseHopeless(now)
	a.refuseHeld(now)
}

// admit grants in the queue's order for as long as the head finds a target. A
// head without room keeps its place and those behind it wait: passing over a
// large prompt for small ones would starve it. Only a head whose own
// constraints rule out the targets with room goes behind its account's others.
func (a *Allocator) admit(now time.Duration) {
	a.turn++
	fate := headAnswered
	for deferred := 0; fate != headBlocked && deferred < deferLimit; {
		r := a.queue.Head()
		if r == nil {
			break
		}
		if fate = a.serve(now, r); fate == headDeferred {
			deferred++
		}
	}
	a.queue.SetBlocked(fate == headBlocked)
	for _, s := range a.skipped {
		a.queue.Unskip(s)
	}
	a.skipped = a.skipped[:0]
}

// headFate says what became of the request at the head.
type headFate int

const (
	headAnswered headFate = iota
	headDeferred
	headBlocked
)

// serve grants, refuses or defers the head.
func (a *Allocator) serve(now time.Duration, r *fairqueue.Request[Ask]) headFate {
	ask := &r.Value
	ruling := a.suspects.rule(now, ask.Fingerprint)
	if ruling.guilty {
		a.refuseWaiting(r, RefusedPoison, ruling.wait)
		return headAnswered
	}
	t := a.choose(now, ask, ruling)
	if t != nil {
		a.grantWaiting(now, r, t, ruling)
		return headAnswered
	}
	if len(ask.Avoid) == 0 && !ruling.constrained() {
		return headBlocked
	}
	if ruling.constrained() {
		a.hold(r)
	}
	if ruling.alone {
		a.suspects.reserve(a.order, r)
	}
	// Back at a request that was deferred in this turn, nothing of its account
	// can run. Going round it again would use up the turn, and everybody
	// else's requests would wait beside idle targets.
	if r.Turn == a.turn {
		a.skipped = append(a.skipped, r.Account)
		a.queue.Skip(r.Account)
		return headDeferred
	}
	r.Turn = a.turn
	a.queue.Defer(r)
	return headDeferred
}

func (a *Allocator) grantWaiting(now time.Duration, r *fairqueue.Request[Ask], t *target, ruling ruling) {
	ask := r.Value
	delete(a.waiting, askKey{ask.Holder, ask.Request})
	a.suspects.release(r)
	a.unhold(r)
	cost := admissionCharge(ask.PromptTokens, t)
	a.queue.Start(r, cost)
	a.drain.Charge(cost)
	l := a.leases.draw()
	l.service = ask.Service
	l.fingerprint, l.alone, l.suspect = ask.Fingerprint, ruling.alone, ruling.constrained()
	a.book(now, l, ask.Holder, r.Account, t, memoryforecast.Generation{Prompt: ask.PromptTokens, Max: ask.MaxTokens})
	l.charged = cost
	t.cache.expect(ask.Prefix)
	if a.health.Status(now, t.address) == health.Trial {
		a.health.BeginTrial(now, t.address)
	}
	a.queue.Release(r)
	a.grant(l, ask.Request, 0)
}

func (a *Allocator) grant(l *lease, request uint64, attained int) {
	a.out = append(a.out, Decision{
		Holder: l.holder, Request: request, Lease: l.id, Target: l.target.address,
		Priority: priority(a.shares[l.account.Name].Priority, attained), LeaseDuration: a.cfg.LeaseDuration,
	})
}

// admissionCharge is what a request is charged before it produced anything.
func admissionCharge(prompt int, t *target) float64 {
	if t.report.MemoryTokens == 0 {
		return callCharge
	}
	return PromptCharge * float64(prompt)
}

// Snapshot is what the allocator shows of itself for counters.
type Snapshot struct {
	Waiting, Running, Accounts int
	Targets                    []TargetSnapshot
}

// TargetSnapshot shows one target.
type TargetSnapshot struct {
	Address string
	State   slowstart.State
	Running int
	// PredictedTokens is the memory in use by our own count.
	PredictedTokens int
	// Report is the target's last statement; its Age counts from when it was
	// made to when it was read.
	Report Report
}

// Waiting counts the asks that have no decision yet.
func (a *Allocator) Waiting() int { return a.queue.Len() }

// Running counts the leases in force.
func (a *Allocator) Running() int { return len(a.leases.byID) }

// Snapshot returns the state for counters.
func (a *Allocator) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Waiting: a.queue.Len(), Running: len(a.leases.byID), Accounts: a.queue.Accounts()}
	for _, t := range a.order {
		s.Targets = append(s.Targets, TargetSnapshot{
			Address: t.address, State: t.gate.State(now), Running: len(t.leases),
			PredictedTokens: int(t.load.InUse()), Report: t.report,
		})
	}
	return s
}
