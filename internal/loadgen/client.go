package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
)

// Target says whom to load, and as whom.
type Target struct {
	// Entries are ip:port.
	Entries []string
	// DirectEngines and DirectApps are stand-ins that are called without the
	// system between, as the measure of what the system adds. They take the
	// place of Entries; a lost stream is not resumed then.
	DirectEngines, DirectApps []string
	// Accounts and Keys go together.
	Accounts, Keys []string
	// Timeout bounds a call with all its attempts. Opening is the time in which
	// a stream must open and a plain service must answer; a request waits for
	// its admission that long. Whole generations have the timeout alone. Silence
	// is the time without a byte, keep-alive comments included, after which an
	// open stream counts as lost.
	Timeout, Opening, Silence time.Duration
	// Attempts bounds the tries of one call after lost connections, counted
	// again from the start whenever tokens came. A refusal
	// is final: an open loop that asks again would change its own rate.
	Attempts int
}

// client makes calls through the entries.
type client struct {
	target Target
	http   *http.Client
	turn   atomic.Uint64
}

// idlePerEntry keeps connections between calls, as a caller's library does.
const idlePerEntry = 256

// maxAnswer bounds a whole answer in bytes.
const maxAnswer = 16 << 20

// pauseBeforeRetry spaces the attempts after a lost connection.
const pauseBeforeRetry = 100 * time.Millisecond

// connectTimeout is short: entries are a millisecond away.
const connectTimeout = 2 * time.Second

func newClient(t Target) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerEntry, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &client{target: t, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

func (t *Target) direct() bool { return len(t.DirectEngines)+len(t.DirectApps) > 0 }

// address gives the entries in turn, so that calls spread and a retry goes to
// another one.
func (c *client) address(generation bool) string {
	list := c.target.Entries
	if c.target.direct() {
		list = c.target.DirectApps
	}
	if c.target.direct() && generation {
		list = c.target.DirectEngines
	}
	return list[c.turn.Add(1)%uint64(len(list))]
}

// request is one HTTP request to whichever entry is next.
type request struct {
	method, path, body string
	account            int
	// generation tells completions from calls of plain services.
	generation bool
	headers    [][2]string
}

// Kinds of failures that the tool itself sees. Their names differ from those
// that entries answer with: an entry's "target-lost" is a final answer, while
// after a lost connection the caller asks again.
const (
	kindConnectionLost failure.Kind = "connection-lost"
	kindCallTimeout    failure.Kind = "call-timeout"
)

// send gives the response, whose body the caller closes. Its error is of kind
// connection-lost: nobody knows what became of the request.
func (c *client) send(ctx context.Context, q request) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.address(q.generation)+q.path, strings.NewReader(q.body))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "request can't be made")
	}
	// Without GetBody the transport never sends a request twice by itself.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.target.Keys[q.account])
	if q.body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	for _, h := range q.headers {
		r.Header.Set(h[0], h[1])
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, lost(err)
	}
	return resp, nil
}

func lost(err error) error {
	return failure.Wrap(err, kindConnectionLost, "connection to the entry was lost").WithExecutionUnknown()
}

// answer sends a request and reads its whole answer; a refusal is an error.
func (c *client) answer(ctx context.Context, q request) ([]byte, error) {
	if !q.generation {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.target.Opening)
		defer cancel()
	}
	resp, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, lost(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, refusal(resp, body)
	}
	return body, nil
}

// refusal gives a problem document as a failure. An answer that is none is of
// kind internal with an unknown outcome.
func refusal(resp *http.Response, body []byte) error {
	var p failure.Problem
	if json.Unmarshal(body, &p) != nil || p.Type == "" {
		return failure.New(failure.KindInternal, "status %d without a problem document", resp.StatusCode).WithExecutionUnknown()
	}
	return failure.FromProblem(p)
}

func isLost(err error) bool { return failure.KindOf(err) == kindConnectionLost }

// retry calls try until it succeeds or fails for good, or until the attempts
// are used up without progress between them; it gives the number of attempts
// after the first. A long stream over a bad link may break more often than
// Attempts and still get through.
func (c *client) retry(ctx context.Context, progress func() int, try func() error) (int, error) {
	again, left, reached := 0, c.target.Attempts, progress()
	for {
		err := try()
		if !isLost(err) || ctx.Err() != nil {
			return again, timeoutOr(ctx, err)
		}
		if now := progress(); now > reached {
			reached, left = now, c.target.Attempts
		}
		if left--; left <= 0 {
			return again, err
		}
		again++
		select {
		case <-time.After(pauseBeforeRetry):
		case <-ctx.Done():
		}
	}
}

// noProgress is that of calls whose answer comes all at once.
func noProgress() int { return 0 }

// timeoutOr turns a loss that the call's own timeout caused into one.
func timeoutOr(ctx context.Context, err error) error {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Wrap(err, kindCallTimeout, "call took longer than its timeout").WithExecutionUnknown()
	}
	return err
}

// servicePath gives the path of a call, which a stand-in sees without the
// entry's prefix.
func (c *client) servicePath(k *Kind, rest string) string {
	if c.target.direct() {
		return "/" + rest
	}
	return fmt.Sprintf("/v1/services/%s/%s", k.Service, rest)
}
