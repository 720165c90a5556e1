package gatewayhost

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"google.golang.org/grpc/credentials/insecure"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
	"filbertdeck/internal/rolloutwire"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/wake"
)

const (
	// tellEvery is the least time between two rounds of news to all
	// neighbours. A generation starts at a host every few seconds; a count that
	// is a tenth of a second old is still right.
	tellEvery = 100 * time.Millisecond
	// askEvery is how often a host that does not read the store itself asks one
	// that does: an engine that is taken away leaves after one and a half
	// seconds, what operators publish must be in force within two.
	askEvery = 200 * time.Millisecond
)

// fleet carries news between this host and the others.
type fleet struct {
	published *recordsync.Controller
	roles     *roles
	loads     *gateway.TargetLoads
	suspects  *gateway.CrashEvidence
	fetcher   *fetcher
	now       Clock
	urgent    chan struct{}

	mu sync.Mutex
	// behind are peers that still held less than this host after it told them.
	behind map[string]bool
}

func newFleet(
	p *recordsync.Controller, roles *roles, loads *gateway.TargetLoads, suspects *gateway.CrashEvidence, fetcher *fetcher, now Clock,
) *fleet {
	f := &fleet{
		published: p, roles: roles, loads: loads, suspects: suspects, fetcher: fetcher, now: now,
		urgent: make(chan struct{}, 1), behind: map[string]bool{},
	}
	fetcher.supply, fetcher.take = f.supplyPublished, f.takePublished
	return f
}

// run tells other hosts what is new here.
func (f *fleet) run(ctx context.Context, c *gossip.Controller) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.loads.LoadsChanged():
			if f.loads.SendsToOwnersOnly() {
				continue
			}
		case <-f.loads.AlertsChanged():
		case <-f.published.NewsReady():
			if heads := f.roles.others(); len(heads) > 0 {
				for _, head := range heads {
					c.ProbeNow(ctx, head)
				}
				wake.Sleep(ctx, tellEvery)
				continue
			}
		case <-f.suspects.Changed():
		}
		wake.Signal(f.urgent)
		wake.Sleep(ctx, tellEvery)
	}
}

// ask asks a reader of the store what is new, one that should read when none
// is known, and all neighbours when there is nobody else, while this host does
// not hear from the store itself. A host that reads for want of others asks too.
func (f *fleet) ask(ctx context.Context, c *gossip.Controller) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for peer := range f.takeBehind() {
			c.ProbeNow(ctx, peer)
		}
		if !f.published.NeedsPeerNews() && !f.roles.unsure() {
			continue
		}
		if host, ok := f.roles.next(); ok {
			c.ProbeNow(ctx, host)
		} else {
			wake.Signal(f.urgent)
		}
	}
}

// takeBehind gives the peers that were seen to hold less than this host.
func (f *fleet) takeBehind() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.behind
	f.behind = map[string]bool{}
	return was
}

func (f *fleet) hooks() gossip.Hooks {
	return gossip.Hooks{
		SupplyLoads: f.supplyLoads, ReceiveLoads: f.takeLoads, SupplyAlerts: f.supplyAlerts, ReceiveAlerts: f.takeAlerts,
		SupplyPoison: f.supplyPoison, ReceivePoison: f.takePoison,
		SupplyPublished: f.supplyPublished, ReceivePublished: f.takePublished, ServeFetch: f.fetcher.give, PushRequests: f.urgent,
	}
}

func (f *fleet) supplyLoads(peer string) []*filbertv1.TargetLoad {
	return toWire(f.loads.PendingLoads(peer), f.now())
}

func (f *fleet) takeLoads(peer string, loads []*filbertv1.TargetLoad) {
	f.loads.MergeLoads(peer, fromWire(loads, f.now()))
}

func (f *fleet) supplyAlerts(peer string) []*filbertv1.TargetLoad {
	return toWire(f.loads.PendingAlerts(peer), f.now())
}

