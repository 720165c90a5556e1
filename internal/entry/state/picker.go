package state

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/drain"
	decide "filbertdeck/internal/decide/pools"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

// noTargetRetryAfter is the retry delay returned to callers of a service without
// a target.
const noTargetRetryAfter = time.Second

// maxLocalPools and maxRemotePools limit how many pools of one service an entry
// uses, in its own data centre and in all others together. Each session with a
// pool's owner costs one heartbeat per second.
const (
	maxLocalPools  = 8
	maxRemotePools = 4
)

// backlogValidity is how long a reported backlog counts as fresh. It is long
// because the control process pushes every change and answers the entry's
// heartbeats, so the backlogs on the blackboard are always current.
const backlogValidity = 24 * time.Hour

// Picker selects the pool that an entry asks for admission. It is safe for
// concurrent use.
type Picker struct {
	board      *Board
	entry      string
	dataCentre string
	startTime  time.Time
	config     decide.Config

	// views is rebuilt when the pools or the table change; requests read it
	// without a lock.
	views atomic.Pointer[viewSet]

	mu          sync.Mutex
	dataCentres *drain.DataCentres
}

// viewSet holds the views of all services' pools. It is immutable except for the
// counters in pendingAsks.
type viewSet struct {
	pools       *Pools
	table       *table.Table
	byService   map[string][]decide.PoolView
	pendingAsks map[string]*atomic.Int64
}

// NewPicker returns a picker; entry is this process's address.
func NewPicker(b *Board, entry, dataCentre string) *Picker {
	return &Picker{
		board: b, entry: entry, dataCentre: dataCentre, startTime: time.Now(),
		config: decide.Config{BacklogMaxAge: backlogValidity}, dataCentres: drain.NewDataCentres(drain.RampConfig{}),
	}
}

func (p *Picker) now() time.Duration { return time.Since(p.startTime) }

// Request describes the request for which a pool is selected.
type Request struct {
	Service string
	// AffinityKey is equal for requests that are best served by the same target.
	AffinityKey uint64
	// PrefixAffinity is set if AffinityKey identifies a prompt prefix that a
	// target may have cached.
	PrefixAffinity bool
	// FailedTargets lists targets on which the request has already failed.
	FailedTargets []string
}

// Choice is a selected pool. Done must be called once the pool's owner has
// answered.
type Choice struct {
	Pool        string
	pendingAsks *atomic.Int64
}

// Done removes the request from the count of those that the pool's owner has not
// answered yet.
func (c Choice) Done() { c.pendingAsks.Add(-1) }

// Pick selects a pool for the request.
func (p *Picker) Pick(r Request) (Choice, error) {
	set := p.currentViews()
	if set == nil {
		return Choice{}, failure.New(failure.KindNotReady, "the pools have not been received yet").WithRetryAfter(noTargetRetryAfter)
	}
	base := set.byService[r.Service]
	views := make([]decide.PoolView, len(base), maxLocalPools+maxRemotePools)
	copy(views, base)
	p.addLoad(set, views)
	i := decide.Choose(p.now(), p.config, views, decide.Request{
		DataCentre: p.dataCentre, AffinityKey: r.AffinityKey, HasPrefix: r.PrefixAffinity, ExcludedPools: fullyFailedPools(set.pools, views, r.FailedTargets),
	}, decide.RandomDraw{CandidateSeed: rand.Uint64(), ShareSample: rand.Float64()})
	if i < 0 {
		return Choice{}, failure.New(failure.KindNoTarget, "service %q has no available target", r.Service).WithRetryAfter(noTargetRetryAfter)
	}
	c := Choice{Pool: views[i].ID, pendingAsks: set.pendingAsks[views[i].ID]}
	c.pendingAsks.Add(1)
	return c, nil
}

// addLoad sets the fields of the views that change from request to request.
func (p *Picker) addLoad(set *viewSet, views []decide.PoolView) {
	now := p.now()
	backlogs := p.board.backlogs()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range views {
		ms, known := backlogs[views[i].ID]
		views[i].Backlog, views[i].BacklogKnown = time.Duration(ms)*time.Millisecond, known
		views[i].PendingRequests = int(set.pendingAsks[views[i].ID].Load())
		views[i].Share = p.dataCentres.WorkShare(now, views[i].DataCentre)
	}
}

// currentViews returns the views and rebuilds them if the blackboard has
// changed.
func (p *Picker) currentViews() *viewSet {
	pools, t, set := p.board.Pools.Get(), p.board.Table.Get(), p.views.Load()
	if pools == nil || (set != nil && set.pools == pools && set.table == t) {
		return set
	}
	next := p.buildViews(pools, t, set)
	p.views.Store(next)
	return next
}

