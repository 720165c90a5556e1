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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/fetch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/mirror"
	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
	"filbertdeck/internal/relay"
	"filbertdeck/internal/rolloutwire"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/wake"
)

const (
	// broadcastInterval is the minimum time between two broadcasts of changes
	// to all neighbours. A host starts a generation only every few seconds, so
	// a count that is 100 ms old is still accurate.
	broadcastInterval = 100 * time.Millisecond
	// evidenceInterval is the same for crash evidence, of which hosts learn seldom, while a
	// request that crashes targets is sent again within milliseconds.
	evidenceInterval = 10 * time.Millisecond
	// askInterval is how often a host that does not read the store queries one
	// that does. An engine that is withdrawn shuts down after 1.5 seconds, and
	// published configuration must take effect within two.
	askInterval = 200 * time.Millisecond
)

// peerExchange exchanges loads, alerts, crash evidence and published changes
// with other hosts.
type peerExchange struct {
	published    *recordsync.Controller
	roles        *readerRoles
	loads        *gateway.TargetLoads
	suspects     *gateway.CrashEvidence
	fetcher      *fetcher
	now          Clock
	log          *slog.Logger
	broadcastNow chan struct{}

	mu sync.Mutex
	// laggingPeers are peers that still held an older published revision after
	// this host sent them its own.
	laggingPeers map[string]bool
}

func newPeerExchange(
	p *recordsync.Controller, roles *readerRoles, loads *gateway.TargetLoads, suspects *gateway.CrashEvidence, fetcher *fetcher, now Clock, log *slog.Logger,
) *peerExchange {
	e := &peerExchange{
		published: p, roles: roles, loads: loads, suspects: suspects, fetcher: fetcher, now: now, log: log,
		broadcastNow: make(chan struct{}, 1), laggingPeers: map[string]bool{},
	}
	fetcher.supplyNews, fetcher.takeNews = e.supplyPublished, e.takePublished
	return e
}

// announceChanges sends this host's changes to other hosts.
func (e *peerExchange) announceChanges(ctx context.Context, c *gossip.Controller) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.loads.LoadsChanged():
			if e.loads.SendsToOwnersOnly() {
				continue
			}
		case <-e.loads.AlertsChanged():
		case <-e.published.NewsReady():
			if peers := e.roles.peersToNotify(); len(peers) > 0 {
				for _, peer := range peers {
					c.ProbeNow(ctx, peer)
				}
				wake.Sleep(ctx, broadcastInterval)
				continue
			}
		}
		wake.Signal(e.broadcastNow)
		wake.Sleep(ctx, broadcastInterval)
	}
}

// announceEvidence sends this host's new crash evidence to other hosts.
func (e *peerExchange) announceEvidence(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.suspects.Changed():
		}
		wake.Signal(e.broadcastNow)
		wake.Sleep(ctx, evidenceInterval)
	}
}

// pollSources queries a reader of the store for changes while this host does
// not receive them from the store itself. Without a known reader it queries a
// host that should be one, and without any such host all neighbours. A host
// that reads only as a substitute queries as well.
func (e *peerExchange) pollSources(ctx context.Context, c *gossip.Controller) {
	tick := time.NewTicker(askInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for peer := range e.takeLaggingPeers() {
			c.ProbeNow(ctx, peer)
		}
		if !e.published.NeedsPeerNews() && !e.roles.readsAsSubstitute() {
			continue
		}
		if host, ok := e.roles.nextSource(); ok {
			c.ProbeNow(ctx, host)
		} else {
			wake.Signal(e.broadcastNow)
		}
	}
}

// takeLaggingPeers returns and clears the peers that hold an older revision
// than this host.
func (e *peerExchange) takeLaggingPeers() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := e.laggingPeers
	e.laggingPeers = map[string]bool{}
	return peers
}

