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

// SnapshotSource returns the snapshot in force; a *blackboard.Section
// implements it.
type SnapshotSource[T any] interface{ Get() *T }

// TargetSource provides the state of the targets from the allocators of this
// process.
type TargetSource interface {
	// TargetStatus returns a status with the allocator's fields set. It returns
	// false if this process does not admit requests to the target.
	TargetStatus(service, address string) (TargetStatus, bool)
}

// AccountSource provides the load that this process admits for an account.
type AccountSource interface {
	AccountStatus(name string) (running, waiting int, tokens uint64)
}

// AccountingSource provides the accounting of this process's host.
type AccountingSource interface {
	Accounting() AccountingDocument
}

// Config holds the data sources of the handler. TargetFigures, AccountFigures
// and Accounting may be nil: without the first two the fields that they provide
// are zero, without the third the accounting is answered as not ready.
type Config struct {
	// Self is the address of this control process (ip:port).
	Self   string
	Tokens []Token

	Table   SnapshotSource[table.Table]
	Hosts   SnapshotSource[configwatch.Hosts]
	Targets SnapshotSource[configwatch.Targets]
	Rollout SnapshotSource[configwatch.State]
	Members SnapshotSource[membership.View]

	TargetSource     TargetSource
	AccountSource    AccountSource
	AccountingSource AccountingSource
	Metrics          metrics.Registry
}

// handler serves the routes.
type handler struct {
	Config
	unauthorized metrics.Counter
}

// The routes, as listed in docs/openapi/admin.json.
const (
	routeHosts      = "/admin/v1/hosts"
	routeTargets    = "/admin/v1/targets"
	routeAccounts   = "/admin/v1/accounts"
	routeRollout    = "/admin/v1/rollout"
	routeTable      = "/admin/v1/table"
	routeAccounting = "/admin/v1/accounting"
)

// New returns the handler of the API.
func New(cfg Config) *mux.Router {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	h := &handler{Config: cfg, unauthorized: metrics.GetOrRegisterCounter("admin.unauthorized", cfg.Metrics)}
	r := mux.NewRouter()
	for path, buildDocument := range map[string]func(Role) (any, error){
		routeHosts:      h.hosts,
		routeTargets:    h.targets,
		routeAccounts:   h.accounts,
		routeRollout:    h.rollout,
		routeTable:      h.table,
		routeAccounting: h.accounting,
	} {
		r.Handle(path, h.authorize(buildDocument)).Methods(http.MethodGet)
	}
	r.NotFoundHandler = problemHandler(failure.New(failure.KindNotFound, "resource not found"))
	r.MethodNotAllowedHandler = problemHandler(failure.New(failure.KindMethod, "the administration API is read-only: use GET"))
	return r
}

func problemHandler(err *failure.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { failure.Write(w, err) })
}

// csvDocument is a response that is sent as CSV.
type csvDocument []byte

func (h *handler) authorize(buildDocument func(Role) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		role, err := authenticate(r, h.Tokens)
		if err != nil {
			h.unauthorized.Inc(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			failure.Write(w, err)
			return
		}
		doc, err := buildDocument(role)
		if err != nil {
			failure.Write(w, err)
			return
		}
		writeDocument(w, doc)
	})
}

func writeDocument(w http.ResponseWriter, doc any) {
	w.Header().Set("Cache-Control", "no-store")
	if text, ok := doc.(csvDocument); ok {
		w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		_, _ = w.Write(text)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected; nobody can be
	// informed.
	_ = json.NewEncoder(w).Encode(doc)
}

// notReady returns the error for data that is not available yet. An empty list
// would wrongly state that there are no entries.
func notReady(resource string) error {
	return failure.New(failure.KindNotReady, "%s is not available yet", resource).WithRetryAfter(notReadyRetryAfter)
}
