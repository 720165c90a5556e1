// Package callerapi implements the HTTP API for callers: completions, chat
// completions, calls to plain services, and idempotency keys.
package callerapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/entry/generation"
	"filbertdeck/internal/entry/servicecall"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
	"filbertdeck/internal/lifecycle"
	"filbertdeck/internal/table"
)

const (
	// headerLastEventID carries the handle with which a caller resumes a stream.
	headerLastEventID = "Last-Event-ID"
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes = 32 << 10
	// readHeaderTimeout limits the time in which a caller sends its headers, and
	// idleTimeout the time between two requests on one connection.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// notReadyRetryAfter is the retry delay returned to callers before the first
	// table has been received.
	notReadyRetryAfter = time.Second
	// unknownName replaces the account or service name in the accounting while
	// it is not known.
	unknownName = "-"
)

// API serves the HTTP requests of callers.
type API struct {
	Board       *state.Board
	Accounting  *accounting.Recorder
	Lifecycle   *lifecycle.Lifecycle
	KeyRing     *handle.KeyRing
	Generations *generation.Relay
	Idempotent  *servicecall.IdempotentRelay
	AtMostOnce  *servicecall.AtMostOnceRelay
	BodyLimit   int64
}

// NewServer returns an HTTP server with this API's size limits and timeouts.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
}

// Handler returns the router for callers' requests.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter()
	// Keep the path encoded and uncleaned, so that the target receives it as the
	// caller sent it.
	r.UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", a.Lifecycle.Healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.Lifecycle.Readyz).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", a.withAccount(a.completions(false))).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", a.withAccount(a.completions(true))).Methods(http.MethodPost)
	r.HandleFunc("/v1/idempotency-keys", a.withAccount(a.mintKey)).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}", a.withAccount(a.serviceCall))
	r.HandleFunc("/v1/services/{service}/{rest:.*}", a.withAccount(a.serviceCall))
	r.NotFoundHandler = problemHandler(failure.New(failure.KindNotFound, "no such path"))
	r.MethodNotAllowedHandler = problemHandler(failure.New(failure.KindMethod, "the path does not support this method"))
	return r
}

func problemHandler(f *failure.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { failure.Write(w, f) })
}

// request is an authenticated request of a caller.
type request struct {
	*http.Request
	table     *table.Table
	account   *table.Account
	arrivedAt time.Time
}

type requestHandler func(w http.ResponseWriter, r request)

// withAccount counts the request as in progress, authenticates it, and calls h.
func (a *API) withAccount(h requestHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		end, err := a.Lifecycle.BeginRequest()
		if err != nil {
			a.refuse(w, unknownName, unknownName, err)
			return
		}
		defer end()
		t := a.Board.Table.Get()
		if t == nil || !a.Board.Ready() {
			a.refuse(w, unknownName, unknownName, failure.New(failure.KindNotReady, "the table has not been read yet").WithRetryAfter(notReadyRetryAfter))
			return
		}
		account, err := authenticate(t, r)
		if err != nil {
			a.refuse(w, unknownName, unknownName, err)
			return
		}
		h(w, request{Request: r, table: t, account: account, arrivedAt: time.Now()})
	}
}

// refuse accounts for a request that fails before it is relayed, and writes the
// error.
func (a *API) refuse(w http.ResponseWriter, account, service string, err error) {
	a.Accounting.Begin(account, service).RecordOutcome(err)
	failure.Write(w, err)
}

// findService returns the named service if it exists and the account may use it.
func (r request) findService(name string) (*table.Service, error) {
	s, ok := r.table.Services[name]
	if !ok {
		return nil, failure.New(failure.KindUnknownService, "there is no service %q", name)
	}
	if err := authorize(r.account, name); err != nil {
		return nil, err
	}
	return s, nil
}

func (a *API) completions(chat bool) requestHandler {
	return func(w http.ResponseWriter, r request) {
		req, err := a.newGenerationRequest(w, r, chat)
		if err != nil {
			a.refuse(w, r.account.Name, unknownName, err)
			return
		}
		req.Accounting = a.Accounting.Begin(r.account.Name, req.Service.Name)
		req.Accounting.Update(func(c *accounting.Counts) { c.PromptTokens += uint64(req.PromptTokens) })
		req.Accounting.RecordOutcome(a.Generations.Serve(r.Context(), w, req))
	}
}

