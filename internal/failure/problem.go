package failure

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemType is the media type of a problem document (RFC 9457).
const ProblemType = "application/problem+json"

// typePrefix makes a kind a URI, as RFC 9457 asks for.
const typePrefix = "urn:filbertdeck:problem:"

// Problem is the document that a caller receives for a failure.
type Problem struct {
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail,omitempty"`
	Executed Executed `json:"executed"`
	// RetryAfterMS is in milliseconds; the header rounds up to whole seconds.
	RetryAfterMS    int64 `json:"retry_after_ms,omitempty"`
	DeliveredTokens int   `json:"delivered_tokens,omitempty"`
}

// Problem gives the failure as a document. The cause stays out of it: it may
// name hosts and paths that are no caller's business.
func (e *Error) Problem() Problem {
	return Problem{
		Type:            typePrefix + string(e.Kind),
		Title:           string(e.Kind),
		Status:          e.Status(),
		Detail:          e.Detail,
		Executed:        e.Executed,
		RetryAfterMS:    e.RetryAfter.Milliseconds(),
		DeliveredTokens: e.DeliveredTokens,
	}
}

// Write answers a request with the failure's problem document.
func Write(w http.ResponseWriter, err error) {
	e := FromError(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	WriteProblem(w, e)
}

// WriteProblem is Write for callers that set Retry-After themselves.
func WriteProblem(w http.ResponseWriter, e *Error) {
	body, marshalErr := json.Marshal(e.Problem())
	if marshalErr != nil {
		body = []byte(`{"type":"` + typePrefix + string(KindInternal) + `","executed":"unknown"}`)
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(e.Status())
	_, _ = w.Write(append(body, '\n'))
}

// FromProblem turns a problem document of another process back into a failure.
func FromProblem(p Problem) *Error {
	kind := Kind(p.Title)
	if _, known := statuses[kind]; !known {
		kind = KindInternal
	}
	return &Error{
		Kind: kind, Executed: p.Executed, Detail: p.Detail, DeliveredTokens: p.DeliveredTokens,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}