func (f *fleet) takeAlerts(peer string, alerts []*filbertv1.TargetLoad) {
	f.loads.MergeAlerts(peer, fromWire(alerts, f.now()))
}

// toWire gives counts as they are told at a time on the steady clock.
func toWire(counts []targetload.HostLoad, now time.Duration) []*filbertv1.TargetLoad {
	out := make([]*filbertv1.TargetLoad, len(counts))
	for i, c := range counts {
		out[i] = &filbertv1.TargetLoad{
			Host: c.Host, Target: c.Target, Version: c.Version, Running: count(c.Running), Tokens: count(c.ReservedTokens), Unread: count(c.UnreadTokens), Leaving: c.Leaving,
			StepUs: count(int(c.TimePerToken.Microseconds())), Copies: count(c.BackupTokens), Failures: c.FailureSeq,
			Rate: toWireRate(c.AdvertisedRate, now),
		}
	}
	return out
}

func toWireRate(w *targetrate.Advertisement, now time.Duration) *filbertv1.TargetRate {
	if w == nil {
		return nil
	}
	return &filbertv1.TargetRate{Limited: w.Limited, PerSecond: w.PerSecond, AgeMs: count(int((now - w.At).Milliseconds()))}
}

func fromWireRate(r *filbertv1.TargetRate, now time.Duration) *targetrate.Advertisement {
	if r == nil {
		return nil
	}
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	return &targetrate.Advertisement{Limited: r.GetLimited(), PerSecond: r.GetPerSecond(), At: now - age}
}

func count(n int) uint32 { return uint32(max(n, 0)) }

func fromWire(loads []*filbertv1.TargetLoad, now time.Duration) []targetload.HostLoad {
	counts := make([]targetload.HostLoad, len(loads))
	for i, l := range loads {
		counts[i] = targetload.HostLoad{
			Host: l.GetHost(), Target: l.GetTarget(), Version: l.GetVersion(), Leaving: l.GetLeaving(),
			TimePerToken: time.Duration(l.GetStepUs()) * time.Microsecond, FailureSeq: l.GetFailures(), AdvertisedRate: fromWireRate(l.GetRate(), now),
			Load: targetload.Load{Running: int(l.GetRunning()), ReservedTokens: int(l.GetTokens()), UnreadTokens: int(l.GetUnread()), BackupTokens: int(l.GetCopies())},
		}
	}
	return counts
}

func (f *fleet) supplyPoison() []*filbertv1.PoisonNews {
	crashes := f.suspects.Export()
	out := make([]*filbertv1.PoisonNews, len(crashes))
	for i, c := range crashes {
		out[i] = &filbertv1.PoisonNews{Id: c.ID, AgeMs: uint32(c.Age.Milliseconds()), Fingerprints: c.Fingerprints}
	}
	return out
}

func (f *fleet) takePoison(list []*filbertv1.PoisonNews) {
	crashes := make([]poison.Crash, len(list))
	for i, n := range list {
		crashes[i] = poison.Crash{
			ID: n.GetId(), Age: time.Duration(n.GetAgeMs()) * time.Millisecond, Fingerprints: n.GetFingerprints(),
		}
	}
	f.suspects.Merge(crashes)
}

func (f *fleet) supplyPublished(peer string) *filbertv1.PublishedNews {
	n := f.published.NewsFor(peer)
	out := &filbertv1.PublishedNews{
		From: n.BaseRevision, Revision: n.Revision, Withheld: n.RecordsWithheld, Reading: n.IsReader, Relaying: f.roles.relaying(),
		StoreRejects: n.StoreRejectedRecently,
	}
	if n.Age >= 0 {
		// Rounded up: an age cut to whole milliseconds would make the news
		// younger with each hop.
		out.CurrentMs = uint64(n.Age.Milliseconds()) + 1
	}
	if n.AnswerOverdue > 0 {
		out.OverdueMs = uint64(n.AnswerOverdue.Milliseconds()) + 1
	}
	for _, r := range n.Records {
		out.Records = append(out.Records, r)
	}
	if n.Config.Version.Revision > 0 {
		out.Config = rolloutwire.ToHead("", n.Config)
	}
	if n.Delta != nil {
		out.ConfigDelta = rolloutwire.ToDelta("", *n.Delta)
	}
	return out
}