func (a *API) newGenerationRequest(w http.ResponseWriter, r request, chat bool) (generation.Request, error) {
	body, err := readBody(w, r.Request, a.BodyLimit)
	if err != nil {
		return generation.Request{}, err
	}
	c, err := parseCompletion(body, chat)
	if err != nil {
		return generation.Request{}, err
	}
	s, err := r.findService(c.Model)
	if err != nil {
		return generation.Request{}, err
	}
	if s.Type != table.ServiceGeneration {
		return generation.Request{}, failure.New(failure.KindBadRequest, "service %q is not a generation service", s.Name)
	}
	maxTokens, err := tokenLimit(c, s)
	if err != nil {
		return generation.Request{}, err
	}
	engineBody, err := c.engineBody(body, maxTokens)
	if err != nil {
		return generation.Request{}, err
	}
	req := generation.Request{
		Account: r.account, Service: s, Prompt: c.promptText(), PromptTokens: 1 + len(c.promptText())/charactersPerToken,
		MaxTokens: maxTokens, EngineBody: engineBody, Stream: c.Stream, Chat: chat, ArrivedAt: r.arrivedAt,
	}
	return req, a.openResumeHandle(&req, r)
}

// tokenLimit returns the caller's token limit, or the service's if the caller
// sets none. It fails if the caller's limit exceeds the service's.
func tokenLimit(c completionRequest, s *table.Service) (int, error) {
	limit := c.requestedMaxTokens()
	if limit == nil {
		return s.MaxTokens, nil
	}
	if s.MaxTokens > 0 && *limit > s.MaxTokens {
		return 0, failure.New(failure.KindBadRequest, "max_tokens exceeds the service's limit of %d", s.MaxTokens)
	}
	return *limit, nil
}

// openResumeHandle sets req.Resume if the caller resumes a stream.
func (a *API) openResumeHandle(req *generation.Request, r request) error {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return nil
	}
	h, err := a.KeyRing.Open(text, r.account.Name, r.arrivedAt)
	if err != nil {
		return err
	}
	if h.Service != req.Service.Name || !req.Stream {
		return failure.New(failure.KindHandleInvalid, "the handle belongs to a stream of another service").WithExecutionUnknown()
	}
	req.Resume = &h
	return nil
}

func (a *API) mintKey(w http.ResponseWriter, r request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(map[string]string{"key": a.AtMostOnce.MintKey(r.account.Name)})
}

func (a *API) serviceCall(w http.ResponseWriter, r request) {
	name := mux.Vars(r.Request)["service"]
	s, err := r.findService(name)
	if err == nil && s.Type == table.ServiceGeneration {
		err = failure.New(failure.KindBadRequest, "service %q generates text: use /v1/completions", name)
	}
	if err != nil {
		a.refuse(w, r.account.Name, unknownName, err)
		return
	}
	usage := a.Accounting.Begin(r.account.Name, s.Name)
	usage.RecordOutcome(a.relayCall(w, r, s, usage))
}

func (a *API) relayCall(w http.ResponseWriter, r request, s *table.Service, usage *accounting.RequestRecorder) error {
	body, err := readBody(w, r.Request, a.BodyLimit)
	if err != nil {
		failure.Write(w, err)
		return err
	}
	call := servicecall.Call{
		Account: r.account, Service: s, Method: r.Method, Path: targetPath(r),
		Header: r.Header, Body: body, Accounting: usage, ArrivedAt: r.arrivedAt,
	}
	if s.Type == table.ServiceOnce && !isSafeMethod(r.Method) {
		return a.AtMostOnce.Serve(r.Context(), w, call)
	}
	return a.Idempotent.Serve(r.Context(), w, call)
}

// isSafeMethod reports whether the method is safe, that is read-only (RFC 9110,
// section 9.2.1). Safe calls to a service with at-most-once calls may be
// repeated.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// targetPath returns the part of the path after the service name, with the
// query.
func targetPath(r request) string {
	path := "/" + mux.Vars(r.Request)["rest"]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
