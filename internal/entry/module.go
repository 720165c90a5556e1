package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/hedge"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/entry/callerapi"
	"filbertdeck/internal/entry/generation"
	"filbertdeck/internal/entry/servicecall"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
	"filbertdeck/internal/lifecycle"
	"filbertdeck/internal/metrics"
	"filbertdeck/internal/process"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/targetclient"
	"filbertdeck/internal/tlsidentity"
)

// Options returns the fx options that build the program from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			tlsidentity.New, (*tlsidentity.Identity).Credentials, newProcessIdentity, newKeyRing, state.NewBoard, accounting.New, newLifecycle,
			newAdmissionClient, newTargetClient, newPicker, newRetryBudget, newGenerationRelay, newIdempotentRelay, newAtMostOnceRelay, newPeerForwarder, newAPI, newWatcher,
		),
		fx.Invoke(registerGauges, runWatcher, servePeers, serveAdmin, serveCallers, runHostListRefresh),
	}
}

// newProcessIdentity draws a random incarnation, so that a restarted process at
// the same address counts as a different owner of idempotency keys.
func newProcessIdentity(s *Settings) idempotency.Process {
	return idempotency.Process{Address: s.PeerListen, Incarnation: rand.Uint64() | 1}
}

// keyRingReloadInterval is how often the key ring file is checked for changes.
const keyRingReloadInterval = 2 * time.Second

func newKeyRing(lc fx.Lifecycle, s *Settings, log *slog.Logger) (*handle.KeyRing, error) {
	if s.KeyRing == "" {
		log.Warn("no key ring is set; resume handles and minted keys are valid in this process only")
		return handle.NewKeyRing(handle.RandomSecret())
	}
	file, err := handle.OpenFile(s.KeyRing)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--key-ring (FILBERT_ENTRY_KEY_RING) is %q", s.KeyRing)
	}
	process.RunPeriodically(lc, keyRingReloadInterval, func() { reloadKeyRing(file, log) })
	return file.KeyRing, nil
}

func reloadKeyRing(file *handle.KeyRingFile, log *slog.Logger) {
	switch changed, err := file.ReloadIfChanged(); {
	case err != nil:
		log.Warn("key ring refused; keeping the current key ring", "error", err)
	case changed:
		log.Info("key ring taken over")
	}
}

func newLifecycle(b *state.Board, s *Settings) *lifecycle.Lifecycle {
	return lifecycle.New(func() error {
		t := b.Table.Get()
		if t == nil || !b.Ready() {
			return failure.New(failure.KindNotReady, "the table has not been read yet")
		}
		if t.Drained[s.DataCentre] {
			return failure.New(failure.KindNotReady, "data centre %s is drained", s.DataCentre)
		}
		return nil
	}, s.StopNotice, s.StopWait)
}

func newAdmissionClient(lc fx.Lifecycle, self idempotency.Process, s *Settings, creds rpc.Credentials, b *state.Board, reg gometrics.Registry) *admit.Client {
	hello := &filbertv1.Hello{Entry: self.Address, Incarnation: self.Incarnation, DataCentre: s.DataCentre}
	c := admit.New(hello, creds, b.Owners, reg)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newTargetClient() *targetclient.Client { return targetclient.New(targetclient.Settings{}) }

func newPicker(b *state.Board, self idempotency.Process, s *Settings) *state.Picker {
	return state.NewPicker(b, self.Address, s.DataCentre)
}

func newRetryBudget() *retrybudget.Budget { return retrybudget.New(retrybudget.Config{}) }

func newGenerationRelay(
	admission *admit.Client, client *targetclient.Client, ring *handle.KeyRing, b *state.Board, picker *state.Picker, budget *retrybudget.Budget,
) *generation.Relay {
	return generation.NewRelay(admission, client, ring, picker, b.PoolOf, budget)
}

func newIdempotentRelay(admission *admit.Client, client *targetclient.Client, b *state.Board, picker *state.Picker, budget *retrybudget.Budget) *servicecall.IdempotentRelay {
	return &servicecall.IdempotentRelay{
		Admission: admission, Client: client, Picker: picker, RetryBudget: budget, Hedges: hedge.NewSet(hedge.Config{}),
		Board: b, StartTime: time.Now(),
	}
}

func newPeerForwarder(lc fx.Lifecycle, creds rpc.Credentials) *servicecall.PeerForwarder {
	p := servicecall.NewPeerForwarder(creds)
	lc.Append(fx.StopHook(p.Close))
	return p
}

func newAtMostOnceRelay(admission *admit.Client, ring *handle.KeyRing, self idempotency.Process, b *state.Board, picker *state.Picker, p *servicecall.PeerForwarder) *servicecall.AtMostOnceRelay {
	o := &servicecall.AtMostOnceRelay{
		Admission: admission, Client: targetclient.NewAtMostOnceClient(targetclient.Settings{}), Picker: picker,
		KeyRing: ring, Self: self, Board: b, Forwarder: p,
	}
	o.Init()
	return o
}

func newAPI(
	b *state.Board, usage *accounting.Recorder, life *lifecycle.Lifecycle, ring *handle.KeyRing,
	generations *generation.Relay, idempotent *servicecall.IdempotentRelay, atMostOnce *servicecall.AtMostOnceRelay, s *Settings,
) *callerapi.API {
	return &callerapi.API{
		Board: b, Accounting: usage, Lifecycle: life, KeyRing: ring, Generations: generations, Idempotent: idempotent, AtMostOnce: atMostOnce, BodyLimit: s.BodyLimit,
	}
}

func newWatcher(b *state.Board, usage *accounting.Recorder, self idempotency.Process, s *Settings, creds rpc.Credentials, log *slog.Logger) (*state.Watcher, error) {
	controls := s.Control
	if len(controls) == 0 {
		controls = []string{defaultControlAddress}
	}
	return state.NewWatcher(b, state.WatcherConfig{
		Controls: controls, Entry: self.Address, DataCentre: s.DataCentre, Creds: creds, Log: log,
		AccountingSnapshot: func(all bool) []byte {
			if all {
				return encodeSnapshot(usage.Snapshot(s.Host, s.DataCentre, self.Incarnation))
			}
			return encodeSnapshot(usage.ChangedSnapshot(s.Host, s.DataCentre, self.Incarnation))
		},
	})
}

func encodeSnapshot(s accounting.Snapshot) []byte {
	body, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return body
}

func runWatcher(lc fx.Lifecycle, w *state.Watcher) { process.RunInBackground(lc, w.Run) }

// hostListRefreshInterval is how often the registry of idempotency keys reads
// the host list. It is well below the time for which a confirmed list counts as
// fresh.
const hostListRefreshInterval = 500 * time.Millisecond

func runHostListRefresh(lc fx.Lifecycle, o *servicecall.AtMostOnceRelay) {
	process.RunPeriodically(lc, hostListRefreshInterval, o.RefreshHosts)
}

// registerGauges registers gauges for the requests in progress and for the
// number and size of recorded idempotency keys.
func registerGauges(reg gometrics.Registry, o *servicecall.AtMostOnceRelay, life *lifecycle.Lifecycle) {
	gometrics.NewRegisteredFunctionalGauge("entry.in_progress", reg, func() int64 { return int64(life.InProgress()) })
	gometrics.NewRegisteredFunctionalGauge("once.keys", reg, func() int64 { keys, _ := o.RecordSize(); return int64(keys) })
	gometrics.NewRegisteredFunctionalGauge("once.answer_bytes", reg, func() int64 { _, bytes := o.RecordSize(); return int64(bytes) })
}

func servePeers(lc fx.Lifecycle, id *tlsidentity.Identity, creds rpc.Credentials, o *servicecall.AtMostOnceRelay, b *state.Board, life *lifecycle.Lifecycle, s *Settings) {
	server := rpc.NewServer(creds)
	filbertv1.RegisterForwardServer(server, &servicecall.ForwardServer{Relay: o, Board: b, Begin: life.BeginRequest})
	process.ServeRPC(lc, server, id.Listen, s.PeerListen)
}

func serveAdmin(lc fx.Lifecycle, id *tlsidentity.Identity, reg gometrics.Registry, usage *accounting.Recorder, b *state.Board, self idempotency.Process, life *lifecycle.Lifecycle, s *Settings) {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", life.Healthz)
	r.HandleFunc("/readyz", life.Readyz)
	metrics.Mount(r, reg)
	r.HandleFunc("/state", b.ServeSummary)
	r.HandleFunc("/accounting", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encodeSnapshot(usage.Snapshot(s.Host, s.DataCentre, self.Incarnation)))
	})
	process.ServeAdmin(lc, r, id.ListenHTTP, s.AdminListen)
}

// serveCallers starts last and stops first. On stop it reports "not ready",
// waits for the requests in progress, and then shuts the HTTP server down.
func serveCallers(lc fx.Lifecycle, id *tlsidentity.Identity, api *callerapi.API, life *lifecycle.Lifecycle, s *Settings) {
	server := callerapi.NewServer(api.Handler())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return process.StartHTTP(server, id.ListenHTTP, s.Listen) },
		OnStop: func(ctx context.Context) error {
			err := life.Stop(ctx)
			return errors.Join(err, server.Shutdown(ctx))
		},
	})
}
