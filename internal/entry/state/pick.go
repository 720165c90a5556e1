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

// retryNoPool is told to callers of a service without a target.
const retryNoPool = time.Second

// sessionsNear and sessionsFar bound the pools of one service that an entry
// keeps to, in its own data centre and in all others together: each session
// with a pool's owner costs a heartbeat a second.
const (
	sessionsNear = 8
	sessionsFar  = 4
)

// pushedNews: the control process pushes each changed backlog and answers the
// entry's heartbeat, so what stands on the blackboard counts as fresh.
const pushedNews = 24 * time.Hour

// Picker chooses the pool that an entry asks for admission. It is safe for
// concurrent use.
type Picker struct {
	board      *Board
	entry      string
	dataCentre string
	start      time.Time
	cfg        decide.Config

	// views is made anew when pools or table change; requests read it without
	// a lock.
	views atomic.Pointer[viewSet]

	mu      sync.Mutex
	centres *drain.DataCentres
}

// viewSet is one immutable state of all services' pools.
type viewSet struct {
	pools     *Pools
	table     *table.Table
	byService map[string][]decide.PoolView
	sent      map[string]*atomic.Int64
}

// NewPicker returns a picker; entry is this process's address.
func NewPicker(b *Board, entry, dataCentre string) *Picker {
	return &Picker{
		board: b, entry: entry, dataCentre: dataCentre, start: time.Now(),
		cfg: decide.Config{BacklogMaxAge: pushedNews}, centres: drain.NewDataCentres(drain.RampConfig{}),
	}
}

func (p *Picker) now() time.Duration { return time.Since(p.start) }

// Request is what a choice depends on.
type Request struct {
	Service string
	// Affinity is equal for requests that are best served by the same target.
	Affinity uint64
	// Cached says that Affinity stands for a prefix worth finding again.
	Cached bool
	// Avoid lists targets that failed the request already.
	Avoid []string
}

// Choice is a pool that was chosen; Decided must be called once the pool's
// owner has answered.
type Choice struct {
	Pool string
	sent *atomic.Int64
}

// Decided takes the request out of those that the pool's owner has yet to
// answer.
func (c Choice) Decided() { c.sent.Add(-1) }

// Pick chooses a pool.
func (p *Picker) Pick(r Request) (Choice, error) {
	set := p.current()
	if set == nil {
		return Choice{}, failure.New(failure.KindNotReady, "the pools are not known yet").After(retryNoPool)
	}
	base := set.byService[r.Service]
	views := make([]decide.PoolView, len(base), sessionsNear+sessionsFar)
	copy(views, base)
	p.fill(set, views)
	i := decide.Choose(p.now(), p.cfg, views, decide.Request{
		DataCentre: p.dataCentre, AffinityKey: r.Affinity, HasPrefix: r.Cached, ExcludedPools: exhausted(set.pools, views, r.Avoid),
	}, decide.RandomDraw{CandidateSeed: rand.Uint64(), ShareSample: rand.Float64()})
	if i < 0 {
		return Choice{}, failure.New(failure.KindNoTarget, "service %q has no target that takes work", r.Service).After(retryNoPool)
	}
	c := Choice{Pool: views[i].ID, sent: set.sent[views[i].ID]}
	c.sent.Add(1)
	return c, nil
}

// fill completes the views with what changes from request to request.
func (p *Picker) fill(set *viewSet, views []decide.PoolView) {
	now := p.now()
	backlogs := p.board.backlogs()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range views {
		ms, known := backlogs[views[i].ID]
		views[i].Backlog, views[i].BacklogKnown = time.Duration(ms)*time.Millisecond, known
		views[i].PendingRequests = int(set.sent[views[i].ID].Load())
		views[i].Share = p.centres.WorkShare(now, views[i].DataCentre)
	}
}

// current gives the views, made anew when the blackboard has changed.
func (p *Picker) current() *viewSet {
	pools, t, set := p.board.Pools.Get(), p.board.Table.Get(), p.views.Load()
	if pools == nil || (set != nil && set.pools == pools && set.table == t) {
		return set
	}
	next := p.build(pools, t, set)
	p.views.Store(next)
	return next
}

// build keeps the counts of pools that stay.
func (p *Picker) build(pools *Pools, t *table.Table, old *viewSet) *viewSet {
	p.followDrain(t)
	next := &viewSet{pools: pools, table: t, byService: map[string][]decide.PoolView{}, sent: map[string]*atomic.Int64{}}
	for service, list := range pools.ByService {
		for _, pool := range p.subset(list) {
			next.byService[service] = append(next.byService[service], viewOf(pool))
			next.sent[pool.Name] = counterOf(next, old, pool.Name)
		}
	}
	return next
}

// counterOf keeps the count of a pool that stays, and of one that another of
// its services brought in already.
func counterOf(next, old *viewSet, pool string) *atomic.Int64 {
	if c := next.sent[pool]; c != nil {
		return c
	}
	if old != nil && old.sent[pool] != nil {
		return old.sent[pool]
	}
	return &atomic.Int64{}
}

// followDrain notes which data centres are out, and starts the ramp of those
// that come back.
func (p *Picker) followDrain(t *table.Table) {
	if t == nil {
		return
	}
	var out []string
	for name := range t.Drained {
		out = append(out, name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.centres.SetDrained(p.now(), out)
}

func viewOf(pool *filbertv1.Pool) decide.PoolView {
	return decide.NewPoolView(decide.Pool{ID: pool.Name, DataCentre: pool.DataCentre}, "")
}

// subset gives the pools that this entry keeps to.
func (p *Picker) subset(list []*filbertv1.Pool) []*filbertv1.Pool {
	byName := make(map[string]*filbertv1.Pool, len(list))
	var near, far []decide.Pool
	for _, pool := range list {
		if pool.Drained {
			continue
		}
		byName[pool.Name] = pool
		one := decide.Pool{ID: pool.Name, DataCentre: pool.DataCentre}
		if pool.DataCentre == p.dataCentre {
			near = append(near, one)
		} else {
			far = append(far, one)
		}
	}
	var out []*filbertv1.Pool
	kept := append(decide.SessionPools(p.entry, near, sessionsNear), decide.SessionPools(p.entry, far, sessionsFar)...)
	for _, pool := range kept {
		out = append(out, byName[pool.ID])
	}
	return out
}

// exhausted lists the pools every target of which failed the request already.
func exhausted(pools *Pools, views []decide.PoolView, avoid []string) []string {
	if len(avoid) == 0 {
		return nil
	}
	failed := make(map[string]bool, len(avoid))
	for _, target := range avoid {
		failed[target] = true
	}
	var out []string
	for _, v := range views {
		if allIn(pools.ByName[v.ID].Targets, failed) {
			out = append(out, v.ID)
		}
	}
	return out
}

func allIn(targets []string, failed map[string]bool) bool {
	for _, t := range targets {
		if !failed[t] {
			return false
		}
	}
	return true
}

// PoolOf finds the pool of a target.
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

// Situation gives the least backlog of a service's pools and the number of its
// targets besides one.
func (b *Board) Situation(service, besides string) (backlog time.Duration, others int) {
	pools := b.Pools.Get()
	if pools == nil {
		return 0, 0
	}
	backlogs := b.backlogs()
	least := time.Duration(-1)
	for _, p := range pools.ByService[service] {
		if p.Drained {
			continue
		}
		for _, t := range p.Targets {
			if t != besides {
				others++
			}
		}
		if wait := time.Duration(backlogs[p.Name]) * time.Millisecond; least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0), others
}
