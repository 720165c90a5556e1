package pools

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/control/pool"
	"filbertdeck/internal/control/targets"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/table"
)

// Manager keeps the runners of the pools that this process may admit to.
type Manager struct {
	self   string
	board  *configwatch.Board
	client targets.Doer
	log    *slog.Logger

	deliver pool.Deliver

	mu      sync.Mutex
	running map[string]*running
	plans   atomic.Pointer[[]Plan]
	changed chan struct{}
	// fence rises with the published list, so that an order of an earlier
	// owner is recognised by targets that check.
	fence atomic.Uint64
}

type running struct {
	plan    Plan
	runner  *pool.Runner
	pollers map[string]context.CancelFunc
}

// NewManager returns a manager without pools. self is this process's address
// in the published list.
func NewManager(self string, board *configwatch.Board, client targets.Doer, log *slog.Logger) *Manager {
	return &Manager{
		self: self, board: board, client: client, log: log,
		running: map[string]*running{}, changed: make(chan struct{}),
	}
}

// SetDeliver says where decisions go; it is called before Run.
func (m *Manager) SetDeliver(d pool.Deliver) { m.deliver = d }

// Plans gives the pools in force, nil before the first.
func (m *Manager) Plans() []Plan {
	if p := m.plans.Load(); p != nil {
		return *p
	}
	return nil
}

// Changed returns a channel that is closed at the next change of the pools.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Run follows the blackboard until ctx ends.
func (m *Manager) Run(ctx context.Context) {
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

func (m *Manager) update(ctx context.Context) {
	t, hosts := m.board.Table.Get(), m.board.Hosts.Get()
	if t == nil || hosts == nil {
		return
	}
	plans := Plans(t, hosts.List)
	m.fence.Store(hosts.Version.Revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plans.Store(&plans)
	m.reconcile(ctx, plans, t)
	close(m.changed)
	m.changed = make(chan struct{})
}

// reconcile starts, changes and stops runners to match the plans.
func (m *Manager) reconcile(ctx context.Context, plans []Plan, t *table.Table) {
	wanted := map[string]bool{}
	for _, p := range plans {
		rank := slices.Index(p.Owners, m.self)
		if rank < 0 {
			continue
		}
		wanted[p.Name] = true
		m.apply(ctx, p, rank == 0, t)
	}
	for name, r := range m.running {
		if !wanted[name] {
			m.stop(name, r)
		}
	}
}

func (m *Manager) apply(ctx context.Context, p Plan, owner bool, t *table.Table) {
	r, ok := m.running[p.Name]
	if !ok {
		cfg := admission.Config{Owner: owner, Seed: rand.Uint64() >> 1, QueueLimit: t.Services[p.Service].QueueLimit}
		r = &running{runner: pool.NewRunner(p.Name, cfg, m.deliver), pollers: map[string]context.CancelFunc{}}
		m.running[p.Name] = r
		m.log.Info("pool taken up", "pool", p.Name, "owner", owner)
	}
	r.plan = p
	shares := sharesOf(t)
	list := p.Targets
	r.runner.Do(func(a *admission.Allocator, now time.Duration) {
		a.SetOwner(now, owner)
		a.SetTargets(now, list)
		a.SetShares(now, shares)
	})
	m.poll(ctx, r)
}

func sharesOf(t *table.Table) []admission.Share {
	shares := make([]admission.Share, 0, len(t.Accounts))
	for _, a := range t.Accounts {
		shares = append(shares, admission.Share{
			Account: a.Name, Weight: a.Weight, MaxRunning: a.MaxRunning, Priority: a.Priority,
		})
	}
	return shares
}

// poll starts and stops pollers to match the pool's targets.
func (m *Manager) poll(ctx context.Context, r *running) {
	wanted := map[string]bool{}
	for _, t := range r.plan.Targets {
		wanted[t.Address] = true
		if _, ok := r.pollers[t.Address]; ok {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		r.pollers[t.Address] = cancel
		p := &targets.Poller{Target: t.Address, Client: m.client, Sink: r.runner.Report, Generation: r.plan.Generation}
		go p.Run(pollCtx)
	}
	for address, cancel := range r.pollers {
		if !wanted[address] {
			cancel()
			delete(r.pollers, address)
		}
	}
}

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
func (m *Manager) Runner(name string) (*pool.Runner, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.running[name]
	if !ok {
		return nil, 0, false
	}
	return r.runner, m.fence.Load(), true
}

// Backlog is the wait in a pool that runs here.
func (m *Manager) Backlog(name string) (time.Duration, bool) {
	r, _, ok := m.Runner(name)
	if !ok {
		return 0, false
	}
	return r.Backlog(), true
}
