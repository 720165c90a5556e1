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

// Config holds the allocator's parameters; the zero value of a field selects
// its default.
type Config struct {
	// Owner tells whether this allocator is the pool's published owner. Only
	// the published owner admits requests to cold targets.
	Owner bool
	// LeaseDuration is the lifetime of a lease without renewal. Default 3 s.
	LeaseDuration time.Duration
	// QueueLimit bounds the number of waiting asks. Default 1024.
	QueueLimit int
	// Seed seeds the random choices and the first lease ID. It must be drawn
	// anew at each start of the process: a repeated ID would renew a lease of
	// the previous process.
	Seed uint64
	// Memory is the rule for admission by memory; the zero value is the default
	// rule.
	Memory memoryforecast.AdmissionRule
	// SlowStart holds the parameters for targets that have just started.
	SlowStart slowstart.Config
}

const (
	defaultLeaseDuration = 3 * time.Second
	defaultQueueLimit    = 1024

	// PromptTokenCharge and OutputTokenCharge are the amounts charged to an
	// account per token. An output token takes a slot in a batch step and a
	// prompt token a part of one; the scheme that package fairqueue cites has
	// the same charges of 1 and 2.
	PromptTokenCharge = 1.0
	OutputTokenCharge = 2.0
	// callCharge is charged for a call of a plain service, which has no tokens.
	callCharge = 1.0

	// refreshInterval bounds the age of predictions: at 25 tokens per second
	// each of 50 generations grows by 2.5 tokens between refreshes, in total a
	// thousandth of an engine's memory.
	refreshInterval = 100 * time.Millisecond
	// maxDeferralsPerPass bounds the asks that one pass defers because they
	// cannot use the targets with free capacity (Ask.Avoid, crash suspects). It
	// covers two batches of innocent requests that shared a target with a
	// poison request.
	maxDeferralsPerPass = 64
	// deadlineChecksPerRefresh bounds the accounts whose newest ask is checked
	// again at each refresh; all of 11,000 accounts are checked within five
	// seconds.
	deadlineChecksPerRefresh = 256
)

// Allocator admits requests to the targets of one pool.
type Allocator struct {
	cfg           Config
	random        *rand.Rand
	outputLengths outputLengthModel
	queue         *fairqueue.Queue[Ask]
	drainRate     fairqueue.DrainRate
	shares        map[string]Share
	quotas        quotaTable

	targets     map[string]*target
	targetOrder []*target
	// usableTargets is the number of targets that are not leaving.
	usableTargets int
	waiting       map[askKey]*fairqueue.Request[Ask]
	leases        leaseTable

	health    *health.Pool
	stepTimes stepTimeModel
	poison    poisonGuard
	ownership ownership
	stopping  bool

	skippedAccounts []*fairqueue.Account[Ask]
	// quarantined holds the waiting suspects, in the order in which they became
	// so.
	quarantined    []*fairqueue.Request[Ask]
	quarantineGrew bool
	// admitPass counts the calls of admit.
	admitPass          uint64
	refreshedAt        time.Duration
	deadlineCheckIndex int
	// pendingDecisions collects decisions; spareDecisions is the slice that the
	// last Decide returned.
	pendingDecisions, spareDecisions []Decision
}

// askKey identifies a waiting ask.
type askKey struct {
	holder  Holder
	request uint64
}

// New returns an allocator without targets.
func New(cfg Config) *Allocator {
	if cfg.LeaseDuration == 0 {
		cfg.LeaseDuration = defaultLeaseDuration
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.Memory == (memoryforecast.AdmissionRule{}) {
		cfg.Memory = memoryforecast.DefaultRule()
	}
	cfg.SlowStart.LeaseDuration = cfg.LeaseDuration
	return &Allocator{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, firstID(cfg.Seed))),
		outputLengths: newOutputLengthModel(),
		queue:         fairqueue.New[Ask](cfg.QueueLimit, fairqueue.DefaultLookAheadTokens),
		shares:        map[string]Share{},
		quotas:        quotaTable{byAccount: map[string]*quotaState{}},
		targets:       map[string]*target{},
		waiting:       map[askKey]*fairqueue.Request[Ask]{},
		leases:        newLeaseTable(LeaseID(firstID(cfg.Seed))),
		health:        health.New(health.Config{}),
		poison:        newPoisonGuard(),
		ownership:     ownership{owner: cfg.Owner, received: cfg.Owner},
	}
}