func (e *peerExchange) hooks() gossip.Hooks {
	return gossip.Hooks{
		SupplyLoads: e.supplyLoads, ReceiveLoads: e.takeLoads, SupplyAlerts: e.supplyAlerts, ReceiveAlerts: e.takeAlerts,
		SupplyPoison: e.supplyPoison, ReceivePoison: e.takePoison,
		SupplyCompletions: e.supplyCompletions, ReceiveCompletions: e.takeCompletions,
		SupplyPublished: e.supplyPublished, ReceivePublished: e.takePublished, ServeFetch: e.fetcher.serveFetch, PushRequests: e.broadcastNow,
	}
}

func (e *peerExchange) supplyLoads(peer string) []*filbertv1.TargetLoad {
	return encodeCounts(e.loads.PendingLoads(peer), e.now())
}

func (e *peerExchange) takeLoads(peer string, loads []*filbertv1.TargetLoad) {
	e.loads.MergeLoads(peer, decodeCounts(loads, e.now()))
}

func (e *peerExchange) supplyAlerts(peer string) []*filbertv1.TargetLoad {
	return encodeCounts(e.loads.PendingAlerts(peer), e.now())
}

func (e *peerExchange) takeAlerts(peer string, alerts []*filbertv1.TargetLoad) {
	for _, leaving := range e.loads.MergeAlerts(peer, decodeCounts(alerts, e.now())) {
		e.log.Info("target says that it leaves", "target", leaving.TargetID, "started", leaving.StartedUnixMilli, "source", "peer "+peer)
	}
}

// encodeCounts encodes counts for the wire. now is the monotonic time from
// which ages are computed.
func encodeCounts(counts []targetload.HostLoad, now time.Duration) []*filbertv1.TargetLoad {
	out := make([]*filbertv1.TargetLoad, len(counts))
	for i, c := range counts {
		out[i] = &filbertv1.TargetLoad{
			Host: c.Host, Target: c.Target, Version: c.Version, Running: toUint32(c.Running), Tokens: toUint32(c.ReservedTokens), Unread: toUint32(c.UnreadTokens), Leaving: c.Leaving,
			StepUs: toUint32(int(c.TimePerToken.Microseconds())), Copies: toUint32(c.BackupTokens), Failures: c.FailureSeq,
			Rate: encodeRate(c.AdvertisedRate, now), Brittle: encodeBrittle(c.Brittle, now), LeavingLifetime: c.LeavingLifetime, Granted: encodeGranted(c.Granted),
		}
	}
	return out
}

func encodeGranted(g *targetload.Granted) *filbertv1.GrantedRoom {
	if g == nil {
		return nil
	}
	return &filbertv1.GrantedRoom{Running: toUint32(g.Running), Tokens: toUint32(g.ReservedTokens), Unread: toUint32(g.UnreadTokens), Version: g.Version, ExpiresInMs: toUint32(int(g.Lifetime.Milliseconds()))}
}

func decodeGranted(g *filbertv1.GrantedRoom) *targetload.Granted {
	if g == nil {
		return nil
	}
	return &targetload.Granted{
		Load:    targetload.Load{Running: int(g.GetRunning()), ReservedTokens: int(g.GetTokens()), UnreadTokens: int(g.GetUnread())},
		Version: g.GetVersion(), Lifetime: time.Duration(g.GetExpiresInMs()) * time.Millisecond,
	}
}

func encodeRate(rate *targetrate.Advertisement, now time.Duration) *filbertv1.TargetRate {
	if rate == nil {
		return nil
	}
	return &filbertv1.TargetRate{Limited: rate.Limited, PerSecond: rate.PerSecond, AgeMs: toUint32(int((now - rate.At).Milliseconds()))}
}

func decodeRate(rate *filbertv1.TargetRate, now time.Duration) *targetrate.Advertisement {
	if rate == nil {
		return nil
	}
	age := time.Duration(rate.GetAgeMs()) * time.Millisecond
	return &targetrate.Advertisement{Limited: rate.GetLimited(), PerSecond: rate.GetPerSecond(), At: now - age}
}

