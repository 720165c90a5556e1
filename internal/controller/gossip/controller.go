// Package gossip exchanges state between control processes: the member list,
// rows of the documents in force, refused versions, and the updates of other
// controllers. internal/decide/membership and internal/decide/rollout make the
// decisions; this package does the I/O over gRPC and is the only writer of the
// blackboard's section of members.
//
// Every call has its own timeout. If a firewall or router between two hosts
// loses track of a connection, the connection stays open but carries no data. A
// call that times out therefore takes its connection out of use, and the next
// call opens a new one.
package gossip

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/credentials"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Timing and limits of the controller.
const (
	// tickInterval is the time between two ticks of the membership core; five
	// ticks fit into a probe's timeout.
	tickInterval = 100 * time.Millisecond
	// minPushInterval is the minimum time between two pushes. Edits that follow
	// each other more closely are sent together.
	minPushInterval = 50 * time.Millisecond
	// pullTimeout bounds the transfer of whole documents, 3 MB at the target
	// size.
	pullTimeout = 5 * time.Second
	// unsyncedProbeInterval is the time between two probes of a new process to
	// members that have not confirmed its documents; three of them fit into the
	// startup grace period.
	unsyncedProbeInterval = 500 * time.Millisecond
	// syncTimeout bounds the exchange of member lists, 130 KB at the target
	// size.
	syncTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the calls in progress, so that a fleet of
	// unresponsive peers does not accumulate goroutines.
	maxConcurrentCalls = 64
)

// Hooks let other controllers exchange data through gossip messages without
// this package knowing its meaning. Nil functions are skipped. Functions that
// supply data are called for each message and must return quickly; the others
// receive what a peer supplied.
type Hooks struct {
	SupplyPools   func() []*filbertv1.PoolNews
	ReceivePools  func([]*filbertv1.PoolNews)
	SupplyPoison  func() []*filbertv1.PoisonNews
	ReceivePoison func([]*filbertv1.PoisonNews)
	// ReceiveCompletions receives the completions of a message after its crashes.
	SupplyCompletions  func() []*filbertv1.SuspectCompletion
	ReceiveCompletions func([]*filbertv1.SuspectCompletion)
	// SupplyLoads is called only for messages to neighbours: in a large fleet
	// the counts change hundreds of times a second, and processes that only ask
	// a reader of the store already get them from their own neighbours.
	// SupplyPublished is called for each message to any peer.
	SupplyLoads  func(peer string) []*filbertv1.TargetLoad
	ReceiveLoads func(peer string, loads []*filbertv1.TargetLoad)
	// SupplyAlerts, like SupplyLoads, is called only for messages to
	// neighbours.
	SupplyAlerts    func(peer string) []*filbertv1.TargetLoad
	ReceiveAlerts   func(peer string, alerts []*filbertv1.TargetLoad)
	SupplyPublished func(peer string) *filbertv1.PublishedNews
	// ReceivePublished receives the time at which the request was sent that the
	// news answers; zero for news that was not requested.
	ReceivePublished func(peer string, news *filbertv1.PublishedNews, requestSentAt time.Time)
	// ServeFetch answers a peer's Fetch call.
	ServeFetch func(peer string, req *filbertv1.FetchRequest) *filbertv1.FetchReply
	// PushRequests receives a value when there are updates that should not wait for
	// the next probes.
	PushRequests <-chan struct{}
}

// Board holds the blackboard section that this package writes.
type Board struct {
	Members blackboard.Section[membership.View]
}

// Config holds the settings and dependencies of a Controller; Store, Hosts and
// Credentials are required.
type Config struct {
	// Membership holds this process's address, incarnation and data centre, and
	// the timing of the probes.
	Membership membership.Config
	// Seeds are the peers from the settings, used until the published host list
	// is available.
	Seeds []membership.Peer
	// Store holds the documents in force.
	Store *configwatch.Store
	// Hosts is the published host list.
	Hosts *blackboard.Section[configwatch.Hosts]
	// Credentials secure the connections to peers.
	Credentials credentials.TransportCredentials
	// SetReader is called with whether this process is to watch the
	// configuration service.
	SetReader func(bool)
	Hooks     Hooks
	Log       *slog.Logger
	Metrics   metrics.Registry
}

// Controller runs the membership protocol and distributes the documents.
type Controller struct {
	filbertv1.UnimplementedGossipServer

	cfg       Config
	log       *slog.Logger
	metrics   metricCounters
	members   *blackboard.Writer[membership.View]
	startedAt time.Time
	peers     *connectionPool
	callSlots chan struct{}
	// seedsChanged receives a value when the seeds were replaced.
	seedsChanged chan struct{}

	mu          sync.Mutex
	core        *membership.Node
	heads       map[string]peerHeads
	pulling     map[string]bool
	viewVersion uint64
	knownPeers  int
	lastPush    time.Time
	// lastUnsyncedProbe is the time of the last probe by probeUnsyncedPeer;
	// only Run uses it.
	lastUnsyncedProbe time.Time
	// lastHosts is the host list last passed to the core; only Run uses it.
	lastHosts *configwatch.Hosts
}

// peerHeads holds the versions of the documents that a peer was last known to
// hold.
type peerHeads map[configwatch.Section]peerHead

type peerHead struct {
	rollout.Head
	// refused is the version that the peer knows to have failed validation.
	refused rollout.Version
}

type metricCounters struct {
	sent, received, fetchSent, probes, probesFailed, pulls, syncs, redials metrics.Counter
}

// New returns a controller and claims the section of members.
func New(cfg Config, board *Board) (*Controller, error) {
	if cfg.Store == nil || cfg.Hosts == nil || cfg.Credentials == nil {
		return nil, failure.New(failure.KindInternal, "gossip: store, hosts and credentials are required")
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.SetReader == nil {
		cfg.SetReader = func(bool) {}
	}
	writer, err := board.Members.Claim()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, log: cfg.Log, metrics: newCounters(cfg.Metrics), members: writer, startedAt: time.Now(),
		callSlots: make(chan struct{}, maxConcurrentCalls), seedsChanged: make(chan struct{}, 1), core: membership.New(cfg.Membership),
		heads: map[string]peerHeads{}, pulling: map[string]bool{},
	}
	c.peers = newConnectionPool(cfg.Credentials, c.metrics)
	c.updateKnownPeers()
	return c, nil
}

func newCounters(registry metrics.Registry) metricCounters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gossip."+name, registry) }
	return metricCounters{
		sent: counter("bytes_sent"), received: counter("bytes_received"), fetchSent: counter("fetch_bytes_sent"), probes: counter("probes"),
		probesFailed: counter("probes_failed"), pulls: counter("pulls"), syncs: counter("syncs"), redials: counter("redials"),
	}
}

// now returns the monotonic time since the controller's start.
func (c *Controller) now() time.Duration { return time.Since(c.startedAt) }

// Run runs the protocol until ctx is done, then closes the connections.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.peers.close()
	storeChanged, hostsChanged := c.cfg.Store.Changed(), c.cfg.Hosts.Changed()
	c.updateKnownPeers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx)
		case <-hostsChanged:
			// The next channel is taken before the list is read, so that a
			// change in between is not missed.
			hostsChanged = c.cfg.Hosts.Changed()
			c.updateKnownPeers()
		case <-c.seedsChanged:
			c.updateKnownPeers()
		case <-storeChanged:
			storeChanged = c.cfg.Store.Changed()
			c.pushDocuments(ctx)
		case <-c.cfg.Hooks.PushRequests:
			c.probeNeighbours(ctx)
		}
	}
}

// AnnounceLeave announces a planned stop to the neighbours, so that no process has to
// detect it as a failure.
func (c *Controller) AnnounceLeave(ctx context.Context) {
	c.mu.Lock()
	actions := c.core.Leave()
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, action := range actions {
		wg.Go(func() { c.probe(ctx, action) })
	}
	wg.Wait()
}

func (c *Controller) tick(ctx context.Context) {
	c.mu.Lock()
	actions := c.core.Tick(c.now())
	view := c.core.View()
	changed := view.Version != c.viewVersion
	c.viewVersion = view.Version
	knownPeers := c.knownPeers
	c.mu.Unlock()
	if changed {
		c.members.Publish(view)
		c.peers.setNeighbours(view.Neighbours)
		c.pruneHeads(view.Neighbours)
		c.cfg.SetReader(view.IsReader())
		c.cfg.Store.SetPeerCount(max(knownPeers, len(view.EligibleAddresses(""))-1))
	}
	c.cfg.Store.IsReady()
	c.probeUnsyncedPeer(ctx, view)
	for _, action := range actions {
		c.spawn(func() { c.perform(ctx, action) })
	}
}

// spawn runs a call in the background, or drops it when too many are in
// progress; the core treats a dropped probe as one without an answer.
func (c *Controller) spawn(call func()) {
	select {
	case c.callSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.callSlots }()
		call()
	}()
}

func (c *Controller) perform(ctx context.Context, action membership.Action) {
	switch action.Kind {
	case membership.ActionProbe:
		c.probe(ctx, action)
	case membership.ActionIndirectProbe:
		c.probeIndirectly(ctx, action)
	case membership.ActionSync:
		c.syncMembers(ctx, action)
	}
}

// SetSeeds replaces the seeds from the settings.
func (c *Controller) SetSeeds(seeds []membership.Peer) {
	c.mu.Lock()
	c.cfg.Seeds = seeds
	c.mu.Unlock()
	wake.Signal(c.seedsChanged)
}

// updateKnownPeers passes the published host list, or the seeds if there is
// none, to the core. A snapshot that only confirms the same list, published
// about once a second, is skipped: computing the neighbours among 3,300 members
// takes milliseconds.
func (c *Controller) updateKnownPeers() {
	c.mu.Lock()
	knownList := append([]membership.Peer(nil), c.cfg.Seeds...)
	c.mu.Unlock()
	if hosts := c.cfg.Hosts.Get(); hosts != nil {
		if c.lastHosts != nil && c.lastHosts.Version == hosts.Version && slices.Equal(c.lastHosts.List, hosts.List) {
			return
		}
		c.lastHosts = hosts
		// The host list has more information about a seed than the settings do.
		knownList = knownList[:0]
		for _, h := range hosts.List {
			knownList = append(knownList, membership.Peer{
				Address: h.Control, DataCentre: h.DataCentre, Leaving: h.State != "live",
			})
		}
	}
	peerCount := 0
	for _, p := range knownList {
		if p.Address != c.cfg.Membership.Self.Address && !p.Leaving {
			peerCount++
		}
	}
	c.mu.Lock()
	c.core.SetPublishedPeers(c.now(), knownList)
	c.knownPeers = peerCount
	c.mu.Unlock()
	c.cfg.Store.SetPeerCount(peerCount)
}

func (c *Controller) probeTimeout() time.Duration {
	if t := c.cfg.Membership.ProbeTimeout; t > 0 {
		return t
	}
	return membership.DefaultProbeTimeout
}