// firstID distributes seeds over all IDs, so that the ID ranges of neighbouring
// seeds do not overlap.
func firstID(seed uint64) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(seed >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// SetShares replaces the shares of all accounts.
func (a *Allocator) SetShares(now time.Duration, shares []Share) {
	clear(a.shares)
	for _, s := range shares {
		a.SetShare(now, s)
	}
}

// SetShare replaces one account's share.
func (a *Allocator) SetShare(_ time.Duration, s Share) {
	a.shares[s.Account] = s
	if a.queue.Lookup(s.Account) != nil {
		a.upsertAccount(s.Account)
	}
}

// RemoveShare removes an account's share; the account then has weight 1.
func (a *Allocator) RemoveShare(_ time.Duration, account string) {
	delete(a.shares, account)
	if a.queue.Lookup(account) != nil {
		a.upsertAccount(account)
	}
}

func (a *Allocator) upsertAccount(name string) *fairqueue.Account[Ask] {
	s := a.shares[name]
	return a.queue.UpsertAccount(name, s.Weight, a.runningLimit(name, s))
}

// Stop refuses all waiting requests and all later asks. Running requests
// continue, and their leases are renewed and settled as before.
func (a *Allocator) Stop(_ time.Duration) { a.stopping = true }

// Decide advances the time to now and returns the decisions that are due. The
// slice is valid until the next call.
func (a *Allocator) Decide(now time.Duration) []Decision {
	a.expireLeases(now)
	a.expireQuotas(now)
	a.refresh(now)
	a.refuseExpired(now - 1)
	a.admit(now)
	if a.quarantineGrew {
		a.refuseQuarantined(now)
	}
	a.refuseExpired(now)
	out := a.pendingDecisions
	a.pendingDecisions, a.spareDecisions = a.spareDecisions[:0], out
	return out
}

// refresh updates all state that depends on the passage of time.
func (a *Allocator) refresh(now time.Duration) {
	if now-a.refreshedAt < refreshInterval && a.refreshedAt > 0 {
		return
	}
	a.refreshedAt = now
	a.outputLengths.refresh()
	for _, t := range a.targetOrder {
		t.refresh(now, &a.outputLengths)
	}
	// Requests held back only by their account's limit or their own constraints
	// are no evidence of how fast the pool serves: it may be idle, and a rate
	// measured then would cause other requests to be refused.
	a.drainRate.Update(now, a.queue.AtCapacity())
	a.refusePredictedLate(now)
	a.refuseQuarantined(now)
}

// admit grants requests in queue order for as long as a target can take the
// head. A head that no target has capacity for keeps its position and blocks
// those behind it: serving small requests ahead of a large prompt would starve
// it. Only a head whose own constraints exclude the targets with free capacity
// moves behind the other requests of its account.
func (a *Allocator) admit(now time.Duration) {
	a.admitPass++
	result := headDecided
	for deferred := 0; result != headBlocked && deferred < maxDeferralsPerPass; {
		r := a.queue.Head()
		if r == nil {
			break
		}
		if result = a.processHead(now, r); result == headDeferred {
			deferred++
		}
	}
	a.queue.SetAtCapacity(result == headBlocked)
	for _, s := range a.skippedAccounts {
		a.queue.Unskip(s)
	}
	a.skippedAccounts = a.skippedAccounts[:0]
}

// headResult is the outcome of processing the request at the head.
type headResult int

const (
	headDecided headResult = iota
	headDeferred
	headBlocked
)

// processHead grants, refuses or defers the request at the head.
func (a *Allocator) processHead(now time.Duration, r *fairqueue.Request[Ask]) headResult {
	ask := &r.Value
	restriction := a.poison.restrictionFor(now, ask.Fingerprint)
	if restriction.rejected {
		a.refuseWaiting(r, RefusedPoison, restriction.wait)
		return headDecided
	}
	t := a.chooseTarget(now, ask, restriction)
	if t != nil {
		a.grantWaiting(now, r, t, restriction)
		return headDecided
	}
	if len(ask.Avoid) == 0 && !restriction.restricted() {
		return headBlocked
	}
	if restriction.restricted() {
		a.quarantine(r)
	}
	if restriction.exclusive {
		a.poison.reserveTarget(a.targetOrder, r)
	}
	// A request that was already deferred in this pass is at the head again, so
	// no request of its account can run. Trying the account again would use up
	// the pass while other accounts' requests wait for targets that are idle.
	if r.DeferredInPass == a.admitPass {
		a.skippedAccounts = append(a.skippedAccounts, r.Account)
		a.queue.Skip(r.Account)
		return headDeferred
	}
	r.DeferredInPass = a.admitPass
	a.queue.Defer(r)
	return headDeferred
}

func (a *Allocator) grantWaiting(now time.Duration, r *fairqueue.Request[Ask], t *target, restriction poisonRestriction) {
	ask := r.Value
	delete(a.waiting, askKey{ask.Holder, ask.RequestID})
	a.poison.releaseReservation(r)
	a.releaseQuarantine(r)
	cost := admissionCharge(ask.PromptTokens, t)
	a.queue.Start(r, cost)
	a.drainRate.Add(cost)
	l := a.leases.create()
	l.service = ask.Service
	l.fingerprint, l.exclusive, l.suspect = ask.Fingerprint, restriction.exclusive, restriction.restricted()
	a.addLease(now, l, ask.Holder, r.Account, t, memoryforecast.Generation{Prompt: ask.PromptTokens, Max: ask.MaxTokens})
	l.charged = cost
	t.cache.insert(ask.Prefix)
	if a.health.Status(now, t.address) == health.Trial {
		a.health.BeginTrial(now, t.address)
	}
	a.queue.Recycle(r)
	a.grant(l, ask.RequestID, 0)
}

func (a *Allocator) grant(l *lease, request uint64, attained int) {
	a.pendingDecisions = append(a.pendingDecisions, Decision{
		Holder: l.holder, RequestID: request, Lease: l.id, Target: l.target.address,
		Priority: priority(a.shares[l.account.Name].Priority, attained), LeaseDuration: a.cfg.LeaseDuration,
	})
}

// admissionCharge returns the charge of a request before it produces output.
func admissionCharge(promptTokens int, t *target) float64 {
	if t.report.KVCapacityTokens == 0 {
		return callCharge
	}
	return PromptTokenCharge * float64(promptTokens)
}

// Snapshot is the allocator's state as exported for metrics.
type Snapshot struct {
	Waiting, Running, Accounts int
	Targets                    []TargetSnapshot
}

// TargetSnapshot is the state of one target.
type TargetSnapshot struct {
	Address string
	State   slowstart.State
	Running int
	// PredictedTokens is the memory in use as predicted by the allocator.
	PredictedTokens int
	// Report is the target's last report; its Age is the time from when it was
	// taken to when it was received.
	Report Report
}

// Waiting returns the number of asks without a decision.
func (a *Allocator) Waiting() int { return a.queue.Len() }

// Running returns the number of active leases.
func (a *Allocator) Running() int { return len(a.leases.byID) }

// Snapshot returns the current state for metrics.
func (a *Allocator) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Waiting: a.queue.Len(), Running: len(a.leases.byID), Accounts: a.queue.AccountCount()}
	for _, t := range a.targetOrder {
		s.Targets = append(s.Targets, TargetSnapshot{
			Address: t.address, State: t.slowStart.State(now), Running: len(t.leases),
			PredictedTokens: int(t.load.InUse()), Report: t.report,
		})
	}
	return s
}
