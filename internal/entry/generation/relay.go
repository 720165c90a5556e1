// Package generation relays a generation from an engine to a caller. It requests
// admission, starts the generation, and checks the offset of each frame. When a
// connection breaks or goes silent it resumes the same generation over a new
// one; it starts another generation only while nothing has reached the caller.
package generation

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/handle"
	"filbertdeck/internal/sse"
	"filbertdeck/internal/table"
)

const (
	// maxAttempts is the maximum number of generations started for one request.
	// When a third target fails, the cause is likely the request and not the
	// targets.
	maxAttempts = 3
	// resumeWindow is how long a caller may resume a stream after the longest
	// expected run. Engines keep a generation without a connection for seconds;
	// the rest allows for clock differences.
	resumeWindow = 2 * time.Minute
	// affinityPrefixBlocks is the number of prompt blocks that determine a
	// request's affinity. It covers the usual length of the instructions that
	// precede the part that differs between prompts.
	affinityPrefixBlocks = 4
	// noTokenTimeout is the maximum time without a token while the engine sends
	// keep-alive comments. Preemption and recomputation take seconds; the limit
	// is an assumption far above that, not a measured value.
	noTokenTimeout = 2 * time.Minute
	// reconnectDelay is the delay between two connections for one generation.
	reconnectDelay = 100 * time.Millisecond
)

// Picker selects the pool that is asked for admission.
type Picker interface {
	Pick(r state.Request) (state.Choice, error)
}

// PoolLookup returns the pool of a target.
type PoolLookup func(service, target string) (pool string, ok bool)

// Relay relays generations; it is safe for concurrent use.
type Relay struct {
	admission   *admit.Client
	engine      engineClient
	keyRing     *handle.KeyRing
	picker      Picker
	lookupPool  PoolLookup
	retryBudget *retrybudget.Budget
	startTime   time.Time
}

// NewRelay returns a relay that sends requests to targets through client.
func NewRelay(admission *admit.Client, client Doer, keyRing *handle.KeyRing, picker Picker, lookupPool PoolLookup, retryBudget *retrybudget.Budget) *Relay {
	return &Relay{
		admission: admission, engine: engineClient{http: client}, keyRing: keyRing, picker: picker, lookupPool: lookupPool,
		retryBudget: retryBudget, startTime: time.Now(),
	}
}

// Request is a caller's completion request.
type Request struct {
	Account *table.Account
	Service *table.Service
	Prompt  string
	// PromptTokens is the estimated prompt length and MaxTokens the limit of the
	// answer.
	PromptTokens, MaxTokens int
	// EngineBody is the request body sent to the engine.
	EngineBody []byte
	// Stream is set if the caller requested an event stream, Chat if it used the
	// chat API.
	Stream, Chat bool
	// Resume is set if the caller resumes a generation that is already running.
	Resume     *handle.Handle
	Accounting *accounting.RequestRecorder
	// ArrivedAt is when the request arrived.
	ArrivedAt time.Time
}

// activeRequest is a request in progress; it is used by one goroutine only.
type activeRequest struct {
	*Relay
	Request
	sink             sink
	order            delivery.Sequencer
	quotedGeneration string
	frame            engineFrame
	event            sse.Event
	failedTargets    []string
	// mayHaveStarted is set once any target may have started a generation.
	mayHaveStarted bool
	lastTokenAt    time.Time
	// lastProgressAt is when the generation started or last produced a token.
	lastProgressAt   time.Time
	timeToFirstToken time.Duration
}

// Serve relays the request. It has already written the error that it returns to
// the caller; the error is for the accounting.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, req Request) error {
	active := &activeRequest{Relay: r, Request: req}
	active.prepare(w)
	defer active.sink.close()
	err := active.serve(ctx)
	if req.Service.Type == table.ServiceGeneration {
		req.Accounting.RecordCompleteness(err == nil)
	}
	if err != nil {
		active.sink.fail(err)
	}
	return err
}

func (a *activeRequest) prepare(w http.ResponseWriter) {
	mode := delivery.Stream
	if a.Service.Delivery == table.DeliveryBuffered || !a.Stream {
		mode = delivery.Buffered
	}
	id := uuid.NewString()
	if a.Resume != nil {
		id = a.Resume.Generation
		a.order = delivery.Resume(mode, id, a.Resume.Offset)
		if a.Resume.Finished {
			a.order = delivery.ResumeFinished(mode, id, a.Resume.Offset)
		}
		a.mayHaveStarted = true
	} else {
		a.order = delivery.New(mode, id)
	}
	a.quotedGeneration = `"` + id + `"`
	a.sink = a.newSink(w, mode, id)
	a.lastTokenAt, a.lastProgressAt = a.ArrivedAt, a.ArrivedAt
}

func (a *activeRequest) newSink(w http.ResponseWriter, mode delivery.Mode, id string) sink {
	info := answerInfo{id: "cmpl-" + id, model: a.Service.Name, chat: a.Chat, created: a.ArrivedAt.Unix()}
	h := handle.Handle{
		Account: a.Account.Name, Service: a.Service.Name, Generation: id,
		Issued: a.ArrivedAt, Expires: a.ArrivedAt.Add(a.handleLifetime()),
	}
	if a.Resume != nil {
		h.Target = a.Resume.Target
	}
	document := documentSink{w: w, info: info, promptTokens: a.PromptTokens}
	switch {
	case !a.Stream:
		return &document
	case mode == delivery.Buffered:
		return &bufferedStreamSink{documentSink: document, stream: newStreamSink(w, a.keyRing, h, info)}
	default:
		return newStreamSink(w, a.keyRing, h, info)
	}
}

// maxTimePerToken is the longest expected time per token; it sets the lifetime
// of resume handles.
const maxTimePerToken = 250 * time.Millisecond

// handleLifetime returns how long the request's resume handles are valid: the
// longest expected run plus resumeWindow.
func (a *activeRequest) handleLifetime() time.Duration {
	return resumeWindow + time.Duration(a.MaxTokens)*maxTimePerToken
}
