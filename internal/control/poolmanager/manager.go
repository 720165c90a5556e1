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

// Manager runs the allocators of the pools that this process may admit to.
type Manager struct {
	self   string
	board  *configwatch.Board
	ready  func() bool
	client targetpoll.HTTPClient
	log    *slog.Logger

	deliver poolrunner.Deliver

	// currentTable, currentFingerprint and currentHostsRevision identify what the
	// plans and shares in force were computed from.
	currentTable         *table.Table
	currentFingerprint   uint64
	currentHostsRevision uint64

	mu           sync.Mutex
	runningPools map[string]*runningPool
	plans        atomic.Pointer[[]Plan]
	changed      chan struct{}
	// fence is the revision of the published host list. It rises with each list,
	// so targets that check it recognise the requests of an earlier owner.
	fence atomic.Uint64
}

type runningPool struct {
	plan Plan
	// owner is set while this process is the pool's published owner.
	owner   atomic.Bool
	runner  *poolrunner.Runner
	pollers map[string]context.CancelFunc
}

// NewManager returns a manager without pools. self is this process's address
// in the published list; ready reports whether the documents in force may be
// acted on.
func NewManager(self string, board *configwatch.Board, ready func() bool, client targetpoll.HTTPClient, log *slog.Logger) *Manager {
	return &Manager{
		self: self, board: board, ready: ready, client: client, log: log,
		runningPools: map[string]*runningPool{}, changed: make(chan struct{}),
	}
}

// SetDeliver sets the receiver of decisions; it must be called before Run.
func (m *Manager) SetDeliver(d poolrunner.Deliver) { m.deliver = d }

// Plans returns the pools in force, or nil before the first plan.
func (m *Manager) Plans() *[]Plan { return m.plans.Load() }

// Changed returns a channel that is closed at the next change of the pools.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// readyPollInterval is the interval at which waitReady checks readiness.
const readyPollInterval = 50 * time.Millisecond

// waitReady delays the start of pools until this process has asked its peers
// for newer documents. A process that is started while the configuration
// service is being restored would otherwise use an old list and admit to
// targets that are leaving.
func (m *Manager) waitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
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
		tableChanged, hostsChanged := m.board.Table.Changed(), m.board.Hosts.Changed()
		m.update(ctx)
		select {
		case <-tableChanged:
		case <-hostsChanged:
		case <-ctx.Done():
		}
	}
	m.stopAll()
}

// update recomputes the plans if the table or the hosts changed. The host list
// is also published at each confirmation; a confirmation alone only extends the
// time for which allocators trust the list.
func (m *Manager) update(ctx context.Context) {
	t, hosts := m.board.Table.Get(), m.board.Hosts.Get()
	if t == nil || hosts == nil {
		return
	}
	changed := t != m.currentTable
	m.currentTable = t
	switch fingerprint := planFingerprint(t); {
	case fingerprint != m.currentFingerprint || hosts.Version.Revision != m.currentHostsRevision:
		m.currentFingerprint, m.currentHostsRevision = fingerprint, hosts.Version.Revision
		m.recomputePlans(ctx, t, hosts)
	case changed:
		m.updateShares(t)
	}
	m.confirmHosts(hosts.ConfirmedAt)
}

