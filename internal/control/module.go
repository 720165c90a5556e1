package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"google.golang.org/grpc/credentials/insecure"

	"filbertdeck/internal/adminapi"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/control/admin"
	"filbertdeck/internal/control/poolgossip"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/quota"
	"filbertdeck/internal/control/sessions"
	"filbertdeck/internal/control/state"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/metrics"
	"filbertdeck/internal/process"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/targetclient"
	"filbertdeck/internal/tlsidentity"
)

// Options build the program from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			tlsidentity.New, (*tlsidentity.Identity).Credentials, newBoard, newStore, newWatcher, newMembers, newGossip,
			newManager, newNews, newSessions, newState, newAdmin, newQuotaPeers, newQuota,
		),
		fx.Invoke(limitMemory, serveAdmin, serveRPC, runManager, runWatcher, runGossip, runQuota, runNews),
	}
}

// limitMemory lets the collector run earlier as the process comes near its
// budget of 32 MB a node: the live heap may otherwise double between two
// collections. The limit is soft; a process that needs more gets it.
func limitMemory(s *Settings) {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.MemoryLimit << 20)
	}
}

func newBoard() *configwatch.Board { return &configwatch.Board{} }

func newMembers() *gossip.Board { return &gossip.Board{} }

func newStore(b *configwatch.Board, log *slog.Logger, reg gometrics.Registry) (*configwatch.Store, error) {
	return configwatch.NewStore(b, configwatch.StoreConfig{Log: log, Metrics: reg})
}

func newWatcher(s *Settings, store *configwatch.Store) (*configwatch.Watcher, error) {
	client, err := configservice.New(s.Platform, nil)
	if err != nil {
		return nil, err
	}
	return configwatch.NewWatcher(client, store), nil
}

// newGossip draws the incarnation: a process that is replaced at the same
// address is another member.
func newGossip(
	s *Settings, store *configwatch.Store, b *configwatch.Board, members *gossip.Board, w *configwatch.Watcher,
	n *poolgossip.Board, creds rpc.Credentials, log *slog.Logger, reg gometrics.Registry,
) (*gossip.Controller, error) {
	transport := creds.Client
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return gossip.New(gossip.Config{
		Membership: membership.Config{
			Self: membership.Member{
				Address: s.Listen, Incarnation: uint64(time.Now().UnixMilli()), DataCentre: s.DataCentre,
			},
			Seed: rand.Uint64(),
		},
		Store: store, Hosts: &b.Hosts, Credentials: transport, SetReader: w.SetReader, Log: log, Metrics: reg,
		Hooks: gossip.Hooks{
			SupplyPools: n.SupplyPools, ReceivePools: n.TakePools, SupplyPoison: n.SupplyPoison, ReceivePoison: n.TakePoison,
			PushRequests: n.Urgent(),
		},
	}, members)
}

func newManager(s *Settings, b *configwatch.Board, store *configwatch.Store, log *slog.Logger) *poolmanager.Manager {
	return poolmanager.NewManager(s.Listen, b, store.IsReady, targetclient.New(targetclient.Settings{}), log)
}

func newQuotaPeers(creds rpc.Credentials) *quota.Peers { return quota.NewPeers(creds) }

func newQuota(
	s *Settings, b *configwatch.Board, m *poolmanager.Manager, peers *quota.Peers, reg gometrics.Registry,
) *quota.Controller {
	return quota.New(quota.Config{
		Self: s.Listen, Incarnation: uint64(time.Now().UnixMilli()), Table: &b.Table, Hosts: &b.Hosts,
		Pools: quota.Running(m), Transport: peers, Metrics: reg,
	})
}

func newNews(s *Settings, m *poolmanager.Manager) *poolgossip.Board {
	return poolgossip.New(s.Listen, m)
}

func newSessions(m *poolmanager.Manager) *sessions.Server {
	server := sessions.New(m)
	m.SetDeliver(server.Deliver)
	return server
}

func newState(b *configwatch.Board, m *poolmanager.Manager, server *sessions.Server, n *poolgossip.Board, members *gossip.Board, store *configwatch.Store) *state.Service {
	return &state.Service{
		Board: b, Pools: m, Sessions: server, Backlog: n.Backlog, Ready: store.IsReady,
		Gone: func() []string { return gone(members.Members.Get()) },
	}
}

// gone lists the members that are known to be dead or to have left.
func gone(v *membership.View) []string {
	if v == nil {
		return nil
	}
	var out []string
	for _, m := range v.Members {
		if m.State > membership.Suspect {
			out = append(out, m.Address)
		}
	}
	return out
}

func newAdmin(
	s *Settings, b *configwatch.Board, members *gossip.Board, service *state.Service, m *poolmanager.Manager, reg gometrics.Registry,
) (http.Handler, error) {
	tokens, err := admin.Tokens(s.OperatorKeys, s.MonitorKeys)
	if err != nil {
		return nil, err
	}
	source := &admin.Source{Self: s.Listen, State: service, Pools: m}
	return adminapi.New(adminapi.Config{
		Self: s.Listen, Tokens: tokens, Table: &b.Table, Hosts: &b.Hosts, Targets: &b.Targets, Rollout: &b.Rollout,
		Members: &members.Members, TargetSource: source, AccountSource: source, AccountingSource: source, Metrics: reg,
	}), nil
}

// runWatcher starts as a reader of the configuration service: a process that
// knows nobody yet has no other source. Gossip takes the role away once it
// sees that others have it.
func runWatcher(lc fx.Lifecycle, w *configwatch.Watcher) {
	w.SetReader(true)
	process.RunInBackground(lc, w.Run)
}

func runQuota(lc fx.Lifecycle, c *quota.Controller, peers *quota.Peers) {
	process.RunInBackground(lc, func(ctx context.Context) {
		defer peers.Close()
		c.Run(ctx)
	})
}

func runManager(lc fx.Lifecycle, m *poolmanager.Manager) { process.RunInBackground(lc, m.Run) }

func runNews(lc fx.Lifecycle, n *poolgossip.Board) { process.RunInBackground(lc, n.Run) }

// leaveLimit bounds telling the neighbours of a planned stop.
const leaveLimit = time.Second

func runGossip(lc fx.Lifecycle, c *gossip.Controller) {
	process.RunInBackground(lc, c.Run)
	lc.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaveLimit)
		defer cancel()
		c.AnnounceLeave(ctx)
	}))
}

func serveRPC(lc fx.Lifecycle, s *Settings, id *tlsidentity.Identity, creds rpc.Credentials, service *state.Service, g *gossip.Controller, q *quota.Controller) {
	server := rpc.NewServer(creds)
	filbertv1.RegisterAdmissionServer(server, service)
	filbertv1.RegisterQuotaServer(server, q)
	g.Register(server)
	process.ServeRPC(lc, server, id.Listen, s.Listen)
}

func serveAdmin(lc fx.Lifecycle, s *Settings, id *tlsidentity.Identity, reg gometrics.Registry, api http.Handler, store *configwatch.Store) {
	r := admin.Router(api, store.IsReady)
	metrics.Mount(r, reg)
	process.ServeAdmin(lc, r, id.ListenHTTP, s.AdminListen)
}
