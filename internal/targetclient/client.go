// Package targetclient provides the HTTP clients that call targets.
//
// Go's http.Transport automatically retries a request when a reused connection
// fails, if the request has an Idempotency-Key or X-Idempotency-Key header or
// a body that can be replayed, and http.Client follows redirects. If a target
// runs a call and then drops the connection, the retry runs the call twice
// while the caller sees a success. Only the entry decides whether a call may be
// sent again, so neither client of this package retries: the at-most-once
// client sends each request on a connection of its own, and Client removes from
// a request whatever makes Go retry it.
//
// Both check their responses with package httpcheck.
package targetclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"filbertdeck/internal/httpcheck"
)

// Settings holds the timeouts and limits of calls to a target. The zero value
// of a field means its default.
type Settings struct {
	// DialTimeout is the timeout for connecting, including the TLS handshake.
	DialTimeout time.Duration
	// ResponseHeaderTimeout is the timeout for the response header after the request was
	// written.
	ResponseHeaderTimeout time.Duration
	// ReadIdleTimeout is the read idle timeout of a response. A connection whose state
	// a middlebox has dropped stays open forever without data; only this timeout
	// ends it.
	ReadIdleTimeout time.Duration
	// MaxIdleConnsPerTarget is the maximum number of idle connections that a Client
	// keeps per target.
	MaxIdleConnsPerTarget int
	// TLS returns the configuration of the next connection, so that renewed
	// certificates take effect; nil means plain text.
	TLS func() *tls.Config
	// Connect opens a TCP connection; Dial by default.
	Connect ConnectFunc
}

// ConnectFunc opens a TCP connection to an address (ip:port) within a timeout.
type ConnectFunc func(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error)

// The defaults of the settings.
const (
	// DefaultDialTimeout is exceeded after two lost SYNs (1 s each). A target in
	// the region connects within a few milliseconds.
	DefaultDialTimeout = time.Second
	// DefaultResponseHeaderTimeout leaves room for plain services, which respond
	// within a second even when they are slow.
	DefaultResponseHeaderTimeout = 10 * time.Second
	// DefaultReadIdleTimeout allows for five missing comments in a row, which
	// mean a dead connection. Engines send a comment every second.
	DefaultReadIdleTimeout = 5 * time.Second
	// DefaultMaxIdleConnsPerTarget is about the number of requests that one
	// entry has in progress at one target.
	DefaultMaxIdleConnsPerTarget = 16
)

// bufferSize is the size of a connection's read buffer and of its write buffer,
// in bytes. Events of a stream have a few hundred bytes, and a stream keeps its
// connection for minutes; with Go's default of 4 KiB each, the buffers were the
// largest part of a stream's memory.
const bufferSize = 1 << 10

// maxHeaderBytes is the maximum size of a response header, in bytes.
const maxHeaderBytes = 64 << 10

func (s Settings) withDefaults() Settings {
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.ResponseHeaderTimeout == 0 {
		s.ResponseHeaderTimeout = DefaultResponseHeaderTimeout
	}
	if s.ReadIdleTimeout == 0 {
		s.ReadIdleTimeout = DefaultReadIdleTimeout
	}
	if s.MaxIdleConnsPerTarget == 0 {
		s.MaxIdleConnsPerTarget = DefaultMaxIdleConnsPerTarget
	}
	if s.Connect == nil {
		s.Connect = Dial
	}
	return s
}

// Keep-alive probes of a connection on which nothing arrives. They cover the wait
// for the response header, when the read idle timeout does not apply yet, and
// detect a dead peer within four seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// dial connects and completes the TLS handshake, so that everything that is
// written to the connection afterwards belongs to the request.
func (s Settings) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
	defer cancel()
	conn, err := s.Connect(ctx, network, address, s.DialTimeout)
	if err != nil || s.TLS == nil {
		return conn, err
	}
	config := s.TLS()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// transport returns a transport without HTTP/2. Go's HTTP/2 client retries
// requests automatically after GOAWAY and REFUSED_STREAM, and all streams of a
// connection fail together.
func (s Settings) transport() *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            s.dial,
		DialTLSContext:         s.dial,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    s.MaxIdleConnsPerTarget,
		IdleConnTimeout:        30 * time.Second,
		ResponseHeaderTimeout:  s.ResponseHeaderTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

// withoutAutoRetry returns a copy of the request that Go does not retry
// automatically. The target still receives the idempotency key: HTTP header
// names are case-insensitive, while Go checks for the canonical spelling only.
func withoutAutoRetry(req *http.Request) *http.Request {
	out := req.Clone(req.Context())
	out.GetBody = nil
	if out.Body != nil && out.Body != http.NoBody {
		out.Body = opaqueBody{out.Body}
	}
	for canonical, unrecognized := range retryHeaderSpellings {
		if values, present := out.Header[canonical]; present {
			delete(out.Header, canonical)
			out.Header[unrecognized] = values
		}
	}
	return out
}

// retryHeaderSpellings maps the headers that make http.Transport retry a
// request to spellings that it does not recognize.
var retryHeaderSpellings = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// opaqueBody hides the concrete type of a body, from which net/http could
// create a second copy for a retry.
type opaqueBody struct {
	body interface {
		Read([]byte) (int, error)
		Close() error
	}
}

func (b opaqueBody) Read(p []byte) (int, error) { return b.body.Read(p) }
func (b opaqueBody) Close() error               { return b.body.Close() }

// Client calls targets whose requests the entry may decide to send again. It
// reuses connections. It is safe for concurrent use.
type Client struct {
	transport *httpcheck.Transport
}

// New returns a client for lookups and generations.
func New(s Settings) *Client {
	s = s.withDefaults()
	t := s.transport()
	t.DialContext = s.dialWithReadTimeout
	t.DialTLSContext = s.dialWithReadTimeout
	return &Client{transport: httpcheck.NewTransport(t)}
}

func (s Settings) dialWithReadTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.withReadTimeout(conn), nil
}

// withReadTimeout returns a connection whose reads end when nothing arrives for too long.
func (s Settings) withReadTimeout(conn net.Conn) net.Conn {
	return &readTimeoutConn{Conn: conn, timeout: s.ReadIdleTimeout + s.ResponseHeaderTimeout}
}

// Do sends the request once. It returns redirects like any other response.
// Errors are of type *failure.Error, see classifyError.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	tracker := &writeTracker{}
	resp, err := c.transport.RoundTrip(withoutAutoRetry(tracker.trace(req)))
	if err != nil {
		return nil, classifyError(err, tracker.gotConn.Load())
	}
	return resp, nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }
