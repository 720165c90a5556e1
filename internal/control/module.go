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

// Options returns the modules that build the program from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			tlsidentity.New, (*tlsidentity.Identity).Credentials, newConfigBoard, newStore, newWatcher, newGossipBoard, newGossip,
			newManager, newNewsStore, newSessions, newState, newAdmin, newQuotaPeers, newQuota,
		),
		fx.Invoke(setMemoryLimit, serveAdmin, serveRPC, runManager, runWatcher, runGossip, runQuota, runNewsStore),
	}
}

// setMemoryLimit makes the garbage collector run earlier as the process
// approaches its budget of 32 MB per node; the live heap may otherwise double
// between two collections. The limit is soft: a process that needs more memory
// gets it.
func setMemoryLimit(s *Settings) {
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(s.MemoryLimitMiB << 20)
	}
}

func newConfigBoard() *configwatch.Board { return &configwatch.Board{} }

func newGossipBoard() *gossip.Board { return &gossip.Board{} }

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

// newGossip uses the start time as the incarnation: a process that replaces
// another one at the same address is a different member.
func newGossip(
	s *Settings, store *configwatch.Store, b *configwatch.Board, gossipBoard *gossip.Board, w *configwatch.Watcher,
	newsStore *poolgossip.Store, creds rpc.Credentials, log *slog.Logger, reg gometrics.Registry,
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
			SupplyPools: newsStore.SupplyPools, ReceivePools: newsStore.ReceivePools, SupplyPoison: newsStore.SupplyPoison, ReceivePoison: newsStore.ReceivePoison,
			PushRequests: newsStore.Urgent(),
		},
	}, gossipBoard)
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
		Pools: quota.RunningPools(m), Transport: peers, Metrics: reg,
	})
}

func newNewsStore(s *Settings, m *poolmanager.Manager) *poolgossip.Store {
	return poolgossip.New(s.Listen, m)
}

func newSessions(m *poolmanager.Manager) *sessions.Server {
	server := sessions.New(m)
	m.SetDeliver(server.Deliver)
	return server
}

func newState(b *configwatch.Board, m *poolmanager.Manager, server *sessions.Server, newsStore *poolgossip.Store, gossipBoard *gossip.Board, store *configwatch.Store) *state.Service {
	return &state.Service{
		Board: b, Pools: m, Sessions: server, Backlog: newsStore.Backlog, Ready: store.IsReady,
		Departed: func() []string { return departedMembers(gossipBoard.Members.Get()) },
	}
}

// departedMembers returns the members that are known to be dead or to have left.
func departedMembers(v *membership.View) []string {
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
	s *Settings, b *configwatch.Board, gossipBoard *gossip.Board, service *state.Service, m *poolmanager.Manager, reg gometrics.Registry,
) (http.Handler, error) {
	tokens, err := admin.ParseTokens(s.OperatorKeys, s.MonitorKeys)
	if err != nil {
		return nil, err
	}
	source := &admin.Source{Self: s.Listen, State: service, Pools: m}
	return adminapi.New(adminapi.Config{
		Self: s.Listen, Tokens: tokens, Table: &b.Table, Hosts: &b.Hosts, Targets: &b.Targets, Rollout: &b.Rollout,
		Members: &gossipBoard.Members, TargetSource: source, AccountSource: source, AccountingSource: source, Metrics: reg,
	}), nil
}

// runWatcher starts as a reader of the configuration service, the only source
// of a process that knows no peers yet. Gossip takes the role away once it
// knows of other readers.
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

func runNewsStore(lc fx.Lifecycle, n *poolgossip.Store) { process.RunInBackground(lc, n.Run) }

// leaveTimeout bounds the time for announcing a planned stop to the neighbours.
const leaveTimeout = time.Second

func runGossip(lc fx.Lifecycle, c *gossip.Controller) {
	process.RunInBackground(lc, c.Run)
	lc.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
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