func (f *fleet) takePublished(peer string, news *filbertv1.PublishedNews, asked time.Time) {
	n := recordsync.News{
		BaseRevision: news.GetFrom(), Revision: news.GetRevision(), Age: -1, IsReader: news.GetReading(),
		Config: rolloutwire.FromHead(news.GetConfig()),
	}
	if ms := news.GetCurrentMs(); ms > 0 {
		n.Age = time.Duration(ms) * time.Millisecond
	}
	n.AnswerOverdue = time.Duration(news.GetOverdueMs()) * time.Millisecond
	f.roles.heard(peer, n.IsReader, news.GetRelaying(), news.GetStoreRejects(), n.Age)
	for _, r := range news.GetRecords() {
		n.Records = append(n.Records, json.RawMessage(r))
	}
	if d := news.GetConfigDelta(); d != nil {
		delta := rolloutwire.FromDelta(d)
		n.Delta = &delta
	}
	at := time.Duration(-1)
	if !asked.IsZero() {
		at = f.now() - time.Since(asked)
	}
	if f.published.ApplyNews(peer, n, at) {
		f.mu.Lock()
		f.behind[peer] = true
		f.mu.Unlock()
	}
	if news.GetWithheld() {
		f.fetcher.announced(peer, n.Revision)
	} else {
		f.fetcher.announced(peer, n.Config.Version.Revision)
	}
}

// newGossip draws the incarnation: a process that is replaced at the same
// address is another member. It carries no documents of the product's own
// configuration service here.
func newGossip(s *Settings, f *fleet, members *gossip.Board, log *slog.Logger, reg gometrics.Registry) (*gossip.Controller, error) {
	documents := &configwatch.Board{}
	store, err := configwatch.NewStore(documents, configwatch.StoreConfig{Log: log, Metrics: reg})
	if err != nil {
		return nil, err
	}
	return gossip.New(gossip.Config{
		Membership: membership.Config{
			Self: membership.Member{
				Address: s.Deployment.ListenPeers, Incarnation: uint64(time.Now().UnixMilli()), DataCentre: s.DataCentre,
			},
			Seed: rand.Uint64(),
		},
		Seeds: toPeers(s.Deployment.Seeds), Store: store, Hosts: &documents.Hosts, Credentials: insecure.NewCredentials(),
		Hooks: f.hooks(), Log: log, Metrics: reg,
	}, members)
}

func toPeers(addresses []string) []membership.Peer {
	peers := make([]membership.Peer, len(addresses))
	for i, a := range addresses {
		peers[i] = membership.Peer{Address: a}
	}
	return peers
}

func newMembers() *gossip.Board { return &gossip.Board{} }

// leaveLimit bounds telling the neighbours of a planned stop.
const leaveLimit = 300 * time.Millisecond

func runFleet(lc fx.Lifecycle, s *Settings, f *fleet, c *gossip.Controller) {
	server := rpc.NewServer(rpc.Credentials{})
	c.Register(server)
	process.ServeRPC(lc, server, listen, s.Deployment.ListenPeers)
	process.Background(lc, c.Run)
	process.Background(lc, func(ctx context.Context) { f.run(ctx, c) })
	process.Background(lc, func(ctx context.Context) { f.ask(ctx, c) })
	process.Background(lc, func(ctx context.Context) { f.fetcher.run(ctx, c) })
	lc.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaveLimit)
		defer cancel()
		c.AnnounceLeave(ctx)
	}))
}
