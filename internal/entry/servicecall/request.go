// Package servicecall relays calls to plain services: idempotent ones, which may be
// sent to another target when one fails, and calls that run at most once.
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

// maxAnswer bounds a plain service's answer, in bytes.
const maxAnswer = 8 << 20

// Call is one call of a caller to a plain service.
type Call struct {
	Account *table.Account
	Service *table.Service
	Method  string
	// Path is the path at the target with its query.
	Path    string
	Header  http.Header
	Body    []byte
	Books   *accounting.Entry
	Arrived time.Time
}

// passed lists the headers that go to the target. Everything else stays here:
// the caller's key above all.
var passed = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match",
	"Idempotency-Key", "X-Request-Id", "Traceparent",
}

// returned lists the headers of the target's answer that reach the caller.
var returned = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "X-Request-Id",
}

func (c Call) request(target string) (*http.Request, error) {
	req, err := http.NewRequest(c.Method, "http://"+target+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the path cannot be sent to a target")
	}
	for _, name := range passed {
		for _, value := range c.Header.Values(name) {
			req.Header.Add(name, value)
		}
	}
	return req, nil
}

// fingerprint is equal for calls that ask for the same thing.
func (c Call) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Service.Name, c.Method, c.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// readAnswer takes a target's answer whole. Half an answer is a failure: its
// target ran the call.
func readAnswer(resp *http.Response) (*idempotency.Answer, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindTargetLost, "the target's answer was cut").Unknown()
	}
	if len(body) > maxAnswer {
		return nil, failure.New(failure.KindTargetFailed, "the target's answer is over %d bytes", maxAnswer).Ran()
	}
	a := &idempotency.Answer{Status: resp.StatusCode, Body: body}
	for _, name := range returned {
		if value := resp.Header.Get(name); value != "" {
			a.Headers = append(a.Headers, idempotency.Header{Name: name, Value: value})
		}
	}
	return a, nil
}

// write hands an answer to the caller.
func write(w http.ResponseWriter, a *idempotency.Answer) {
	for _, h := range a.Headers {
		w.Header().Set(h.Name, h.Value)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func headersToWire(headers []idempotency.Header) []*filbertv1.Header {
	out := make([]*filbertv1.Header, len(headers))
	for i, h := range headers {
		out[i] = &filbertv1.Header{Name: h.Name, Value: h.Value}
	}
	return out
}

func headersFromWire(headers []*filbertv1.Header) []idempotency.Header {
	out := make([]idempotency.Header, len(headers))
	for i, h := range headers {
		out[i] = idempotency.Header{Name: h.Name, Value: h.Value}
	}
	return out
}