func encodeBrittle(said *brittle.Statement, now time.Duration) *filbertv1.TargetBrittle {
	if said == nil {
		return nil
	}
	return &filbertv1.TargetBrittle{Brittle: said.Brittle, Started: said.StartedUnixMilli, Slots: toUint32(said.Slots), AgeMs: toUint32(int((now - said.At).Milliseconds()))}
}

func decodeBrittle(said *filbertv1.TargetBrittle, now time.Duration) *brittle.Statement {
	if said == nil {
		return nil
	}
	age := time.Duration(said.GetAgeMs()) * time.Millisecond
	return &brittle.Statement{Brittle: said.GetBrittle(), StartedUnixMilli: said.GetStarted(), Slots: int(said.GetSlots()), At: now - age}
}

func toUint32(n int) uint32 { return uint32(max(n, 0)) }

func decodeCounts(loads []*filbertv1.TargetLoad, now time.Duration) []targetload.HostLoad {
	counts := make([]targetload.HostLoad, len(loads))
	for i, load := range loads {
		counts[i] = targetload.HostLoad{
			Host: load.GetHost(), Target: load.GetTarget(), Version: load.GetVersion(), Leaving: load.GetLeaving(),
			TimePerToken: time.Duration(load.GetStepUs()) * time.Microsecond, FailureSeq: load.GetFailures(), AdvertisedRate: decodeRate(load.GetRate(), now), Brittle: decodeBrittle(load.GetBrittle(), now), LeavingLifetime: load.LeavingLifetime, Granted: decodeGranted(load.GetGranted()),
			Load: targetload.Load{Running: int(load.GetRunning()), ReservedTokens: int(load.GetTokens()), UnreadTokens: int(load.GetUnread()), BackupTokens: int(load.GetCopies())},
		}
	}
	return counts
}

func (e *peerExchange) supplyPoison() []*filbertv1.PoisonNews {
	crashes := e.suspects.Export()
	out := make([]*filbertv1.PoisonNews, len(crashes))
	for i, c := range crashes {
		out[i] = encodeCrash(c)
	}
	return out
}

func encodeCrash(c poison.Crash) *filbertv1.PoisonNews {
	news := &filbertv1.PoisonNews{Id: c.ID, AgeMs: uint32(c.Age.Milliseconds())}
	hasParts := false
	for _, r := range c.Suspects {
		news.Fingerprints = append(news.Fingerprints, r.Fingerprint)
		news.Prompts = append(news.Prompts, &filbertv1.PromptParts{Parts: r.Parts})
		hasParts = hasParts || len(r.Parts) > 0
	}
	if !hasParts {
		news.Prompts = nil
	}
	return news
}

func decodeCrash(news *filbertv1.PoisonNews) poison.Crash {
	c := poison.Crash{ID: news.GetId(), Age: time.Duration(news.GetAgeMs()) * time.Millisecond, Suspects: poison.Requests(news.GetFingerprints())}
	for i, prompt := range news.GetPrompts() {
		if i < len(c.Suspects) {
			c.Suspects[i].Parts = prompt.GetParts()
		}
	}
	return c
}

func (e *peerExchange) takePoison(list []*filbertv1.PoisonNews) {
	crashes := make([]poison.Crash, len(list))
	for i, n := range list {
		crashes[i] = decodeCrash(n)
	}
	e.suspects.Merge(crashes)
}

func (e *peerExchange) supplyCompletions() []*filbertv1.SuspectCompletion {
	completions := e.suspects.ExportCompletions()
	out := make([]*filbertv1.SuspectCompletion, len(completions))
	for i, c := range completions {
		// Rounded up, so that no completion looks later than a crash that came after it.
		out[i] = &filbertv1.SuspectCompletion{Feature: c.Feature, AgeMs: uint32(c.Age.Milliseconds()) + 1}
	}
	return out
}

