// Package servicecall relays calls to plain services. Idempotent calls may be sent to
// another target when one fails; at-most-once calls are never sent twice.
package servicecall

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

// maxAnswerBytes is the maximum size of a plain service's response body.
const maxAnswerBytes = 8 << 20

// Call is a caller's request to a plain service.
type Call struct {
	Account *table.Account
	Service *table.Service
	Method  string
	// Path is the path at the target, with the query.
	Path       string
	Header     http.Header
	Body       []byte
	Accounting *accounting.RequestRecorder
	ArrivedAt  time.Time
}

// requestHeaders lists the headers that are sent to the target. All others are
// dropped, above all Authorization, which holds the caller's key.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match",
	"Idempotency-Key", "X-Request-Id", "Traceparent",
}

// responseHeaders lists the headers of the target's response that are returned
// to the caller.
var responseHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "X-Request-Id",
}

func (c Call) newTargetRequest(target string) (*http.Request, error) {
	req, err := http.NewRequest(c.Method, "http://"+target+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the path is not a valid request path")
	}
	for _, name := range requestHeaders {
		for _, value := range c.Header.Values(name) {
			req.Header.Add(name, value)
		}
	}
	return req, nil
}

// fingerprint returns a hash that is equal for calls with the same service,
// method, path and body.
func (c Call) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Service.Name, c.Method, c.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// readAnswer reads a target's complete response. A partial response is a
// failure with unknown outcome, since the target may have run the call.
func readAnswer(resp *http.Response) (*idempotency.Answer, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindTargetLost, "the target's response was incomplete").WithExecutionUnknown()
	}
	if len(body) > maxAnswerBytes {
		return nil, failure.New(failure.KindTargetFailed, "the target's response exceeds %d bytes", maxAnswerBytes).WithExecuted()
	}
	a := &idempotency.Answer{Status: resp.StatusCode, Body: body}
	for _, name := range responseHeaders {
		if value := resp.Header.Get(name); value != "" {
			a.Headers = append(a.Headers, idempotency.Header{Name: name, Value: value})
		}
	}
	return a, nil
}

// writeAnswer writes an answer to the caller.
func writeAnswer(w http.ResponseWriter, a *idempotency.Answer) {
	for _, h := range a.Headers {
		w.Header().Set(h.Name, h.Value)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func headersToProto(headers []idempotency.Header) []*filbertv1.Header {
	out := make([]*filbertv1.Header, len(headers))
	for i, h := range headers {
		out[i] = &filbertv1.Header{Name: h.Name, Value: []byte(h.Value)}
	}
	return out
}

func headersFromProto(headers []*filbertv1.Header) []idempotency.Header {
	out := make([]idempotency.Header, len(headers))
	for i, h := range headers {
		out[i] = idempotency.Header{Name: h.Name, Value: string(h.Value)}
	}
	return out
}
