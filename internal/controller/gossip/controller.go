// Package gossip carries what control processes tell each other: members,
// rows of the documents in force, refusals, and what other controllers hand
// in. The decisions are in internal/decide/membership and
// internal/decide/rollout; this package does the I/O over grpc and is the only
// writer of the blackboard's section of members.
//
// Every call has a timeout of its own. A connection that something between
// the two hosts has lost track of stays open and answers nothing; a call that
// runs into its timeout therefore closes its connection, and the next one
// dials anew.
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

// Figures of the controller.
const (
	// tickEvery drives the core; five ticks fall within a probe's timeout.
	tickEvery = 100 * time.Millisecond
	// pushPause keeps a burst of edits from being sent one by one: edits
	// within it go out together.
	pushPause = 50 * time.Millisecond
	// pullTimeout bounds the transfer of whole documents, 3 MB at the target
	// size.
	pullTimeout = 5 * time.Second
	// askPause is the time between two questions of a new process to members
	// that have not vouched: three of them fit into the grace of a start.
	askPause = 500 * time.Millisecond
	// syncTimeout bounds the exchange of member lists, 130 KB at the target
	// size.
	syncTimeout = 2 * time.Second
	// maxCalls bounds calls in progress, so that a fleet of silent peers can't
	// pile up goroutines.
	maxCalls = 64
)

// Hooks let other controllers pass their news through gossip without this
// package knowing what it means. Nil functions carry nothing. Supply is asked
// for each message and must return quickly; Take gets what a peer supplied.
type Hooks struct {
	SupplyPools   func() []*filbertv1.PoolNews
	ReceivePools  func([]*filbertv1.PoolNews)
	SupplyPoison  func() []*filbertv1.PoisonNews
	ReceivePoison func([]*filbertv1.PoisonNews)
	// SupplyLoads is asked for each message to a neighbour: counts change
	// hundreds of times a second in a large fleet, and those that only ask a
	// reader of the store get them from their own neighbours already.
	// SupplyPublished is asked for each message to a peer.
	SupplyLoads  func(peer string) []*filbertv1.TargetLoad
	ReceiveLoads func(peer string, loads []*filbertv1.TargetLoad)
	// SupplyAlerts, like SupplyLoads, is asked for each message to a neighbour.
	SupplyAlerts    func(peer string) []*filbertv1.TargetLoad
	ReceiveAlerts   func(peer string, alerts []*filbertv1.TargetLoad)
	SupplyPublished func(peer string) *filbertv1.PublishedNews
	// ReceivePublished gets the time at which the question was asked that the news
	// answer; zero when they came unasked.
	ReceivePublished func(peer string, news *filbertv1.PublishedNews, asked time.Time)
	// ServeFetch answers a peer's Fetch.
	ServeFetch func(peer string, req *filbertv1.FetchRequest) *filbertv1.FetchReply
	// PushRequests is received from when there is news to supply that shouldn't wait
	// for the next probes.
	PushRequests <-chan struct{}
}

// Board is this controller's part of the blackboard.
type Board struct {
	Members blackboard.Section[membership.View]
}

// Config holds what the controller works with; Store, Hosts and Credentials
// are required.
type Config struct {
	// Membership carries this process's address, incarnation and data centre,
	// and the figures of the probes.
	Membership membership.Config
	// Seeds are known from the settings, for the time before the published
	// list was read.
	Seeds []membership.Peer
	// Store holds the documents in force.
	Store *configwatch.Store
	// Hosts is the published list.
	Hosts *blackboard.Section[configwatch.Hosts]
	// Credentials secure the connections to peers.
	Credentials credentials.TransportCredentials
	// SetReader gives or takes the role of watching the configuration service.
	SetReader func(bool)
	Hooks     Hooks
	Log       *slog.Logger
	Metrics   metrics.Registry
}

// Controller runs membership and the spreading of documents.
type Controller struct {
	filbertv1.UnimplementedGossipServer

	cfg     Config
	log     *slog.Logger
	metrics counters
	members *blackboard.Writer[membership.View]
	start   time.Time
	peers   *peers
	calls   chan struct{}
	// seeds is received from when the seeds were replaced.
	seeds chan struct{}

	mu       sync.Mutex
	core     *membership.Node
	heads    map[string]peerHeads
	pulling  map[string]bool
	version  uint64
	known    int
	lastPush time.Time
	// asked is when a member was last asked to vouch; Run alone uses it.
	asked time.Time
	// published is the list that the core was last given; Run alone uses it.
	published *configwatch.Hosts
}

// peerHeads is what a peer was last known to hold.
type peerHeads map[configwatch.Section]peerHead

type peerHead struct {
	rollout.Head
	// refused is the version that the peer knows to have failed validation.
	refused rollout.Version
}

type counters struct {
	sent, received, fetchSent, probes, probesFailed, pulls, syncs, redials metrics.Counter
}