func (e *peerExchange) takeCompletions(list []*filbertv1.SuspectCompletion) {
	completions := make([]poison.Completion, len(list))
	for i, c := range list {
		completions[i] = poison.Completion{Feature: c.GetFeature(), Age: time.Duration(c.GetAgeMs()) * time.Millisecond}
	}
	e.suspects.MergeCompletions(completions)
}

func (e *peerExchange) supplyPublished(peer string) *filbertv1.PublishedNews {
	news := e.published.NewsFor(peer)
	out := &filbertv1.PublishedNews{
		FromEra: news.Base.Era, From: news.Base.Revision, Era: news.At.Era, Revision: news.At.Revision,
		ConfigEra: news.ConfigAt.Era, ConfigRevision: news.ConfigAt.Revision,
		Withheld: news.RecordsWithheld, Reading: news.IsReader, Relaying: e.roles.isRelay(),
		StoreRejects: news.StoreRejectedRecently, Restore: encodeRestore(news),
	}
	if news.Age >= 0 {
		// Rounded up: an age truncated to whole milliseconds would make the
		// data look more recent with each hop.
		out.CurrentMs = uint64(news.Age.Milliseconds()) + 1
	}
	if news.AnswerOverdue > 0 {
		out.OverdueMs = uint64(news.AnswerOverdue.Milliseconds()) + 1
	}
	for _, r := range news.Records {
		out.Records = append(out.Records, r)
	}
	for _, r := range news.Amendments {
		out.Amendments = append(out.Amendments, r)
	}
	if news.Config.Version.Revision > 0 {
		out.Config = rolloutwire.ToHead("", news.Config)
	}
	if news.Delta != nil {
		out.ConfigDelta = rolloutwire.ToDelta("", *news.Delta)
	}
	return out
}

// encodeRestore encodes what this host knows of the store's last restore; nil if
// it knows of none.
func encodeRestore(news recordsync.News) *filbertv1.StoreRestore {
	if news.Restore.Era == 0 {
		return nil
	}
	return &filbertv1.StoreRestore{Era: news.Restore.Era, CopyRevision: news.Restore.CopyRevision, SeenMs: uint64(news.RestoreAge.Milliseconds())}
}

// holdingOf returns what published data the sender of news holds.
func holdingOf(news *filbertv1.PublishedNews) fetch.Holding {
	return fetch.Holding{Config: news.GetConfig().GetRevision(), Records: directory.Position{Era: news.GetEra(), Revision: news.GetRevision()}}
}

// announcedHolding returns what published data a peer holds. Records that came
// with the news need not be fetched and are not among them.
func announcedHolding(news *filbertv1.PublishedNews) fetch.Holding {
	announced := holdingOf(news)
	if !news.GetWithheld() {
		announced.Records = directory.Position{}
	}
	return announced
}

