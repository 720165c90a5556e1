// Package configservice is the client of the platform's configuration service,
// which can only be read and watched, and the reader of the documents kept
// there. The protocol is in docs/protocols.md.
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
)

// Figures of the client.
const (
	// dialTimeout bounds a new connection; the service answers in milliseconds.
	dialTimeout = 2 * time.Second
	// answerTimeout is what a call may take beyond the wait it asked for. A
	// connection that has gone silent is noticed after it, closed, and the
	// next call dials anew.
	answerTimeout = 3 * time.Second
	// maxAnswer bounds an answer's body. At the target size all documents
	// together are below 6 MB.
	maxAnswer = 32 << 20
	// maxRetryAfter bounds how long the service may keep us away.
	maxRetryAfter = time.Minute
	// defaultRetryAfter stands in for a 429 that names no time.
	defaultRetryAfter = time.Second
)

// Value is one value of the configuration service.
type Value struct {
	Key string `json:"key"`
	// Revision is the store's at the value's last write.
	Revision uint64 `json:"revision"`
	Content  string `json:"value"`
}

// Response is what a read or watch returns.
type Response struct {
	// Revision is the store's; it is lower than before when the service was
	// restored, or when a stale replica answers.
	Revision uint64 `json:"revision"`
	// Keys lists every key under the prefix.
	Keys []string `json:"keys"`
	// Values holds those that changed after the revision asked for.
	Values []Value `json:"values"`
}

// Client reads one configuration service. It is safe for concurrent use.
type Client struct {
	base url.URL
	http *http.Client
}

// New returns a client of the service at address (ip:port). A nil tlsConfig
// means plain text.
func New(address string, tlsConfig *tls.Config) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "address of the configuration service: %q, allowed: ip:port", address)
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     tlsConfig,
		MaxConnsPerHost:     2,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		base: url.URL{Scheme: scheme, Host: address, Path: "/v1/values"},
		http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Read returns the values under prefix that changed after a revision, all of
// them after 0.
func (c *Client) Read(ctx context.Context, prefix string, after uint64) (Response, error) {
	return c.Watch(ctx, prefix, after, 0)
}

// Watch is Read that waits up to wait until something changes. The failure is
// KindOverloaded with the time to come back when the service's rate is used
// up, KindConfigUnreadable otherwise.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	target := c.base
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	if wait > 0 {
		q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	target.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Response{}, failure.Wrap(err, failure.KindInternal, "request to the configuration service")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// A silent connection would otherwise go back into the pool of HTTP/1
		// connections only when it is closed; drop whatever is idle.
		c.http.CloseIdleConnections()
		return Response{}, failure.Wrap(err, failure.KindConfigUnreadable, "configuration service unreachable")
	}
	defer func() { _ = resp.Body.Close() }()
	return decode(resp)
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func decode(resp *http.Response) (Response, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return Response{}, failure.New(failure.KindOverloaded, "rate of the configuration service used up").WithRetryAfter(retryAfter(resp.Header))
	}
	if resp.StatusCode != http.StatusOK {
		return Response{}, failure.New(failure.KindConfigUnreadable, "configuration service answered %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Response{}, failure.Wrap(err, failure.KindConfigUnreadable, "answer of the configuration service cut")
	}
	if len(body) > maxAnswer {
		return Response{}, failure.New(failure.KindConfigUnreadable, "answer of the configuration service above %d bytes", maxAnswer)
	}
	var a Response
	if err := json.Unmarshal(body, &a); err != nil {
		return Response{}, failure.Wrap(err, failure.KindConfigUnreadable, "answer of the configuration service is no JSON")
	}
	return a, nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
