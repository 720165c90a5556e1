// Package call defines the gateway's model of relayed requests and of the
// targets' responses, independent of their wire format. A Dialect translates
// between the two.
package call

import (
	"context"
	"net"
	"net/http"
	"time"

	"filbertdeck/internal/directory"
)

// Request is a caller's request.
type Request struct {
	// ID identifies one attempt of the client.
	ID string
	// Key is the API key of the client account, empty when there is none.
	Key    string
	Method string
	Host   string
	// Path selects the route; URI is the request target as received.
	Path, URI string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// ClientTimeout is the client's timeout, counted from the request's arrival; 0
	// when the client sets none.
	ClientTimeout time.Duration
	ArrivedAt     time.Time
	Prompt        Prompt
	// ResumeAfter is the id of the last event that the client received in an
	// earlier attempt; empty for a new request.
	ResumeAfter string
	// Resumes is the ID of the attempt that brought the first event of the stream
	// that the client takes up; empty for a new stream.
	Resumes string
}

// Prompt describes a request's prompt; it is zero for a request without one.
type Prompt struct {
	Model string
	// The number of tokens of the prompt, and the maximum number of generated
	// tokens.
	Tokens, MaxOutputTokens int
	// LengthHint is the client's estimate of the number of generated tokens, 0
	// when it gives none. It is accurate at the median, but single estimates
	// are often far off.
	LengthHint int
	// Segments are the leading segments that the prompt may share with others, in
	// their order.
	Segments []PromptSegment
}

// PromptSegment is a segment of a prompt that targets may have in their caches.
type PromptSegment struct {
	ID     string
	Tokens int
}

// CacheCopy locates the KV cache of a generation that is moved to another
// target.
type CacheCopy struct {
	// Source is the target (ip:port) that made the copy or, for a backup, the one
	// that stores it.
	Source string
	// Handle identifies the copy; for a backup it is the request's id.
	Handle string
}

// Attempt is one attempt to send a request to a target.
type Attempt struct {
	*Request
	Target  directory.Target
	Account string
	// TimeRemaining is the time that remains for the target to respond.
	TimeRemaining time.Duration
	// Priority is from 0 (highest) to 9; negative when none is set.
	Priority int
	// Resume is set to continue a generation at another target. The event id in
	// the next field is the last one that the client has.
	Resume      *CacheCopy
	LastEventID string
	// Backup is the target (ip:port) that continuously receives a copy of the
	// generation's KV cache; empty for none.
	Backup string
	// LastResort is set when no other target can serve the request, so that it may be
	// sent in spite of the target's rest.
	LastResort bool
	// Management is set for a call of the target's own interface, which runs nothing
	// and may be sent to a target that leaves.
	Management bool
	// ConfirmStart is set when the request must reach the lifetime of the target that the
	// directory names, which the request itself does not say.
	ConfirmStart bool
	// Fingerprint identifies the request across attempts, and PromptParts the parts of its
	// prompt that it shares with others, as evidence of what crashes targets.
	Fingerprint uint64
	PromptParts []uint64
	// TestRun is set for a request that is sent once in spite of that evidence.
	TestRun bool
}

// Load is the load that a target reports. A figure is nil when the target does not
// give it or it can't be read.
type Load struct {
	Running, Waiting, Slots *int
	// Slowdown is the time that work takes on the target's machine at present, as
	// a multiple of the usual time. It changes several times per second.
	Slowdown *float64
	// Unreadable is the number of figures that can't be read.
	Unreadable int
}

// TargetNotice is what a target says in a response about its load and about the
// requests that it wants, whatever the response itself is.
type TargetNotice struct {
	// Load is nil when the target reports none.
	Load *Load
	// Leaving is set when the target is going to stop.
	Leaving bool
	// Rest is how long the target wants no requests from this host; 0 for no
	// rest.
	Rest time.Duration
	// RefusalLimit is the number of requests that the target can turn away in a second
	// for want of room; it falls over at more. It is nil when the target does not say
	// that it is brittle.
	RefusalLimit *float64
}