// buildViews builds the views and keeps the counters of pools that are still
// listed.
func (p *Picker) buildViews(pools *Pools, t *table.Table, old *viewSet) *viewSet {
	p.updateDrained(t)
	next := &viewSet{pools: pools, table: t, byService: map[string][]decide.PoolView{}, pendingAsks: map[string]*atomic.Int64{}}
	for service, list := range pools.ByService {
		for _, pool := range p.selectPools(list) {
			next.byService[service] = append(next.byService[service], newPoolView(pool))
			next.pendingAsks[pool.Name] = pendingCounter(next, old, pool.Name)
		}
	}
	return next
}

// pendingCounter returns the pool's counter from the new set, to which another
// service of the pool may have added it, or from the old set, or a new one.
func pendingCounter(next, old *viewSet, pool string) *atomic.Int64 {
	if c := next.pendingAsks[pool]; c != nil {
		return c
	}
	if old != nil && old.pendingAsks[pool] != nil {
		return old.pendingAsks[pool]
	}
	return &atomic.Int64{}
}

// updateDrained records which data centres are drained and starts the ramp-up of
// those that return.
func (p *Picker) updateDrained(t *table.Table) {
	if t == nil {
		return
	}
	var drained []string
	for name := range t.Drained {
		drained = append(drained, name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dataCentres.SetDrained(p.now(), drained)
}

func newPoolView(pool *filbertv1.Pool) decide.PoolView {
	return decide.NewPoolView(decide.Pool{ID: pool.Name, DataCentre: pool.DataCentre}, "")
}

// selectPools returns the subset of a service's pools that this entry uses.
func (p *Picker) selectPools(list []*filbertv1.Pool) []*filbertv1.Pool {
	byName := make(map[string]*filbertv1.Pool, len(list))
	var local, remote []decide.Pool
	for _, pool := range list {
		if pool.Drained {
			continue
		}
		byName[pool.Name] = pool
		candidate := decide.Pool{ID: pool.Name, DataCentre: pool.DataCentre}
		if pool.DataCentre == p.dataCentre {
			local = append(local, candidate)
		} else {
			remote = append(remote, candidate)
		}
	}
	var selected []*filbertv1.Pool
	subset := append(decide.SessionPools(p.entry, local, maxLocalPools), decide.SessionPools(p.entry, remote, maxRemotePools)...)
	for _, pool := range subset {
		selected = append(selected, byName[pool.ID])
	}
	return selected
}

// fullyFailedPools returns the pools in which the request has failed on every
// target.
func fullyFailedPools(pools *Pools, views []decide.PoolView, failedTargets []string) []string {
	if len(failedTargets) == 0 {
		return nil
	}
	failed := make(map[string]bool, len(failedTargets))
	for _, target := range failedTargets {
		failed[target] = true
	}
	var out []string
	for _, v := range views {
		if allFailed(pools.ByName[v.ID].Targets, failed) {
			out = append(out, v.ID)
		}
	}
	return out
}

func allFailed(targets []string, failed map[string]bool) bool {
	for _, t := range targets {
		if !failed[t] {
			return false
		}
	}
	return true
}

// PoolOf returns the name of a target's pool.
func (b *Board) PoolOf(service, target string) (string, bool) {
	pools := b.Pools.Get()
	if pools == nil {
		return "", false
	}
	p, ok := pools.ByTarget[TargetKey{service, target}]
	if !ok {
		return "", false
	}
	return p.Name, true
}

func (b *Board) backlogs() map[string]uint32 {
	if known := b.Backlogs.Get(); known != nil {
		return *known
	}
	return nil
}

// HedgeInputs returns the smallest backlog among a service's pools and the
// number of its targets other than the excluded one.
func (b *Board) HedgeInputs(service, excluded string) (backlog time.Duration, otherTargets int) {
	pools := b.Pools.Get()
	if pools == nil {
		return 0, 0
	}
	backlogs := b.backlogs()
	minBacklog := time.Duration(-1)
	for _, p := range pools.ByService[service] {
		if p.Drained {
			continue
		}
		for _, t := range p.Targets {
			if t != excluded {
				otherTargets++
			}
		}
		if poolBacklog := time.Duration(backlogs[p.Name]) * time.Millisecond; minBacklog < 0 || poolBacklog < minBacklog {
			minBacklog = poolBacklog
		}
	}
	return max(minBacklog, 0), otherTargets
}
