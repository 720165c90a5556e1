package control

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"log/slog"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/pools"
	"filbertdeck/internal/control/sessions"
	"filbertdeck/internal/control/state"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/metrics"
	"filbertdeck/internal/platform"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/secure"
	"filbertdeck/internal/targetclient"
)

// Options build the program from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			secure.New, (*secure.Identity).Credentials, newBoard, newStore, newWatcher, newManager, newSessions, newState,
		),
		fx.Invoke(serveAdmin, serveRPC, runManager, runWatcher),
	}
}

func newBoard() *configwatch.Board { return &configwatch.Board{} }

func newStore(b *configwatch.Board, log *slog.Logger, reg gometrics.Registry) (*configwatch.Store, error) {
	return configwatch.NewStore(b, configwatch.StoreConfig{Log: log, Metrics: reg})
}

func newWatcher(s *Settings, store *configwatch.Store) (*configwatch.Watcher, error) {
	client, err := platform.New(s.Platform, nil)
	if err != nil {
		return nil, err
	}
	return configwatch.NewWatcher(client, store), nil
}

func newManager(s *Settings, b *configwatch.Board, log *slog.Logger) *pools.Manager {
	return pools.NewManager(s.Listen, b, targetclient.New(targetclient.Settings{}), log)
}

func newSessions(m *pools.Manager) *sessions.Server {
	server := sessions.New(m)
	m.SetDeliver(server.Deliver)
	return server
}

func newState(b *configwatch.Board, m *pools.Manager, server *sessions.Server) *state.Service {
	return &state.Service{Board: b, Pools: m, Sessions: server, Backlog: m.Backlog}
}

func background(lc fx.Lifecycle, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(done); run(ctx) }()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
			case <-stop.Done():
			}
			return nil
		},
	})
}

func runWatcher(lc fx.Lifecycle, w *configwatch.Watcher) {
	w.SetReader(true)
	background(lc, w.Run)
}

func runManager(lc fx.Lifecycle, m *pools.Manager) { background(lc, m.Run) }

func serveRPC(lc fx.Lifecycle, s *Settings, id *secure.Identity, creds rpc.Credentials, service *state.Service) {
	server := rpc.NewServer(creds)
	filbertv1.RegisterAdmissionServer(server, service)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := id.Listen(s.Listen)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { server.Stop(); return nil },
	})
}

const adminReadLimit = 10 * time.Second

func serveAdmin(lc fx.Lifecycle, s *Settings, id *secure.Identity, reg gometrics.Registry, b *configwatch.Board) {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if b.Table.Get() == nil || b.Hosts.Get() == nil {
			failure.Write(w, failure.New(failure.KindNotReady, "the published documents have not been read yet"))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	metrics.Mount(r, reg)
	server := &http.Server{Handler: r, ReadHeaderTimeout: adminReadLimit}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := id.ListenHTTP(s.AdminListen)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
