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

// Intervals and bounds of the controller.
const (
	// stepInterval is the interval at which pools are examined, and so the
	// longest wait of an account's first request until its part is asked for.
	stepInterval = 100 * time.Millisecond
	// renewInterval is the interval of lease renewals, a third of a lease's
	// duration.
	renewInterval = time.Second
	// settlePeriod is how long a pool that is new at this process starts no
	// requests of limited accounts. Entries renew their leases within it, so that
	// running requests are counted; before that the pool looks idle and would
	// start as many again.
	settlePeriod = 3 * time.Second
	// releaseDelay is how long the parts of a removed pool still count. Requests
	// that run under them are counted by the pool's next allocator once entries
	// have found it and it has settled; until then neither would count them.
	releaseDelay = 10 * time.Second
	// maxDemandsPerPool bounds the demands of one pool in one round, 15 KB.
	maxDemandsPerPool = 256
)

// Pool is an allocator that runs here. Pools are compared by value: one that was
// removed and started again is a different pool.
type Pool interface {
	// Uses returns the use of limited accounts and resets their token counts.
	Uses() []admission.QuotaUsage
	// SetParts applies parts. Until counts from the controller's start time.
	SetParts(start time.Time, parts []admission.QuotaGrant)
}

// Transport sends a request to an owner. It bounds the duration of the call.
type Transport interface {
	Renew(ctx context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error)
}

// Config configures a controller; all fields but Metrics, Now and Spawn are
// required.
type Config struct {
	// Self is this process's address in the published list. Incarnation is its
	// start, higher than that of any earlier process at the address.
	Self        string
	Incarnation uint64
	Table       *blackboard.Section[table.Table]
	Hosts       *blackboard.Section[configwatch.Hosts]
	// Pools returns the pools that run here by name.
	Pools     func() map[string]Pool
	Transport Transport
	Metrics   metrics.Registry
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// Spawn runs a call concurrently, on a new goroutine by default.
	Spawn func(call func())
}

// Controller leases the limits that this process owns and requests leases for
// the pools that run here. It is safe for concurrent use.
type Controller struct {
	filbertv1.UnimplementedQuotaServer

	cfg     Config
	start   time.Time
	metrics counters

	mu              sync.Mutex
	table           *table.Table
	hosts           *configwatch.Hosts
	limits          map[string]quota.Limits
	accounts        *pools.AccountIndex
	owner           *quota.Owner
	requestFilter   requestFilter
	holders         map[string]*holder
	pendingReleases []pendingRelease
	// callsInProgress holds the owners with a call in progress.
	callsInProgress map[string]bool
	lastRound       time.Duration
}

type counters struct {
	demands, leases, lateDemands, failedCalls, bytesSent, bytesReceived metrics.Counter
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
		accounts: pools.NewAccountIndex(), owner: quota.NewOwner(quota.Config{}), requestFilter: newRequestFilter(),
		holders: map[string]*holder{}, callsInProgress: map[string]bool{}, lastRound: -renewInterval,
	}
}

func newCounters(r metrics.Registry) counters {
	newCounter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quota."+name, r) }
	return counters{
		demands: newCounter("demands"), leases: newCounter("leases"), lateDemands: newCounter("demands_late"), failedCalls: newCounter("calls_failed"),
		bytesSent: newCounter("bytes_sent"), bytesReceived: newCounter("bytes_received"),
	}
}

// Run renews and applies leases until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
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

// Step examines the pools once: it sends the demands that are due and applies
// the parts.
func (c *Controller) Step(ctx context.Context) {
	c.mu.Lock()
	c.syncBlackboard()
	calls := c.collectCalls(c.now())
	c.applyParts(c.now())
	c.mu.Unlock()
	for _, call := range calls {
		c.cfg.Spawn(func() { c.renew(ctx, call) })
	}
}

func (c *Controller) now() time.Duration { return c.cfg.Now().Sub(c.start) }

// syncBlackboard applies the published table and hosts.
func (c *Controller) syncBlackboard() {
	t, hosts := c.cfg.Table.Get(), c.cfg.Hosts.Get()
	if t == nil || hosts == nil {
		return
	}
	newHosts := c.hosts == nil || hosts.Version != c.hosts.Version
	newTable := t != c.table
	c.hosts, c.table = hosts, t
	if newHosts {
		c.accounts.SetHosts(ownerHosts(hosts.List))
	}
	if newTable {
		c.setLimits(t)
	}
	if newHosts || newTable {
		c.owner.SetOwnedAccounts(c.now(), hosts.Version.Revision, c.accounts.OwnedBy(c.cfg.Self))
	}
	// The list is set before its confirmation: in the other order a list that was
	// never confirmed would be trusted on the confirmation of the previous one.
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

func ownerHosts(list []configservice.Host) []pools.Host {
	out := make([]pools.Host, len(list))
	for i, h := range list {
		out[i] = pools.Host{ControlAddress: h.Control, DataCentre: h.DataCentre, Leaving: h.State != configservice.StateLive}
	}
	return out
}
