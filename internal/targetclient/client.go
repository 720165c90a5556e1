// Package targetclient makes the HTTP clients that call targets.
//
// Go's http.Transport re-sends a request by itself when a reused connection
// fails, if the request has an Idempotency-Key or X-Idempotency-Key header or
// a body that can be replayed, and http.Client follows redirects. Behind a
// target that runs a call and then drops the connection, that books a work
// order twice, and the caller sees a plain success. Whether a call may be sent
// again is for the entry to decide, so no client made here does it: NewOnce
// can't, by construction, and New has nothing that sets it off.
package targetclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Settings bound the calls to a target; the zero value of a field means its
// default.
type Settings struct {
	// DialTimeout bounds the connecting, TLS included.
	DialTimeout time.Duration
	// ResponseHeaderTimeout bounds the wait for the answer's header after the request was
	// written.
	ResponseHeaderTimeout time.Duration
	// ReadIdleTimeout bounds the time without a single byte from the target once it
	// answers. A connection that some box between has forgotten stays open
	// and silent for good; only this ends it.
	ReadIdleTimeout time.Duration
	// IdlePerTarget bounds the idle connections that New keeps per target.
	IdlePerTarget int
	// TLS gives the settings of the next connection, so that they can follow
	// renewed files; nil means plain text.
	TLS func() *tls.Config
}

// The defaults and their grounds.
const (
	// DefaultDial: two lost SYNs (1 s each) would be past it; a target in the
	// region connects in a few milliseconds.
	DefaultDial = time.Second
	// DefaultHeader: a plain service answers within a second, also when slow.
	DefaultHeader = 10 * time.Second
	// DefaultSilence: engines send a comment every second; five lost ones in
	// a row mean a dead connection.
	DefaultSilence = 5 * time.Second
	// DefaultIdlePerTarget: about the requests that one entry has in progress
	// at one target.
	DefaultIdlePerTarget = 16
)

// bufferSize is that of a connection's two buffers, in bytes. A stream brings
// events of some hundred bytes and holds its connection for minutes; Go's
// default of 4 KiB each was the largest part of a stream's memory.
const bufferSize = 1 << 10

// maxHeaderBytes bounds the header of a target's answer.
const maxHeaderBytes = 64 << 10

func (s Settings) withDefaults() Settings {
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDial
	}
	if s.ResponseHeaderTimeout == 0 {
		s.ResponseHeaderTimeout = DefaultHeader
	}
	if s.ReadIdleTimeout == 0 {
		s.ReadIdleTimeout = DefaultSilence
	}
	if s.IdlePerTarget == 0 {
		s.IdlePerTarget = DefaultIdlePerTarget
	}
	return s
}

// keepAlive finds dead peers while a request waits for its answer's header,
// when Silence does not run yet: 3 s + 3 x 1 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// dial connects, with the TLS handshake done: what is written to the
// connection afterwards is the request and nothing else.
func (s Settings) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
	defer cancel()
	raw, err := Dial(ctx, network, address, s.DialTimeout)
	if err != nil || s.TLS == nil {
		return raw, err
	}
	config := s.TLS()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secured := tls.Client(raw, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secured, nil
}

// transport never speaks HTTP/2: its client re-sends on its own account after
// GOAWAY and REFUSED_STREAM, and its streams share one connection's fate.
func (s Settings) transport() *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            s.dial,
		DialTLSContext:         s.dial,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    s.IdlePerTarget,
		IdleConnTimeout:        30 * time.Second,
		ResponseHeaderTimeout:  s.ResponseHeaderTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

// quiet returns a copy of the request without anything that makes Go send it
// again. The target still receives the key: header names don't depend on case,
// while Go looks for the canonical spelling only.
func quiet(req *http.Request) *http.Request {
	out := req.Clone(req.Context())
	out.GetBody = nil
	if out.Body != nil && out.Body != http.NoBody {
		out.Body = plainBody{out.Body}
	}
	for canonical, spelled := range resendHeaders {
		if values, present := out.Header[canonical]; present {
			delete(out.Header, canonical)
			out.Header[spelled] = values
		}
	}
	return out
}

// resendHeaders maps the headers that make http.Transport re-send a request to
// spellings that don't.
var resendHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// plainBody hides the concrete type of a body, from which net/http could make
// a second copy.
type plainBody struct {
	body interface {
		Read([]byte) (int, error)
		Close() error
	}
}

func (b plainBody) Read(p []byte) (int, error) { return b.body.Read(p) }
func (b plainBody) Close() error               { return b.body.Close() }

// Client calls targets whose requests may be sent again, by the entry's own
// decision. It keeps connections. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client for lookups and generations.
func New(s Settings) *Client {
	s = s.withDefaults()
	t := s.transport()
	t.DialContext = s.dialWatched
	t.DialTLSContext = s.dialWatched
	return &Client{transport: t}
}

func (s Settings) dialWatched(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, silence: s.ReadIdleTimeout + s.ResponseHeaderTimeout}, nil
}

// Do sends the request once. Redirects are handed back like any answer. A
// failure is a *failure.Error; see classify.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	sent := &sentFlag{}
	resp, err := c.transport.RoundTrip(quiet(sent.trace(req)))
	if err != nil {
		return nil, classify(err, sent.started.Load())
	}
	return resp, nil
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }
