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
	"filbertdeck/internal/secure"
	"filbertdeck/internal/targetclient"
)

// Options build the program from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			secure.New, (*secure.Identity).Credentials, newProcess, newRing, state.NewBoard, accounting.New, newLifecycle,
			newAdmission, newTargetClient, newPicker, newBudget, newRelay, newLookups, newOnce, newPeers, newAPI, newWatcher,
		),
		fx.Invoke(registerGauges, runWatcher, servePeers, serveAdmin, serveCallers, keepRegister),
	}
}

// newProcess draws the incarnation: another process at the same address is
// another owner of idempotency keys.
func newProcess(s *Settings) idempotency.Process {
	return idempotency.Process{Address: s.PeerListen, Incarnation: rand.Uint64() | 1}
}

// ringEvery is how often the key ring's file is looked at.
const ringEvery = 2 * time.Second

func newRing(lc fx.Lifecycle, s *Settings, log *slog.Logger) (*handle.Ring, error) {
	if s.KeyRing == "" {
		log.Warn("no key ring is set; handles open in this process only")
		return handle.NewRing(handle.RandomSecrets())
	}
	file, err := handle.OpenFile(s.KeyRing)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "--key-ring (FILBERT_ENTRY_KEY_RING) is %q", s.KeyRing)
	}
	process.Every(lc, ringEvery, func() { followRing(file, log) })
	return file.Ring, nil
}

func followRing(file *handle.File, log *slog.Logger) {
	switch changed, err := file.Refresh(); {
	case err != nil:
		log.Warn("key ring refused; the one in force stays", "error", err)
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
			return failure.New(failure.KindNotReady, "data centre %s is taken out", s.DataCentre)
		}
		return nil
	}, s.StopNotice, s.StopWait)
}

func newAdmission(lc fx.Lifecycle, self idempotency.Process, s *Settings, creds rpc.Credentials, b *state.Board, reg gometrics.Registry) *admit.Client {
	hello := &filbertv1.Hello{Entry: self.Address, Incarnation: self.Incarnation, DataCentre: s.DataCentre}
	c := admit.New(hello, creds, b.Owners, reg)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newTargetClient() *targetclient.Client { return targetclient.New(targetclient.Settings{}) }

func newPicker(b *state.Board, self idempotency.Process, s *Settings) *state.Picker {
	return state.NewPicker(b, self.Address, s.DataCentre)
}

func newBudget() *retrybudget.Budget { return retrybudget.New(retrybudget.Config{}) }

func newRelay(
	a *admit.Client, client *targetclient.Client, ring *handle.Ring, b *state.Board, pick *state.Picker, budget *retrybudget.Budget,
) *generation.Relay {
	return generation.NewRelay(a, client, ring, pick, b.PoolOf, budget)
}

func newLookups(a *admit.Client, client *targetclient.Client, b *state.Board, pick *state.Picker, budget *retrybudget.Budget) *servicecall.Lookups {
	return &servicecall.Lookups{
		Admission: a, Client: client, Pick: pick, Budget: budget, Hedges: hedge.NewSet(hedge.Config{}),
		Board: b, Start: time.Now(),
	}
}

func newPeers(lc fx.Lifecycle, creds rpc.Credentials) *servicecall.Peers {
	p := servicecall.NewPeers(creds)
	lc.Append(fx.StopHook(p.Close))
	return p
}

func newOnce(a *admit.Client, ring *handle.Ring, self idempotency.Process, b *state.Board, pick *state.Picker, p *servicecall.Peers) *servicecall.Once {
	o := &servicecall.Once{
		Admission: a, Client: targetclient.NewOnce(targetclient.Settings{}), Pick: pick,
		Ring: ring, Self: self, Board: b, Forwarder: p,
	}
	o.Open()
	return o
}

func newAPI(
	b *state.Board, books *accounting.Book, life *lifecycle.Lifecycle, ring *handle.Ring,
	relay *generation.Relay, lookups *servicecall.Lookups, o *servicecall.Once, s *Settings,
) *callerapi.API {
	return &callerapi.API{
		Board: b, Books: books, Life: life, Ring: ring, Relay: relay, Lookups: lookups, Once: o, BodyLimit: s.BodyLimit,
	}
}

func newWatcher(b *state.Board, books *accounting.Book, self idempotency.Process, s *Settings, creds rpc.Credentials, log *slog.Logger) (*state.Watcher, error) {
	controls := s.Control
	if len(controls) == 0 {
		controls = []string{defaultControl}
	}
	return state.NewWatcher(b, state.Params{
		Controls: controls, Entry: self.Address, DataCentre: s.DataCentre, Creds: creds, Log: log,
		Snapshot: func(all bool) []byte {
			if all {
				return encode(books.Snapshot(s.Host, s.DataCentre, self.Incarnation))
			}
			return encode(books.ChangedSnapshot(s.Host, s.DataCentre, self.Incarnation))
		},
	})
}

func encode(s accounting.Snapshot) []byte {
	body, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return body
}

func runWatcher(lc fx.Lifecycle, w *state.Watcher) { process.Background(lc, w.Run) }

// registerEvery is how often the register of idempotency keys looks at the
// host list; it is well below the list's freshness bound.
const registerEvery = 500 * time.Millisecond

func keepRegister(lc fx.Lifecycle, o *servicecall.Once) { process.Every(lc, registerEvery, o.Refresh) }

// registerGauges shows what the entry holds.
func registerGauges(reg gometrics.Registry, o *servicecall.Once, life *lifecycle.Lifecycle) {
	gometrics.NewRegisteredFunctionalGauge("entry.in_progress", reg, func() int64 { return int64(life.Running()) })
	gometrics.NewRegisteredFunctionalGauge("once.keys", reg, func() int64 { keys, _ := o.Size(); return int64(keys) })
	gometrics.NewRegisteredFunctionalGauge("once.answer_bytes", reg, func() int64 { _, bytes := o.Size(); return int64(bytes) })
}

func servePeers(lc fx.Lifecycle, id *secure.Identity, creds rpc.Credentials, o *servicecall.Once, b *state.Board, life *lifecycle.Lifecycle, s *Settings) {
	server := rpc.NewServer(creds)
	filbertv1.RegisterForwardServer(server, &servicecall.Server{Once: o, Board: b, Begin: life.Begin})
	process.ServeRPC(lc, server, id.Listen, s.PeerListen)
}

func serveAdmin(lc fx.Lifecycle, id *secure.Identity, reg gometrics.Registry, books *accounting.Book, b *state.Board, self idempotency.Process, life *lifecycle.Lifecycle, s *Settings) {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", life.Healthz)
	r.HandleFunc("/readyz", life.Readyz)
	metrics.Mount(r, reg)
	r.HandleFunc("/state", b.ServeSummary)
	r.HandleFunc("/accounting", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encode(books.Snapshot(s.Host, s.DataCentre, self.Incarnation)))
	})
	process.ServeAdmin(lc, r, id.ListenHTTP, s.AdminListen)
}

// serveCallers is the last to start and the first to stop. Its stop reports
// "not ready", waits for the requests in progress, and only then closes.
func serveCallers(lc fx.Lifecycle, id *secure.Identity, api *callerapi.API, life *lifecycle.Lifecycle, s *Settings) {
	server := callerapi.NewServer(api.Handler())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return process.StartHTTP(server, id.ListenHTTP, s.Listen) },
		OnStop: func(ctx context.Context) error {
			err := life.Stop(ctx)
			return errors.Join(err, server.Shutdown(ctx))
		},
	})
}