func (m *Manager) recomputePlans(ctx context.Context, t *table.Table, hosts *configwatch.Hosts) {
	plans := ComputePlans(t, hosts.List)
	m.fence.Store(hosts.Version.Revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plans.Store(&plans)
	m.reconcile(ctx, plans, t)
	close(m.changed)
	m.changed = make(chan struct{})
}

// updateShares applies an edit of account rows, which changes no pool. Most
// edits are of this kind.
func (m *Manager) updateShares(t *table.Table) {
	shares := accountShares(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runningPools {
		r.runner.Do(func(a *admission.Allocator, now time.Duration) { a.SetShares(now, shares) })
	}
}

func (m *Manager) confirmHosts(at time.Time) {
	if at.IsZero() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runningPools {
		r.runner.Confirm(at)
	}
}

// reconcile starts, updates and stops runners to match the plans.
func (m *Manager) reconcile(ctx context.Context, plans []Plan, t *table.Table) {
	desired := map[string]bool{}
	shares := accountShares(t)
	for _, p := range plans {
		rank := slices.Index(p.Owners, m.self)
		if rank < 0 {
			continue
		}
		desired[p.ID] = true
		m.startOrUpdate(ctx, p, rank == 0, shares)
	}
	for name, r := range m.runningPools {
		if !desired[name] {
			m.stopPool(name, r)
		}
	}
}

func (m *Manager) startOrUpdate(ctx context.Context, p Plan, owner bool, shares []admission.Share) {
	r, ok := m.runningPools[p.ID]
	if !ok {
		cfg := admission.Config{Seed: rand.Uint64(), QueueLimit: p.QueueLimit}
		r = &runningPool{runner: poolrunner.NewRunner(p.ID, cfg, m.deliver), pollers: map[string]context.CancelFunc{}}
		m.runningPools[p.ID] = r
		m.log.Info("pool taken up", "pool", p.ID, "owner", owner)
	}
	r.plan = p
	r.owner.Store(owner)
	targetStates, revision := p.TargetStates, m.currentHostsRevision
	r.runner.Do(func(a *admission.Allocator, now time.Duration) {
		a.SetOwnership(now, revision, owner)
		a.SetTargets(now, targetStates)
		a.SetShares(now, shares)
	})
	m.reconcilePollers(ctx, r)
}

func accountShares(t *table.Table) []admission.Share {
	shares := make([]admission.Share, 0, len(t.Accounts))
	for _, a := range t.Accounts {
		shares = append(shares, admission.Share{
			Account: a.Name, Weight: a.Weight, MaxRunning: a.MaxRunning, Priority: a.Priority,
			SharedLimits: a.HasFleetLimit(),
		})
	}
	return shares
}

// reconcilePollers starts and stops pollers to match the pool's targets.
func (m *Manager) reconcilePollers(ctx context.Context, r *runningPool) {
	desired := map[string]bool{}
	for _, address := range r.plan.Targets {
		desired[address] = true
		if _, ok := r.pollers[address]; ok {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		r.pollers[address] = cancel
		p := &targetpoll.Poller{Target: address, Client: m.client, Sink: r.runner.Report, AtFullRate: r.atFullRate, Generation: r.plan.Generation}
		go p.Run(pollCtx)
	}
	for address, cancel := range r.pollers {
		if !desired[address] {
			cancel()
			delete(r.pollers, address)
		}
	}
}

// atFullRate reports whether the pool's targets are polled at the full rate: by
// the owner, and by any process that admits to them.
func (r *runningPool) atFullRate() bool { return r.owner.Load() || r.runner.Busy() }

func (m *Manager) stopPool(name string, r *runningPool) {
	for _, cancel := range r.pollers {
		cancel()
	}
	r.runner.Close()
	delete(m.runningPools, name)
	m.log.Info("pool given up", "pool", name)
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.runningPools {
		m.stopPool(name, r)
	}
}

// Runner returns the runner of a pool that this process may admit to, with the
// current fence.
func (m *Manager) Runner(name string) (*poolrunner.Runner, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.runningPools[name]
	if !ok {
		return nil, 0, false
	}
	return r.runner, m.fence.Load(), true
}

// ForEach calls f for every pool that runs here.
func (m *Manager) ForEach(f func(p Plan, r *poolrunner.Runner)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runningPools {
		f(r.plan, r.runner)
	}
}

// IsOwner reports whether this process is the published owner of a pool.
func (m *Manager) IsOwner(p Plan) bool { return len(p.Owners) > 0 && p.Owners[0] == m.self }
