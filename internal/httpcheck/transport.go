package httpcheck

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport that checks its responses. A request whose response is invalid
// fails with an *Error, and its connection is closed. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that sends requests with t, whose dial functions it replaces. t
// speaks HTTP/1 only, and dials itself: without TLS with DialContext, with TLS with
// DialTLSContext.
func NewTransport(t *http.Transport) *Transport {
	t.DialContext, t.DialTLSContext = checkedDial(t.DialContext), checkedDial(t.DialTLSContext)
	return &Transport{t}
}

func checkedDial(dial dialFunc) dialFunc {
	if dial == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if checked, ok := info.Conn.(*Conn); ok {
			conn = checked
			conn.expectResponse()
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if conn == nil {
		return resp, err
	}
	return conn.outcome(resp, err)
}

// ReadResponse reads the final response to a request with a reader that reads from conn alone; the
// reader bounds the interim ones. If the response is invalid it fails with an *Error, or closes
// conn and has reading the body fail with one.
func ReadResponse(conn *Conn, from *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := conn.outcome(http.ReadResponse(from, req))
		if err != nil || resp.StatusCode >= minFinalStatus {
			return resp, err
		}
	}
}

// outcome returns the outcome of reading a response's head from the connection. net/http may have
// an error of its own for the part of the head that it got.
func (c *Conn) outcome(resp *http.Response, err error) (*http.Response, error) {
	if invalid := c.invalid(); err != nil && invalid != nil {
		return nil, invalid
	}
	if err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp, conn: c}
	}
	return resp, nil
}

// chunkedBody checks the trailer of a response.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
	conn *Conn
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if invalid := b.invalidTrailer(err); invalid != nil {
		_ = b.conn.Close()
		return n, invalid
	}
	return n, err
}

// invalidTrailer returns what is wrong with the trailer; readErr is the error of reading the body.
func (b *chunkedBody) invalidTrailer(readErr error) *Error {
	if readErr == io.EOF {
		if invalid := checkFields(b.resp.Trailer); invalid != nil {
			return newError(PartTrailer, invalid.Text)
		}
	}
	// net/http parses fields of the body nowhere else.
	if malformed := textproto.ProtocolError(""); errors.As(readErr, &malformed) {
		return newError(PartTrailer, "")
	}
	return nil
}

// Conn is a connection on which the head of each response is checked as it is read.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker
	err  *Error
}

// NewConn returns a Conn that reads from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// expectResponse says that what is read next is the response to another request. The first one
// may have begun to arrive.
func (c *Conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.done {
		c.head = headChecker{}
	}
}

// Read implements io.Reader. After an *Error nothing more is read.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.invalid(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	checked, invalid := c.head.check(p[:n])
	if invalid != nil {
		c.err = invalid
		return checked, invalid
	}
	return n, err
}

func (c *Conn) invalid() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		return nil
	}
	return c.err
}