// ResponseHeader is the parsed header of a target's response.
type ResponseHeader struct {
	TargetNotice
	Status int
	// RequestID is the id of the request that this response belongs to.
	RequestID string
	// Sealed is set when the response has the target's seal. A success status
	// without it does not count as a success.
	Sealed bool
	// NotExecuted is set when the target states that it did not execute the request
	// and never will. No other failure proves that.
	NotExecuted bool
	// WrongTarget is set when the address now belongs to another target.
	WrongTarget bool
	// ShuttingDown is set when the target may be about to shut down.
	ShuttingDown bool
	// RequestsPerSecond is the number of requests per second that the target accepts from
	// all hosts together; nil when it gives none.
	RequestsPerSecond *float64
	// RetryAfter is 0 when the target gives no delay.
	RetryAfter time.Duration
}

// StartReport is what a target says about its present lifetime.
type StartReport struct {
	TargetNotice
	// StartedUnixMilli is the start of the lifetime in Unix milliseconds; 0 if the target
	// does not say.
	StartedUnixMilli int64
	// Closes is set when the target closes the connection after the response.
	Closes bool
}

// MoveResult is the result of copying a generation's KV cache. Its notice is that
// of the engine that copies.
type MoveResult struct {
	TargetNotice
	Handle string
	// Events is the number of events generated so far.
	Events int
}

// GenerationProgress is one generation in an engine's report.
type GenerationProgress struct {
	ID     string
	Tokens int
	Events int
}

// EngineReport is an engine's report of its own state, a few hundred milliseconds
// old.
type EngineReport struct {
	TargetNotice
	Running, Waiting       int
	MemoryUsed, MemorySize int
	ShuttingDown           bool
	// ShutdownIn is the time until the engine shuts down, 0 when it gives none.
	ShutdownIn  time.Duration
	Generations []GenerationProgress
}

// Health is the result of a health check of a target.
type Health struct {
	TargetNotice
	// OK is set while the target accepts work and is not shutting down.
	OK bool
	// Busy is set when the target rejected the check for lack of capacity,
	// which says nothing about its health.
	Busy bool
	// ColdFor is how long the target stays cold, 0 when it is warm or does not say.
	ColdFor time.Duration
}

// Codec translates between the wire format and the types of this package. It
// makes no decisions.
type Codec interface {
	// ParseRequest parses a caller's request, whose body has been read already.
	ParseRequest(r *http.Request, body []byte, arrived time.Time) (*Request, error)
	// BuildRequest builds the HTTP request for a target.
	BuildRequest(ctx context.Context, s *Attempt) (*http.Request, error)
	// AskStart asks the target at the other end of a connection for its lifetime. Another
	// request may follow on the connection, unless the result says that it closes.
	AskStart(conn net.Conn, t directory.Target) (StartReport, error)
	// ParseResponseHeader parses the header of a target's response.
	ParseResponseHeader(resp *http.Response) ResponseHeader
	// CopyResponseHeader copies the response headers that a caller may receive.
	CopyResponseHeader(to, from http.Header)
	// WriteError responds to a request that the gateway itself fails.
	WriteError(w http.ResponseWriter, id string, err error)
}

// EngineClient calls the management interfaces of model engines, and the health
// checks of targets. A result holds the target's notice also when the call failed,
// if there was a response.
type EngineClient interface {
	// Move copies a generation's KV cache from one engine to another. With
	// last, the generation is stopped first, and its stream ends without its
	// closing event.
	Move(ctx context.Context, from string, id, to string, last bool) (MoveResult, error)
	// Drop frees a copy that Move made.
	Drop(ctx context.Context, from string, handle string) (TargetNotice, error)
	// Report fetches an engine's report.
	Report(ctx context.Context, at string) (EngineReport, error)
	// Health checks a target at the health path of its service.
	Health(ctx context.Context, at, path string) (Health, error)
	// Through returns a client whose calls go through a transport.
	Through(transport http.RoundTripper) EngineClient
}
