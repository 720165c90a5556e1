// Package generation relays one generation from an engine to a caller: it asks
// for admission, starts the generation, checks each frame's place, resumes the
// same generation over a new connection when a link breaks or goes silent, and
// starts another one only while nothing has reached the caller.
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
	// maxAttempts bounds the generations that are started for one request. A
	// third target that fails points at the request, not at the targets.
	maxAttempts = 3
	// handleLife is how long a caller may resume. Engines keep a generation
	// without a connection for seconds; the rest is for clocks that differ.
	handleLife = 2 * time.Minute
	// affinityBlocks is how many blocks of a prompt decide where it goes: the
	// length of a usual instruction before the part that differs.
	affinityBlocks = 4
	// tokenLimit is the longest time without a token while the engine shows
	// itself to be alive. Preemption and recomputation take seconds; the figure
	// is an assumption far above that, not a measurement.
	tokenLimit = 2 * time.Minute
	// reopenPause lies between two connections for one generation.
	reopenPause = 100 * time.Millisecond
)

// Picker chooses the pool that is asked for admission.
type Picker interface {
	Pick(r state.Request) (state.Choice, error)
}

// PoolOf finds the pool of a target.
type PoolOf func(service, target string) (pool string, ok bool)

// Relay serves generations; it is safe for concurrent use.
type Relay struct {
	admission *admit.Client
	engines   engineClient
	ring      *handle.Ring
	pick      Picker
	poolOf    PoolOf
	budget    *retrybudget.Budget
	start     time.Time
}

// NewRelay returns a relay.
func NewRelay(a *admit.Client, client Doer, ring *handle.Ring, pick Picker, poolOf PoolOf, budget *retrybudget.Budget) *Relay {
	return &Relay{
		admission: a, engines: engineClient{http: client}, ring: ring, pick: pick, poolOf: poolOf,
		budget: budget, start: time.Now(),
	}
}

// Request is one caller's request.
type Request struct {
	Account *table.Account
	Service *table.Service
	Prompt  string
	// PromptTokens and MaxTokens are in tokens.
	PromptTokens, MaxTokens int
	// Body is what the engine receives.
	Body []byte
	// Stream is set when the caller asked for events, Chat for the chat form.
	Stream, Chat bool
	// Resume is set when the caller goes on with a generation that runs.
	Resume *handle.Handle
	Books  *accounting.Entry
	// Begun is when the request arrived.
	Begun time.Time
}

// run is one request in progress; it belongs to one goroutine.
type run struct {
	*Relay
	Request
	out    sink
	order  delivery.Sequencer
	quoted string
	frame  engineFrame
	event  sse.Event
	avoid  []string
	// begun tells whether any target may have started a generation.
	begun     bool
	lastToken time.Time
	// progressed is when the generation last began or brought a token.
	progressed time.Time
	firstToken time.Duration
}

// Serve answers the request. The failure it returns was told to the caller
// already; it is for the accounting.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, req Request) error {
	x := &run{Relay: r, Request: req}
	x.prepare(w)
	defer x.out.close()
	err := x.serve(ctx)
	if req.Service.Type == table.ServiceGeneration {
		req.Books.Whole(err == nil)
	}
	if err != nil {
		x.out.fail(err)
	}
	return err
}

func (x *run) prepare(w http.ResponseWriter) {
	mode := delivery.Stream
	if x.Service.Delivery == table.DeliveryWhole || !x.Stream {
		mode = delivery.Buffered
	}
	id := uuid.NewString()
	if x.Resume != nil {
		id = x.Resume.Generation
		x.order = delivery.Resume(mode, id, x.Resume.Offset)
		if x.Resume.Finished {
			x.order = delivery.ResumeFinished(mode, id, x.Resume.Offset)
		}
		x.begun = true
	} else {
		x.order = delivery.New(mode, id)
	}
	x.quoted = `"` + id + `"`
	x.out = x.newSink(w, mode, id)
	x.lastToken, x.progressed = x.Begun, x.Begun
}

func (x *run) newSink(w http.ResponseWriter, mode delivery.Mode, id string) sink {
	s := shape{id: "cmpl-" + id, model: x.Service.Name, chat: x.Chat, created: x.Begun.Unix()}
	h := handle.Handle{
		Account: x.Account.Name, Service: x.Service.Name, Generation: id,
		Issued: x.Begun, Expires: x.Begun.Add(x.life()),
	}
	if x.Resume != nil {
		h.Target = x.Resume.Target
	}
	whole := wholeSink{w: w, shape: s, prompt: x.PromptTokens}
	switch {
	case !x.Stream:
		return &whole
	case mode == delivery.Buffered:
		return &heldStreamSink{wholeSink: whole, stream: newStreamSink(w, x.ring, h, s)}
	default:
		return newStreamSink(w, x.ring, h, s)
	}
}

// slowestToken bounds how long a generation may take for each token, for the
// life of its handles.
const slowestToken = 250 * time.Millisecond

// life is how long handles of this request are good: as long as the
// generation may run, and the time to come back.
func (x *run) life() time.Duration {
	return handleLife + time.Duration(x.MaxTokens)*slowestToken
}
