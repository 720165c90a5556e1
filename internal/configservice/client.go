// Package configservice implements the client of the platform's configuration
// service, which can only be read and watched, and the parsers of the documents
// stored there. docs/protocols.md describes the protocol.
package configservice

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
)

// Timeouts and limits of the client.
const (
	// dialTimeout limits the time for a new connection; the service normally
	// responds within milliseconds.
	dialTimeout = 2 * time.Second
	// responseTimeout is the time that a call may take beyond the wait it
	// requested. After it, a connection that no longer responds is closed, and
	// the next call opens a new one.
	responseTimeout = 3 * time.Second
	// maxResponseBytes limits the response body. At the target size all
	// documents together are below 6 MB.
	maxResponseBytes = 32 << 20
	// maxRetryAfter limits the Retry-After delay accepted from the service.
	maxRetryAfter = time.Minute
	// defaultRetryAfter is used for a 429 response without a valid Retry-After
	// header.
	defaultRetryAfter = time.Second
)

// Value is one key-value pair of the configuration service.
type Value struct {
	Key string `json:"key"`
	// Revision is the revision of the store at the last write of the value.
	Revision uint64 `json:"revision"`
	Content  string `json:"value"`
}

// Response is the result of a read or watch.
type Response struct {
	// Revision is the revision of the store. It is lower than before if the
	// service was restored from a backup or a stale replica responds.
	Revision uint64 `json:"revision"`
	// Keys lists all keys under the prefix.
	Keys []string `json:"keys"`
	// Values holds the values that changed after the requested revision.
	Values []Value `json:"values"`
}

// Client reads from one configuration service. It is safe for concurrent use.
type Client struct {
	base url.URL
	http *http.Client
}

// New returns a client of the service at address (ip:port). If tlsConfig is
// nil, the client uses plain HTTP.
func New(address string, tlsConfig *tls.Config) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "address of the configuration service: %q, allowed: ip:port", address)
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := httpcheck.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		DialTLSContext:      (&tls.Dialer{NetDialer: dialer, Config: tlsConfig}).DialContext,
		MaxConnsPerHost:     2,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	})
	return &Client{
		base: url.URL{Scheme: scheme, Host: address, Path: "/v1/values"},
		http: &http.Client{Transport: transport, CheckRedirect: rejectRedirect},
	}, nil
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Read returns the values under prefix that changed after the given revision;
// revision 0 returns all values.
func (c *Client) Read(ctx context.Context, prefix string, after uint64) (Response, error) {
	return c.Watch(ctx, prefix, after, 0)
}

// Watch is like Read but waits up to wait for a change. It fails with
// KindOverloaded and a retry delay if the service's rate limit is exceeded, and
// with KindConfigUnreadable otherwise.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	requestURL := c.base
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	if wait > 0 {
		query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	requestURL.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL.String(), nil)
	if err != nil {
		return Response{}, failure.Wrap(err, failure.KindInternal, "request to the configuration service")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// An HTTP/1 connection that no longer responds does not return to the
		// pool until it is closed; close all idle connections as well.
		c.http.CloseIdleConnections()
		return Response{}, failure.Wrap(err, failure.KindConfigUnreadable, "configuration service unreachable")
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func decodeResponse(resp *http.Response) (Response, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return Response{}, failure.New(failure.KindOverloaded, "rate limit of the configuration service exceeded").WithRetryAfter(parseRetryAfter(resp.Header))
	}
	if resp.StatusCode != http.StatusOK {
		return Response{}, failure.New(failure.KindConfigUnreadable, "configuration service responded with status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, failure.Wrap(err, failure.KindConfigUnreadable, "reading the response of the configuration service failed")
	}
	if len(body) > maxResponseBytes {
		return Response{}, failure.New(failure.KindConfigUnreadable, "response of the configuration service exceeds %d bytes", maxResponseBytes)
	}
	var answer Response
	if err := json.Unmarshal(body, &answer); err != nil {
		return Response{}, failure.Wrap(err, failure.KindConfigUnreadable, "response of the configuration service is not valid JSON")
	}
	return answer, nil
}

func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
