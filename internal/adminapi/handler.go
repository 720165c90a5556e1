package adminapi

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

// Snapshot gives the snapshot in force; a *blackboard.Section is one.
type Snapshot[T any] interface{ Get() *T }

// TargetSource tells what the allocators of this process see of their targets.
type TargetSource interface {
	// TargetStatus fills the allocator's figures in; false when this process
	// does not admit to the target.
	TargetStatus(service, address string) (TargetStatus, bool)
}

// AccountSource tells what this process admits for an account.
type AccountSource interface {
	AccountStatus(name string) (running, waiting int, tokens uint64)
}

// AccountingSource gives the accounting of this process's host.
type AccountingSource interface {
	Accounting() AccountingDocument
}

// Config says where the handler's data come from. TargetFigures,
// AccountFigures and Accounting may be nil; their fields are then empty.
type Config struct {
	// Self names this control process (ip:port).
	Self   string
	Tokens []Token

	Table   Snapshot[table.Table]
	Hosts   Snapshot[configwatch.Hosts]
	Targets Snapshot[configwatch.Targets]
	Rollout Snapshot[configwatch.State]
	Members Snapshot[membership.View]

	TargetSource     TargetSource
	AccountSource    AccountSource
	AccountingSource AccountingSource
	Metrics          metrics.Registry
}

// handler answers the routes.
type handler struct {
	Config
	refused metrics.Counter
}

// The routes, as docs/openapi/admin.json names them.
const (
	routeHosts      = "/admin/v1/hosts"
	routeTargets    = "/admin/v1/targets"
	routeAccounts   = "/admin/v1/accounts"
	routeRollout    = "/admin/v1/rollout"
	routeTable      = "/admin/v1/table"
	routeAccounting = "/admin/v1/accounting"
)

// New returns the API's handler.
func New(cfg Config) *mux.Router {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	h := &handler{Config: cfg, refused: metrics.GetOrRegisterCounter("admin.unauthorized", cfg.Metrics)}
	r := mux.NewRouter()
	for path, answer := range map[string]func(Role) (any, error){
		routeHosts:      h.hosts,
		routeTargets:    h.targets,
		routeAccounts:   h.accounts,
		routeRollout:    h.rollout,
		routeTable:      h.table,
		routeAccounting: h.accounting,
	} {
		r.Handle(path, h.authorized(answer)).Methods(http.MethodGet)
	}
	r.NotFoundHandler = problem(failure.New(failure.KindNotFound, "no such resource"))
	r.MethodNotAllowedHandler = problem(failure.New(failure.KindMethod, "the administration API only reads: use GET"))
	return r
}

func problem(err *failure.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { failure.Write(w, err) })
}

// csvText is an answer that goes out as CSV.
type csvText []byte

func (h *handler) authorized(answer func(Role) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		role, err := roleOf(r, h.Tokens)
		if err != nil {
			h.refused.Inc(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			failure.Write(w, err)
			return
		}
		doc, err := answer(role)
		if err != nil {
			failure.Write(w, err)
			return
		}
		write(w, doc)
	})
}

func write(w http.ResponseWriter, doc any) {
	w.Header().Set("Cache-Control", "no-store")
	if text, ok := doc.(csvText); ok {
		w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		_, _ = w.Write(text)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(doc)
}

// notReady answers while something is not known yet; an empty list would read
// as if there were nothing.
func notReady(what string) error {
	return failure.New(failure.KindNotReady, "%s not known yet", what).WithRetryAfter(retryNotReady)
}
