package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/pools"
	"filbertdeck/internal/decide/quota"
	"filbertdeck/internal/table"
)

// Figures of the controller.
const (
	// tickEvery is how often the pools are looked at: the wait that an account's
	// first request has before its part is asked for.
	tickEvery = 100 * time.Millisecond
	// roundEvery is how often leases are renewed, a third of their life.
	roundEvery = time.Second
	// settleFor is how long a pool that was just taken up starts nothing of
	// limited accounts. Entries renew their leases within it, so that what runs
	// is counted; before that the pool looks idle, and would start as much again.
	settleFor = 3 * time.Second
	// releaseAfter is how long the parts of a pool that was given up still count.
	// What ran by them is counted at the pool's next allocator, once entries have
	// found it and it has settled: before that neither would count it.
	releaseAfter = 10 * time.Second
	// maxDemands bounds the demands of one pool in one round, 15 KB.
	maxDemands = 256
)

// Pool is what the controller needs of an allocator that runs here. Values are
// compared: a pool that was given up and taken up again is another one.
type Pool interface {
	// Uses tells what accounts with limits do; it resets their counts of tokens.
	Uses() []admission.QuotaUsage
	// SetParts puts parts in force. Until counts from the controller's start.
	SetParts(start time.Time, parts []admission.QuotaGrant)
}

// Transport carries a request to an owner. It bounds the time of the call.
type Transport interface {
	Renew(ctx context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error)
}

// Config holds what the controller works with; all but Metrics, Now and Spawn
// are required.
type Config struct {
	// Self is this process's address in the published list, Incarnation its
	// start, higher than that of any earlier process at the address.
	Self        string
	Incarnation uint64
	Table       *blackboard.Section[table.Table]
	Hosts       *blackboard.Section[configwatch.Hosts]
	// Pools lists the pools that run here by their names.
	Pools     func() map[string]Pool
	Transport Transport
	Metrics   metrics.Registry
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// Spawn runs a call beside the controller, on a goroutine by default.
	Spawn func(call func())
}

// Controller leases and asks. It is safe for concurrent use.
type Controller struct {
	filbertv1.UnimplementedQuotaServer

	cfg     Config
	start   time.Time
	metrics counters

	mu       sync.Mutex
	table    *table.Table
	hosts    *configwatch.Hosts
	limits   map[string]quota.Limits
	accounts *pools.AccountIndex
	owner    *quota.Owner
	arrivals arrivals
	holders  map[string]*holder
	retired  []retired
	// busy names the owners with a call in progress.
	busy  map[string]bool
	round time.Duration
}

type counters struct {
	demands, leases, late, failed, sent, received metrics.Counter
}

// New returns a controller.
func New(cfg Config) *Controller {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Spawn == nil {
		cfg.Spawn = func(call func()) { go call() }
	}
	return &Controller{
		cfg: cfg, start: cfg.Now(), metrics: newCounters(cfg.Metrics), limits: map[string]quota.Limits{},
		accounts: pools.NewAccountIndex(), owner: quota.NewOwner(quota.Config{}), arrivals: newArrivals(),
		holders: map[string]*holder{}, busy: map[string]bool{}, round: -roundEvery,
	}
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quota."+name, r) }
	return counters{
		demands: c("demands"), leases: c("leases"), late: c("demands_late"), failed: c("calls_failed"),
		sent: c("bytes_sent"), received: c("bytes_received"),
	}
}

// Run asks and puts in force until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.Step(ctx)
		}
	}
}

// Step looks at the pools once: it sends the demands that are due and puts the
// parts in force.
func (c *Controller) Step(ctx context.Context) {
	c.mu.Lock()
	c.follow()
	calls := c.collect(c.now())
	c.putInForce(c.now())
	c.mu.Unlock()
	for _, call := range calls {
		c.cfg.Spawn(func() { c.renew(ctx, call) })
	}
}

func (c *Controller) now() time.Duration { return c.cfg.Now().Sub(c.start) }

// follow takes what the blackboard shows of table and hosts.
func (c *Controller) follow() {
	t, hosts := c.cfg.Table.Get(), c.cfg.Hosts.Get()
	if t == nil || hosts == nil {
		return
	}
	newHosts := c.hosts == nil || hosts.Version != c.hosts.Version
	newTable := t != c.table
	c.hosts, c.table = hosts, t
	if newHosts {
		c.accounts.SetHosts(hostsOf(hosts.List))
	}
	if newTable {
		c.setLimits(t)
	}
	if newHosts || newTable {
		c.owner.SetOwnedAccounts(c.now(), hosts.Version.Revision, c.accounts.OwnedBy(c.cfg.Self))
	}
	// The list comes before its confirmation: the other way round a list that
	// was never confirmed would be trusted for what was said of the one before.
	if !hosts.ConfirmedAt.IsZero() {
		c.owner.ConfirmHostList(hosts.ConfirmedAt.Sub(c.start))
	}
}

func (c *Controller) setLimits(t *table.Table) {
	limits := map[string]quota.Limits{}
	names := []string{}
	for _, a := range t.Accounts {
		if a.HasFleetLimit() {
			limits[a.Name] = quota.Limits{Running: a.MaxRunning, TokensPerSecond: a.TokensPerSecond}
			names = append(names, a.Name)
		}
	}
	c.limits = limits
	c.accounts.SetAccounts(names)
}

func hostsOf(list []configservice.Host) []pools.Host {
	out := make([]pools.Host, len(list))
	for i, h := range list {
		out[i] = pools.Host{ControlAddress: h.Control, DataCentre: h.DataCentre, Leaving: h.State != configservice.StateLive}
	}
	return out
}
