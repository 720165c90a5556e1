package poolmanager

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/control/targetpoll"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/table"
)

// Manager keeps the runners of the pools that this process may admit to.
type Manager struct {
	self   string
	board  *configwatch.Board
	ready  func() bool
	client targetpoll.Doer
	log    *slog.Logger

	deliver poolrunner.Deliver

	// seenTable, seenPlan and seenHosts are what the plans and shares in force
	// were made from.
	seenTable *table.Table
	seenPlan  uint64
	seenHosts uint64

	mu      sync.Mutex
	running map[string]*running
	plans   atomic.Pointer[[]Plan]
	changed chan struct{}
	// fence rises with the published list, so that an order of an earlier
	// owner is recognised by targets that check.
	fence atomic.Uint64
}

type running struct {
	plan Plan
	// owner is set while this process is the pool's published owner.
	owner   atomic.Bool
	runner  *poolrunner.Runner
	pollers map[string]context.CancelFunc
}

// NewManager returns a manager without pools. self is this process's address
// in the published list; ready tells whether the documents in force may be
// acted on.
func NewManager(self string, board *configwatch.Board, ready func() bool, client targetpoll.Doer, log *slog.Logger) *Manager {
	return &Manager{
		self: self, board: board, ready: ready, client: client, log: log,
		running: map[string]*running{}, changed: make(chan struct{}),
	}
}

// SetDeliver says where decisions go; it is called before Run.
func (m *Manager) SetDeliver(d poolrunner.Deliver) { m.deliver = d }

// Plans gives the pools in force, nil before the first.
func (m *Manager) Plans() *[]Plan { return m.plans.Load() }

// Changed returns a channel that is closed at the next change of the pools.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// lookAgain is how often a process that is not ready yet looks again.
const lookAgain = 50 * time.Millisecond

// waitReady holds pools back until this process has asked its peers for newer
// documents. One that was started while the configuration service was restored
// would otherwise admit by an old list, to targets that are leaving.
func (m *Manager) waitReady(ctx context.Context) {
	ticker := time.NewTicker(lookAgain)
	defer ticker.Stop()
	for !m.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Run follows the blackboard until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.waitReady(ctx)
	for ctx.Err() == nil {
		tables, hosts := m.board.Table.Changed(), m.board.Hosts.Changed()
		m.update(ctx)
		select {
		case <-tables:
		case <-hosts:
		case <-ctx.Done():
		}
	}
	m.stopAll()
}

// update makes the plans anew when table or hosts changed. The host list is
// also published at each confirmation; that alone only renews the allocators'
// trust in it.
func (m *Manager) update(ctx context.Context) {
	t, hosts := m.board.Table.Get(), m.board.Hosts.Get()
	if t == nil || hosts == nil {
		return
	}
	changed := t != m.seenTable
	m.seenTable = t
	switch plan := fingerprint(t); {
	case plan != m.seenPlan || hosts.Version.Revision != m.seenHosts:
		m.seenPlan, m.seenHosts = plan, hosts.Version.Revision
		m.replan(ctx, t, hosts)
	case changed:
		m.reshare(t)
	}
	m.confirm(hosts.ConfirmedAt)
}

func (m *Manager) replan(ctx context.Context, t *table.Table, hosts *configwatch.Hosts) {
	plans := ComputePlans(t, hosts.List)
	m.fence.Store(hosts.Version.Revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plans.Store(&plans)
	m.reconcile(ctx, plans, t)
	close(m.changed)
	m.changed = make(chan struct{})
}

// reshare puts an edit of accounts' rows in force: it changes no pool, and most
// edits are of that kind.
func (m *Manager) reshare(t *table.Table) {
	shares := sharesOf(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		r.runner.Do(func(a *admission.Allocator, now time.Duration) { a.SetShares(now, shares) })
	}
}

func (m *Manager) confirm(at time.Time) {
	if at.IsZero() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		r.runner.Confirm(at)
	}
}

// reconcile starts, changes and stops runners to match the plans.
func (m *Manager) reconcile(ctx context.Context, plans []Plan, t *table.Table) {
	wanted := map[string]bool{}
	shares := sharesOf(t)
	for _, p := range plans {
		rank := slices.Index(p.Owners, m.self)
		if rank < 0 {
			continue
		}
		wanted[p.ID] = true
		m.apply(ctx, p, rank == 0, shares)
	}
	for name, r := range m.running {
		if !wanted[name] {
			m.stop(name, r)
		}
	}
}

func (m *Manager) apply(ctx context.Context, p Plan, owner bool, shares []admission.Share) {
	r, ok := m.running[p.ID]
	if !ok {
		cfg := admission.Config{Seed: rand.Uint64(), QueueLimit: p.QueueLimit}
		r = &running{runner: poolrunner.NewRunner(p.ID, cfg, m.deliver), pollers: map[string]context.CancelFunc{}}
		m.running[p.ID] = r
		m.log.Info("pool taken up", "pool", p.ID, "owner", owner)
	}
	r.plan = p
	r.owner.Store(owner)
	targetStates, revision := p.TargetStates, m.seenHosts
	r.runner.Do(func(a *admission.Allocator, now time.Duration) {
		a.SetOwnership(now, revision, owner)
		a.SetTargets(now, targetStates)
		a.SetShares(now, shares)
	})
	m.poll(ctx, r)
}

func sharesOf(t *table.Table) []admission.Share {
	shares := make([]admission.Share, 0, len(t.Accounts))
	for _, a := range t.Accounts {
		shares = append(shares, admission.Share{
			Account: a.Name, Weight: a.Weight, MaxRunning: a.MaxRunning, Priority: a.Priority,
			SharedLimits: a.HasFleetLimit(),
		})
	}
	return shares
}

// poll starts and stops pollers to match the pool's targets.
func (m *Manager) poll(ctx context.Context, r *running) {
	wanted := map[string]bool{}
	for _, address := range r.plan.Targets {
		wanted[address] = true
		if _, ok := r.pollers[address]; ok {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		r.pollers[address] = cancel
		p := &targetpoll.Poller{Target: address, Client: m.client, Sink: r.runner.Report, Fast: r.fast, Generation: r.plan.Generation}
		go p.Run(pollCtx)
	}
	for address, cancel := range r.pollers {
		if !wanted[address] {
			cancel()
			delete(r.pollers, address)
		}
	}
}

// fast tells whether the pool's targets are read at the full pace: by the owner,
// and by whoever admits to them.
func (r *running) fast() bool { return r.owner.Load() || r.runner.Busy() }

func (m *Manager) stop(name string, r *running) {
	for _, cancel := range r.pollers {
		cancel()
	}
	r.runner.Close()
	delete(m.running, name)
	m.log.Info("pool given up", "pool", name)
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.running {
		m.stop(name, r)
	}
}

// Runner finds the runner of a pool that this process may admit to.
func (m *Manager) Runner(name string) (*poolrunner.Runner, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.running[name]
	if !ok {
		return nil, 0, false
	}
	return r.runner, m.fence.Load(), true
}

// Each calls f with every pool that runs here.
func (m *Manager) Each(f func(p Plan, r *poolrunner.Runner)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		f(r.plan, r.runner)
	}
}

// Owns tells whether this process is the published owner of a pool.
func (m *Manager) Owns(p Plan) bool { return len(p.Owners) > 0 && p.Owners[0] == m.self }