func (e *peerExchange) takePublished(peer string, news *filbertv1.PublishedNews, requestedAt time.Time) {
	decoded := recordsync.News{
		Base:     directory.Position{Era: news.GetFromEra(), Revision: news.GetFrom()},
		At:       directory.Position{Era: news.GetEra(), Revision: news.GetRevision()},
		ConfigAt: directory.Position{Era: news.GetConfigEra(), Revision: news.GetConfigRevision()},
		Age:      -1, IsReader: news.GetReading(), Config: rolloutwire.FromHead(news.GetConfig()),
		Restore:    mirror.Restore{Era: news.GetRestore().GetEra(), CopyRevision: news.GetRestore().GetCopyRevision()},
		RestoreAge: time.Duration(news.GetRestore().GetSeenMs()) * time.Millisecond,
	}
	if currentMs := news.GetCurrentMs(); currentMs > 0 {
		decoded.Age = time.Duration(currentMs) * time.Millisecond
	}
	decoded.AnswerOverdue = time.Duration(news.GetOverdueMs()) * time.Millisecond
	e.roles.recordPeerRoles(peer, decoded.IsReader, news.GetRelaying(), news.GetStoreRejects(), decoded.Age)
	for _, r := range news.GetRecords() {
		decoded.Records = append(decoded.Records, json.RawMessage(r))
	}
	for _, r := range news.GetAmendments() {
		decoded.Amendments = append(decoded.Amendments, json.RawMessage(r))
	}
	if wireDelta := news.GetConfigDelta(); wireDelta != nil {
		delta := rolloutwire.FromDelta(wireDelta)
		decoded.Delta = &delta
	}
	requestTime := time.Duration(-1)
	if !requestedAt.IsZero() {
		requestTime = e.now() - time.Since(requestedAt)
	}
	if e.published.ApplyNews(peer, decoded, requestTime) {
		e.mu.Lock()
		e.laggingPeers[peer] = true
		e.mu.Unlock()
	}
	e.fetcher.recordAnnouncement(peer, announcedHolding(news))
}

// newGossip creates the gossip controller. The incarnation is the start
// time, so that a process that replaces another at the same address is a
// different member. The document store stays empty here: documents of
// filbertdeck's own configuration service are not distributed.
func newGossip(s *Settings, e *peerExchange, members *gossip.Board, log *slog.Logger, reg gometrics.Registry) (*gossip.Controller, error) {
	documents := &configwatch.Board{}
	store, err := configwatch.NewStore(documents, configwatch.StoreConfig{Log: log, Metrics: reg})
	if err != nil {
		return nil, err
	}
	_ = reg.Register("gossip.hosts", gometrics.NewFunctionalGauge(func() int64 { return hostCount(members) }))
	return gossip.New(gossip.Config{
		Membership: membership.Config{
			Self: membership.Member{
				Address: s.Deployment.ListenPeers, Incarnation: uint64(time.Now().UnixMilli()), DataCentre: s.DataCentre,
			},
			Seed: rand.Uint64(),
		},
		Seeds: membershipPeers(s.Deployment.Seeds), Store: store, Hosts: &documents.Hosts, Credentials: insecure.NewCredentials(),
		Hooks: e.hooks(), Log: log, Metrics: reg,
	}, members)
}

// hostCount returns the number of hosts in the membership view, the dead ones included.
func hostCount(members *gossip.Board) int64 {
	if view := members.Members.Get(); view != nil {
		return int64(len(view.Members))
	}
	return 0
}

func membershipPeers(addresses []string) []membership.Peer {
	peers := make([]membership.Peer, len(addresses))
	for i, a := range addresses {
		peers[i] = membership.Peer{Address: a}
	}
	return peers
}

func newMembersBoard() *gossip.Board { return &gossip.Board{} }

// leaveTimeout bounds notifying the neighbours of a planned stop.
const leaveTimeout = 300 * time.Millisecond

func runPeerExchange(lc fx.Lifecycle, s *Settings, e *peerExchange, c *gossip.Controller, relays *relay.Server, budgets *hostBudgets) {
	server := rpc.NewServer(rpc.Credentials{}, grpc.StreamInterceptor(budgets.servePeerStream))
	c.Register(server)
	filbertv1.RegisterRelayServer(server, relays)
	process.ServeRPC(lc, server, budgets.listenPeers, s.Deployment.ListenPeers)
	process.RunInBackground(lc, c.Run)
	process.RunInBackground(lc, func(ctx context.Context) { e.announceChanges(ctx, c) })
	process.RunInBackground(lc, e.announceEvidence)
	process.RunInBackground(lc, func(ctx context.Context) { e.pollSources(ctx, c) })
	process.RunInBackground(lc, func(ctx context.Context) { e.fetcher.run(ctx, c) })
	lc.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		c.AnnounceLeave(ctx)
	}))
}
