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
	"filbertdeck/internal/tcpconn"
)

// ClientConfig holds the addresses to call, the accounts to call as, and the
// limits of a call.
type ClientConfig struct {
	// Entries are addresses of entries in the form ip:port.
	Entries []string
	// DirectEngines and DirectApps are addresses of stand-ins to call directly,
	// which gives a baseline for the overhead of the system. They replace
	// Entries. Lost streams are not resumed in this mode.
	DirectEngines, DirectApps []string
	// Accounts and APIKeys have the same length; each key belongs to the account
	// at the same index.
	Accounts, APIKeys []string
	// Timeout limits a call including all its attempts. OpenTimeout is the time
	// in which a stream must open or a plain service must answer, including the
	// wait for admission; whole generations are only limited by Timeout.
	// IdleTimeout is the time without any event, keep-alive comments included,
	// after which an open stream counts as lost.
	Timeout, OpenTimeout, IdleTimeout time.Duration
	// MaxAttempts limits the attempts of one call after lost connections. The
	// count restarts whenever new tokens were received. Refusals are not
	// retried, since retries would change the rate of the open loop.
	MaxAttempts int
}

// client sends requests to the entries, or directly to the stand-ins.
type client struct {
	config      ClientConfig
	http        *http.Client
	nextAddress atomic.Uint64
}

// maxIdleConnsPerEntry is the number of idle connections kept for reuse, as the
// HTTP library of a real caller does.
const maxIdleConnsPerEntry = 256

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

// retryDelay is the time between attempts after a lost connection.
const retryDelay = 100 * time.Millisecond

// connectTimeout limits the connection setup. It is short because the network
// latency to the entries is about a millisecond.
const connectTimeout = 2 * time.Second

func newClient(config ClientConfig) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return tcpconn.Dial(ctx, &net.Dialer{Timeout: connectTimeout}, network, address)
		},
	}
	return &client{config: config, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

func (c *ClientConfig) direct() bool { return len(c.DirectEngines)+len(c.DirectApps) > 0 }

// pickAddress selects the addresses in turn (round robin), so that calls are
// distributed and a retry goes to another entry.
func (c *client) pickAddress(generation bool) string {
	addresses := c.config.Entries
	if c.config.direct() {
		addresses = c.config.DirectApps
	}
	if c.config.direct() && generation {
		addresses = c.config.DirectEngines
	}
	return addresses[c.nextAddress.Add(1)%uint64(len(addresses))]
}

// requestSpec describes one HTTP request, without the address to send it to.
type requestSpec struct {
	method, path, body string
	accountIndex       int
	// generation is true for completions and false for calls of plain services.
	generation bool
	headers    [][2]string
}

// Failure kinds detected by the load generator itself. Their names differ from
// the kinds that entries return: "target-lost" from an entry is a final answer,
// while a lost connection is retried.
const (
	kindConnectionLost failure.Kind = "connection-lost"
	kindCallTimeout    failure.Kind = "call-timeout"
)

// send sends a request and returns the response, whose body must be closed by
// the caller. A transport error is returned as connection-lost with an unknown
// outcome, because the request may have been executed.
func (c *client) send(ctx context.Context, spec requestSpec) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+c.pickAddress(spec.generation)+spec.path, strings.NewReader(spec.body))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot create the request")
	}
	// Without GetBody, the transport cannot resend a request on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.config.APIKeys[spec.accountIndex])
	if spec.body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	for _, h := range spec.headers {
		req.Header.Set(h[0], h[1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, connectionLost(err)
	}
	return resp, nil
}

func connectionLost(err error) error {
	return failure.Wrap(err, kindConnectionLost, "connection to the entry was lost").WithExecutionUnknown()
}

// fetch sends a request and reads the complete response body. Statuses of 300
// and above are returned as errors.
func (c *client) fetch(ctx context.Context, spec requestSpec) ([]byte, error) {
	if !spec.generation {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.OpenTimeout)
		defer cancel()
	}
	resp, err := c.send(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, connectionLost(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, parseRefusal(resp, body)
	}
	return body, nil
}

// parseRefusal converts a problem document to a failure. A response without a
// problem document becomes an internal failure with an unknown outcome.
func parseRefusal(resp *http.Response, body []byte) error {
	var problem failure.Problem
	if json.Unmarshal(body, &problem) != nil || problem.Type == "" {
		return failure.New(failure.KindInternal, "status %d without a problem document", resp.StatusCode).WithExecutionUnknown()
	}
	return failure.FromProblem(problem)
}

func isConnectionLost(err error) bool { return failure.KindOf(err) == kindConnectionLost }

// retry calls attempt until it succeeds, fails with anything but a lost
// connection, or has used up the attempts without progress. It returns the
// number of retries. Progress restarts the count, so a long stream over an
// unreliable link may break more than MaxAttempts times and still complete.
func (c *client) retry(ctx context.Context, progress func() int, attempt func() error) (int, error) {
	retries, attemptsLeft, lastProgress := 0, c.config.MaxAttempts, progress()
	for {
		err := attempt()
		if !isConnectionLost(err) || ctx.Err() != nil {
			return retries, timeoutError(ctx, err)
		}
		if current := progress(); current > lastProgress {
			lastProgress, attemptsLeft = current, c.config.MaxAttempts
		}
		if attemptsLeft--; attemptsLeft <= 0 {
			return retries, err
		}
		retries++
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// noProgress is the progress function of calls that receive their answer in one
// piece.
func noProgress() int { return 0 }

// timeoutError converts an error caused by the call's own timeout to a
// call-timeout failure. Other errors are returned unchanged.
func timeoutError(ctx context.Context, err error) error {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Wrap(err, kindCallTimeout, "call took longer than its timeout").WithExecutionUnknown()
	}
	return err
}

// servicePath returns the path of a call. Stand-ins that are called directly
// expect it without the entry's prefix.
func (c *client) servicePath(kind *CallKind, suffix string) string {
	if c.config.direct() {
		return "/" + suffix
	}
	return fmt.Sprintf("/v1/services/%s/%s", kind.Service, suffix)
}
