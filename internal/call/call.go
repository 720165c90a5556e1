// Package call holds the requests that the gateway relays and what targets
// answer, in the product's types. How they look on the wire is the business
// of a Dialect.
package call

import (
	"context"
	"net/http"
	"time"

	"filbertdeck/internal/directory"
)

// Request is a caller's request.
type Request struct {
	// ID names one attempt of the client.
	ID string
	// Key is the client account's key, empty when there is none.
	Key    string
	Method string
	Host   string
	// Path selects the route; URI is the request target as it was sent.
	Path, URI string
	// Header holds what is passed on as it came.
	Header http.Header
	Body   []byte
	// ClientTimeout is how long the client waits, counted from Arrived; 0 when it
	// doesn't say.
	ClientTimeout time.Duration
	ArrivedAt     time.Time
	Prompt        Prompt
	// ResumeAfter is the id of the last event that the client has of an
	// earlier attempt; empty when it starts anew.
	ResumeAfter string
}

// Prompt is what a request says of its prompt; zero when it has none.
type Prompt struct {
	Model string
	// Tokens are read, at most MaxOutputTokens are made.
	Tokens, MaxOutputTokens int
	// LengthHint is the client's estimate of the tokens that will be made, 0
	// when it gives none. It is right at the median and often far off.
	LengthHint int
	// Segments are shared with other prompts, in their order.
	Segments []PromptSegment
}

// PromptSegment is a piece of a prompt that targets may have in their caches.
type PromptSegment struct {
	ID     string
	Tokens int
}

// CacheCopy says where the memory of a moved generation lies.
type CacheCopy struct {
	// Source is the target (ip:port) that made the copy, or the one that keeps it
	// where it is a backup.
	Source string
	// Handle names the copy; of a backup it is the request's id.
	Handle string
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	*Request
	Target  directory.Target
	Account string
	// TimeRemaining is how long the target may work.
	TimeRemaining time.Duration
	// Priority from 0 (first) to 9; negative when none is set.
	Priority int
	// Resume is set to go on with a generation at another target, behind the
	// event After.
	Resume      *CacheCopy
	LastEventID string
	// Backup is the target (ip:port) that keeps a copy of the generation's
	// memory as it grows; empty for none.
	Backup string
}

// Load is what a target says of its load.
type Load struct{ Running, Waiting, Slots int }

// ResponseHeader is what the header of a target's answer says.
type ResponseHeader struct {
	Status int
	// RequestID is the id of the request that this answers.
	RequestID string
	// Sealed answers carry the target's mark; a success without it is not one.
	Sealed bool
	// NotExecuted is the target's own word that it did not run the request and
	// never will. No other failure proves that.
	NotExecuted bool
	// WrongTarget says that another target has the address by now.
	WrongTarget bool
	// ShuttingDown says that the target may be about to stop.
	ShuttingDown bool
	Load         *Load
	// RequestsPerSecond is the requests a second that the target takes from all hosts
	// together; nil when it names none.
	RequestsPerSecond *float64
	// RetryAfter is 0 when the target names no time.
	RetryAfter time.Duration
}

// MoveResult says what a copy of a generation's memory brought.
type MoveResult struct {
	Handle string
	// Events are those made so far.
	Events int
}

// GenerationProgress is one generation that an engine reports.
type GenerationProgress struct {
	ID     string
	Tokens int
	Events int
}

// EngineReport is what an engine says of itself, a few hundred milliseconds old.
type EngineReport struct {
	Running, Waiting       int
	MemoryUsed, MemorySize int
	ShuttingDown           bool
	// ShutdownIn is 0 when the engine does not say when it leaves.
	ShutdownIn  time.Duration
	Generations []GenerationProgress
}

// Health is a target's answer to the question whether it takes work, as of now.
type Health struct {
	// OK is set while the target takes work and does not leave.
	OK bool
	// Busy says that the target refused the question for want of a place,
	// which says nothing of its health.
	Busy bool
}

// Codec translates between the wire and these types. It decides nothing.
type Codec interface {
	// ParseRequest reads what a caller's request says; the body was read before.
	ParseRequest(r *http.Request, body []byte, arrived time.Time) (*Request, error)
	// BuildRequest makes the request for a target.
	BuildRequest(ctx context.Context, s *Attempt) (*http.Request, error)
	// ParseResponseHeader reads the header of a target's answer.
	ParseResponseHeader(resp *http.Response) ResponseHeader
	// CopyResponseHeader copies what a caller gets of an answer's header.
	CopyResponseHeader(to, from http.Header)
	// WriteError answers a request that the system itself ends.
	WriteError(w http.ResponseWriter, id string, err error)
}

// EngineClient calls model engines beside the requests themselves.
type EngineClient interface {
	// Move copies a generation's memory from one engine to another. With last,
	// the generation stops first and its stream ends without its end.
	Move(ctx context.Context, from string, id, to string, last bool) (MoveResult, error)
	// Drop frees the copy of a move.
	Drop(ctx context.Context, from string, handle string) error
	// Report asks an engine for its state.
	Report(ctx context.Context, at string) (EngineReport, error)
	// Health asks a target at its service's path for health.
	Health(ctx context.Context, at, path string) (Health, error)
}
