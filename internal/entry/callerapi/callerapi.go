// Package callerapi is the interface that callers use: completions, chat
// completions, plain services and idempotency keys, over HTTP.
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
	// headerLastEvent carries the handle with which a caller goes on.
	headerLastEvent = "Last-Event-ID"
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 32 << 10
	// readHeaderLimit bounds the time in which a caller sends its headers, and
	// idleLimit the time between two requests of one connection.
	readHeaderLimit = 10 * time.Second
	idleLimit       = 2 * time.Minute
	// retryNotReady is told to callers who come before the table is there.
	retryNotReady = time.Second
	// unnamed stands in the accounting where account or service is not known.
	unnamed = "-"
)

// API serves callers.
type API struct {
	Board     *state.Board
	Books     *accounting.Book
	Life      *lifecycle.Lifecycle
	Ring      *handle.Ring
	Relay     *generation.Relay
	Lookups   *servicecall.Lookups
	Once      *servicecall.Once
	BodyLimit int64
}

// NewServer returns an HTTP server with the limits of this interface.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderLimit, IdleTimeout: idleLimit,
	}
}

// Handler routes callers' requests.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter()
	// The path reaches the target as the caller wrote it.
	r.UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", a.Life.Healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.Life.Readyz).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", a.served(a.completions(false))).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", a.served(a.completions(true))).Methods(http.MethodPost)
	r.HandleFunc("/v1/idempotency-keys", a.served(a.mint)).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}", a.served(a.service))
	r.HandleFunc("/v1/services/{service}/{rest:.*}", a.served(a.service))
	r.NotFoundHandler = problem(failure.New(failure.KindNotFound, "no such path"))
	r.MethodNotAllowedHandler = problem(failure.New(failure.KindMethod, "the path does not take this method"))
	return r
}

func problem(f *failure.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { failure.Write(w, f) })
}

// request is a caller's request whose account is known.
type request struct {
	*http.Request
	table   *table.Table
	account *table.Account
	arrived time.Time
}

type handler func(w http.ResponseWriter, r request)

// served counts a request in progress and finds its account.
func (a *API) served(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		end, err := a.Life.Begin()
		if err != nil {
			a.refuse(w, unnamed, unnamed, err)
			return
		}
		defer end()
		t := a.Board.Table.Get()
		if t == nil || !a.Board.Ready() {
			a.refuse(w, unnamed, unnamed, failure.New(failure.KindNotReady, "the table has not been read yet").After(retryNotReady))
			return
		}
		acct, err := account(t, r)
		if err != nil {
			a.refuse(w, unnamed, unnamed, err)
			return
		}
		h(w, request{Request: r, table: t, account: acct, arrived: time.Now()})
	}
}

// refuse answers a request that did not get as far as being served.
func (a *API) refuse(w http.ResponseWriter, account, service string, err error) {
	a.Books.Begin(account, service).End(err)
	failure.Write(w, err)
}

// find gives the service that a request names.
func (r request) find(name string) (*table.Service, error) {
	s, ok := r.table.Services[name]
	if !ok {
		return nil, failure.New(failure.KindUnknownService, "there is no service %q", name)
	}
	if err := allowed(r.account, name); err != nil {
		return nil, err
	}
	return s, nil
}

func (a *API) completions(chat bool) handler {
	return func(w http.ResponseWriter, r request) {
		req, err := a.generationRequest(w, r, chat)
		if err != nil {
			a.refuse(w, r.account.Name, unnamed, err)
			return
		}
		req.Books = a.Books.Begin(r.account.Name, req.Service.Name)
		req.Books.Update(func(c *accounting.Counts) { c.PromptTokens += uint64(req.PromptTokens) })
		req.Books.End(a.Relay.Serve(r.Context(), w, req))
	}
}

func (a *API) generationRequest(w http.ResponseWriter, r request, chat bool) (generation.Request, error) {
	body, err := readBody(w, r.Request, a.BodyLimit)
	if err != nil {
		return generation.Request{}, err
	}
	c, err := parseCompletion(body, chat)
	if err != nil {
		return generation.Request{}, err
	}
	s, err := r.find(c.Model)
	if err != nil {
		return generation.Request{}, err
	}
	if s.Type != table.ServiceGeneration {
		return generation.Request{}, failure.New(failure.KindBadRequest, "service %q is a plain service", s.Name)
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
		Account: r.account, Service: s, Prompt: c.text(), PromptTokens: 1 + len(c.text())/charactersPerToken,
		MaxTokens: maxTokens, Body: engineBody, Stream: c.Stream, Chat: chat, Begun: r.arrived,
	}
	return req, a.resumed(&req, r)
}

// tokenLimit is the least of what the caller asks for and what the service's
// row allows.
func tokenLimit(c completionRequest, s *table.Service) (int, error) {
	limit := c.limit()
	if limit == nil {
		return s.MaxTokens, nil
	}
	if s.MaxTokens > 0 && *limit > s.MaxTokens {
		return 0, failure.New(failure.KindBadRequest, "max_tokens is over the service's %d", s.MaxTokens)
	}
	return *limit, nil
}

// resumed opens the handle of a caller that goes on with a stream.
func (a *API) resumed(req *generation.Request, r request) error {
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		return nil
	}
	h, err := a.Ring.Open(text, r.account.Name, r.arrived)
	if err != nil {
		return err
	}
	if h.Service != req.Service.Name || !req.Stream {
		return failure.New(failure.KindHandleInvalid, "the handle belongs to a stream of another service").Unknown()
	}
	req.Resume = &h
	return nil
}

func (a *API) mint(w http.ResponseWriter, r request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(map[string]string{"key": a.Once.Mint(r.account.Name)})
}

func (a *API) service(w http.ResponseWriter, r request) {
	name := mux.Vars(r.Request)["service"]
	s, err := r.find(name)
	if err == nil && s.Type == table.ServiceGeneration {
		err = failure.New(failure.KindBadRequest, "service %q generates text: use /v1/completions", name)
	}
	if err != nil {
		a.refuse(w, r.account.Name, unnamed, err)
		return
	}
	books := a.Books.Begin(r.account.Name, s.Name)
	books.End(a.call(w, r, s, books))
}

func (a *API) call(w http.ResponseWriter, r request, s *table.Service, books *accounting.Entry) error {
	body, err := readBody(w, r.Request, a.BodyLimit)
	if err != nil {
		failure.Write(w, err)
		return err
	}
	call := servicecall.Call{
		Account: r.account, Service: s, Method: r.Method, Path: targetPath(r),
		Header: r.Header, Body: body, Books: books, Arrived: r.arrived,
	}
	if s.Type == table.ServiceOnce && !safe(r.Method) {
		return a.Once.Serve(r.Context(), w, call)
	}
	return a.Lookups.Serve(r.Context(), w, call)
}

// safe methods read only (RFC 9110, 9.2.1); calls of a service that runs calls
// once may be repeated when they are.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// targetPath is the part of the path behind the service's name, with the
// query.
func targetPath(r request) string {
	path := "/" + mux.Vars(r.Request)["rest"]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