// New returns a controller and claims the section of members.
func New(cfg Config, board *Board) (*Controller, error) {
	if cfg.Store == nil || cfg.Hosts == nil || cfg.Credentials == nil {
		return nil, failure.New(failure.KindInternal, "gossip needs store, hosts and credentials")
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
	w, err := board.Members.Claim()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, log: cfg.Log, metrics: newCounters(cfg.Metrics), members: w, start: time.Now(),
		calls: make(chan struct{}, maxCalls), seeds: make(chan struct{}, 1), core: membership.New(cfg.Membership),
		heads: map[string]peerHeads{}, pulling: map[string]bool{},
	}
	c.peers = newPeers(cfg.Credentials, c.metrics)
	c.publishedChanged()
	return c, nil
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gossip."+name, r) }
	return counters{
		sent: c("bytes_sent"), received: c("bytes_received"), fetchSent: c("fetch_bytes_sent"), probes: c("probes"),
		probesFailed: c("probes_failed"), pulls: c("pulls"), syncs: c("syncs"), redials: c("redials"),
	}
}

// now counts from the controller's start, on the monotonic clock.
func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Run probes and spreads until ctx is done, then closes the connections.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	defer c.peers.close()
	news, hosts := c.cfg.Store.Changed(), c.cfg.Hosts.Changed()
	c.publishedChanged()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx)
		case <-hosts:
			// The next channel is taken before the change is worked in: a change
			// that comes meanwhile must not be missed.
			hosts = c.cfg.Hosts.Changed()
			c.publishedChanged()
		case <-c.seeds:
			c.publishedChanged()
		case <-news:
			news = c.cfg.Store.Changed()
			c.push(ctx)
		case <-c.cfg.Hooks.PushRequests:
			c.pushNews(ctx)
		}
	}
}

// AnnounceLeave tells the neighbours that this process stops by plan, so that nobody
// waits for it to be found dead.
func (c *Controller) AnnounceLeave(ctx context.Context) {
	c.mu.Lock()
	actions := c.core.Leave()
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() { c.probe(ctx, a) })
	}
	wg.Wait()
}

func (c *Controller) tick(ctx context.Context) {
	c.mu.Lock()
	actions := c.core.Tick(c.now())
	view := c.core.View()
	changed := view.Version != c.version
	c.version = view.Version
	known := c.known
	c.mu.Unlock()
	if changed {
		c.members.Publish(view)
		c.peers.keep(view.Neighbours)
		c.forgetHeads(view.Neighbours)
		c.cfg.SetReader(view.IsReader())
		c.cfg.Store.Peers(max(known, len(view.LiveAddresses(""))-1))
	}
	c.cfg.Store.IsReady()
	c.askMore(ctx, view)
	for _, a := range actions {
		c.spawn(func() { c.perform(ctx, a) })
	}
}

// spawn runs a call, or drops it when too many are in progress; the core
// notices that as a probe without an answer.
func (c *Controller) spawn(call func()) {
	select {
	case c.calls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.calls }()
		call()
	}()
}

func (c *Controller) perform(ctx context.Context, a membership.Action) {
	switch a.Kind {
	case membership.ActionProbe:
		c.probe(ctx, a)
	case membership.ActionIndirectProbe:
		c.probeVia(ctx, a)
	case membership.ActionSync:
		c.sync(ctx, a)
	}
}

// SetSeeds replaces the seeds of the settings.
func (c *Controller) SetSeeds(seeds []membership.Peer) {
	c.mu.Lock()
	c.cfg.Seeds = seeds
	c.mu.Unlock()
	wake.Signal(c.seeds)
}

// publishedChanged hands the published list and the seeds to the core. A
// snapshot that only confirms the list again, as one does each second, is
// passed over: working out neighbours for 3,300 members takes milliseconds.
func (c *Controller) publishedChanged() {
	c.mu.Lock()
	list := append([]membership.Peer(nil), c.cfg.Seeds...)
	c.mu.Unlock()
	if hosts := c.cfg.Hosts.Get(); hosts != nil {
		if c.published != nil && c.published.Version == hosts.Version && slices.Equal(c.published.List, hosts.List) {
			return
		}
		c.published = hosts
		// The list says more of a seed than the settings do.
		list = list[:0]
		for _, h := range hosts.List {
			list = append(list, membership.Peer{
				Address: h.Control, DataCentre: h.DataCentre, Leaving: h.State != "live",
			})
		}
	}
	others := 0
	for _, p := range list {
		if p.Address != c.cfg.Membership.Self.Address && !p.Leaving {
			others++
		}
	}
	c.mu.Lock()
	c.core.SetPublishedPeers(c.now(), list)
	c.known = others
	c.mu.Unlock()
	c.cfg.Store.Peers(others)
}

func (c *Controller) probeTimeout() time.Duration {
	if t := c.cfg.Membership.ProbeTimeout; t > 0 {
		return t
	}
	return membership.DefaultProbeTimeout
}
