// Package relay sends requests to targets through another host.
//
// A host that is partitioned from the targets of a service is still reached by
// callers and by other hosts. It keeps all decisions about a request: which target it
// goes to, whether it is sent again, and what its caller is told. The other host
// connects to the target, reports that, waits for the word to start, writes the
// request and passes the answer back. Until this host has sent that word the request
// has not run and may go another way; afterwards its outcome is as uncertain as on a
// connection of this host's own.
package relay

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/relaypeers"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
	"filbertdeck/internal/rpc"
)

const (
	// maxHosts limits the hosts that are asked for one request.
	maxHosts = 4
	// defaultHostTimeout bounds the time in which one host must have connected to the
	// target. A round trip between data centres and a connection take some ten
	// milliseconds.
	defaultHostTimeout = 250 * time.Millisecond
	// findTimeout bounds the time for all of them, in which the deadline that is
	// written in the request grows stale.
	findTimeout = 400 * time.Millisecond
	// minHosts is the number of hosts that are each given the whole time for one host
	// even if findTimeout passes meanwhile. Otherwise a host that does not answer leaves
	// the next one 150 ms, and none if this process is delayed.
	minHosts = 2
	// notFoundRetryAfter is returned when no host was found. Partitions heal, and
	// targets are replaced, within a few seconds.
	notFoundRetryAfter = 500 * time.Millisecond
	// aliveInterval is the longest time for which the sending host says nothing,
	// aliveTimeout the silence after which its connection counts as lost.
	aliveInterval = time.Second
	aliveTimeout  = 3 * time.Second
	// streamWindowBytes is the flow-control window of one request. A stream whose
	// caller does not read takes that much memory on each host.
	streamWindowBytes = 64 << 10
	// connectionIdleTimeout closes connections to hosts that are no longer asked.
	connectionIdleTimeout = 30 * time.Second
)

// Hosts lists the live hosts that may be asked, without this one.
type Hosts func() (near, all []string)

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	// Hosts returns the hosts of this host's data centre, and those of all data
	// centres in its region.
	Hosts Hosts
	// HostTimeout bounds the time in which one host must have connected to the target; 0
	// for the default.
	HostTimeout time.Duration
	// Reserve reserves the memory that a request takes until another host has read it; nil for
	// no limit.
	Reserve ReserveFunc
	Creds   rpc.Credentials
	Log     *slog.Logger
	Metrics gometrics.Registry
	// Now returns the time of the process's monotonic clock.
	Now func() time.Duration
}

// Client sends requests through other hosts. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// sent counts the requests that other hosts were told to start, failed the hosts
	// that could not or did not answer.
	sent, failed gometrics.Counter

	mu       sync.Mutex
	selector *relaypeers.Selector
	conns    map[string]*connection
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HostTimeout == 0 {
		cfg.HostTimeout = defaultHostTimeout
	}
	if cfg.Reserve == nil {
		cfg.Reserve = unlimited
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Client{
		cfg: cfg, selector: relaypeers.New(rng), conns: map[string]*connection{},
		sent:   gometrics.GetOrRegisterCounter("relay.sent", cfg.Metrics),
		failed: gometrics.GetOrRegisterCounter("relay.failed", cfg.Metrics),
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		c.retire(conn)
	}
}

// Do sends a request to the attempt's target through another host. beforeWrite runs
// once that host has connected to the target; if it returns an error, nothing is
// written and Do returns that error. Errors state whether the request ran, like those
// of targetclient.AtMostOnceClient. An error of kind KindNoTarget means that no host
// was found that reaches the service's targets, or that there is no memory to send the request.
func (c *Client) Do(req *http.Request, s *call.Attempt, beforeWrite func() error) (*http.Response, error) {
	x, err := c.find(req, s)
	if err != nil {
		return nil, err
	}
	return c.start(x, req, s, beforeWrite)
}

// find sends the request to a host that has connected to the target then. Until it returns, the
// request takes the memory that is reserved for it.
func (c *Client) find(req *http.Request, s *call.Attempt) (*exchange, error) {
	size := sizeOfRequest(req)
	release, ok := c.cfg.Reserve(size.memory())
	if !ok {
		return nil, failure.New(failure.KindNoTarget, "there is no memory to send the request through another host").WithRetryAfter(notFoundRetryAfter)
	}
	defer release()
	message, err := encodeRequest(req, s)
	if err != nil {
		return nil, err
	}
	ctx := size.announce(req.Context())
	findBy := time.Now().Add(findTimeout)
	var tried []string
	// unreachable is the failure of the first host that could not reach the target. A
	// second one is asked, since the first may have just been partitioned itself.
	var unreachable error
	for len(tried) < maxHosts && (len(tried) < minHosts || time.Now().Before(findBy)) && req.Context().Err() == nil {
		host, ok := c.choose(s.Target.Service, tried)
		if !ok {
			break
		}
		timeout := c.cfg.HostTimeout
		if len(tried) >= minHosts {
			timeout = min(timeout, time.Until(findBy))
		}
		tried = append(tried, host)
		exchange, err := c.connect(ctx, host, message, timeout)
		switch {
		case err == nil:
			c.record(host, s.Target.Service, nil)
			return exchange, nil
		case err == errRequestEnded:
			// That says nothing about the host.
		case failure.KindOf(err) == failure.KindControlLost:
			c.record(host, s.Target.Service, err)
			c.cfg.Log.Debug("host can't send the request", "request", s.ID, "host", host, "cause", err)
		case !isUnreachable(err) || unreachable != nil:
			return nil, err
		default:
			unreachable = err
		}
	}
	if unreachable != nil {
		return nil, unreachable
	}
	return nil, failure.New(failure.KindNoTarget, "no host was found that reaches targets of %s, of %d asked", s.Target.Service, len(tried)).WithRetryAfter(notFoundRetryAfter)
}

// isUnreachable reports whether a host could not connect to the target.
func isUnreachable(err error) bool {
	kind := failure.KindOf(err)
	return kind == failure.KindTargetFailed || kind == failure.KindTargetTimeout
}

// choose returns the next host to ask.
func (c *Client) choose(service string, tried []string) (string, bool) {
	near, all := c.cfg.Hosts()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.Choose(c.cfg.Now(), service, near, all, tried)
}

func (c *Client) record(host, service string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.selector.RecordServed(c.cfg.Now(), host, service)
		return
	}
	c.failed.Inc(1)
	c.selector.RecordFailed(c.cfg.Now(), host, service)
}

// exchange is one request on its way through a host.
type exchange struct {
	host   string
	stream grpc.BidiStreamingClient[filbertv1.RelayCall, filbertv1.RelayReply]
	// end ends the exchange, at both hosts and at the target. It may be called more
	// than once.
	end func()
	// silent is set when the host said nothing for aliveTimeout, which has ended the
	// exchange.
	silent bool
}

// errRequestEnded says that a request ended before a host had its whole time: its caller
// has left, its deadline has passed, or it goes another way.
var errRequestEnded = failure.New(failure.KindDeadline, "the request ended while a host connected to the target")

// connect has a host connect to the target. The error is of kind KindControlLost if
// another host may be asked, and errRequestEnded if the request has ended.
func (c *Client) connect(ctx context.Context, host string, message *filbertv1.RelayRequest, timeout time.Duration) (*exchange, error) {
	conn, err := c.acquire(host)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "host %s can't be asked", host)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	end := sync.OnceFunc(func() { cancel(); c.release(conn) })
	timer := time.AfterFunc(timeout, cancel)
	stream, err := filbertv1.NewRelayClient(conn.ClientConn).Send(streamCtx)
	if err == nil {
		err = stream.Send(&filbertv1.RelayCall{Step: &filbertv1.RelayCall_Request{Request: message}})
	}
	var reply *filbertv1.RelayReply
	if err == nil || err == io.EOF {
		// io.EOF says that the host has answered before it had read the request.
		reply, err = stream.Recv()
	}
	inTime := timer.Stop()
	if inTime && err != nil && hasEnded(ctx) {
		end()
		return nil, errRequestEnded
	}
	if !inTime || err != nil {
		end()
		c.retireNow(conn)
		return nil, failure.Wrap(err, failure.KindControlLost, "host %s did not connect to the target in time", host)
	}
	if f := reply.GetFailure(); f != nil {
		end()
		if f.GetHostAtFault() {
			return nil, failure.New(failure.KindControlLost, "host %s: %s", host, f.GetDetail())
		}
		return nil, decodeFailure(f)
	}
	return &exchange{host: host, stream: stream, end: end}, nil
}

// hasEnded reports whether a request has ended. Its deadline may be noticed by the other side
// first, before the timer of the context has run.
func hasEnded(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// start has the host write the request, and waits for the header of the answer.
func (c *Client) start(x *exchange, req *http.Request, s *call.Attempt, beforeWrite func() error) (*http.Response, error) {
	if err := beforeWrite(); err != nil {
		x.end()
		return nil, err
	}
	c.sent.Inc(1)
	c.cfg.Log.Info("request sent through another host", "request", s.ID, "host", x.host, "target", s.Target.ID)
	if err := x.stream.Send(&filbertv1.RelayCall{Step: &filbertv1.RelayCall_Start{Start: &filbertv1.RelayStart{}}}); err != nil {
		x.end()
		return nil, connectionLost(err, x.host)
	}
	reply, err := x.receive()
	if err == nil && x.silent {
		err = hostSilent(x.host)
	}
	if err != nil {
		x.end()
		return nil, err
	}
	answer := reply.GetAnswer()
	if answer == nil {
		x.end()
		return nil, connectionLost(nil, x.host)
	}
	resp := decodeAnswer(answer, req, &answerBody{exchange: x})
	// The host may be of a version that does not check what it passes on.
	if invalid := httpcheck.Response(resp); invalid != nil {
		x.end()
		return nil, invalid.Failure()
	}
	return resp, nil
}

// receive returns the host's next message that says something. io.EOF is the end of
// a complete answer. A message may arrive just when the host has been silent for too
// long; nothing follows it then.
func (x *exchange) receive() (*filbertv1.RelayReply, error) {
	for {
		silent := time.AfterFunc(aliveTimeout, x.end)
		reply, err := x.stream.Recv()
		if !silent.Stop() {
			x.silent = true
		}
		switch {
		case err == io.EOF:
			return nil, io.EOF
		case err != nil && x.silent:
			return nil, hostSilent(x.host)
		case err != nil:
			return nil, connectionLost(err, x.host)
		case reply.GetFailure() != nil:
			return nil, decodeFailure(reply.GetFailure())
		case reply.GetAlive() == nil:
			return reply, nil
		}
	}
}

// hostSilent returns the failure of a request whose exchange ended because the sending
// host said nothing for too long after the start.
func hostSilent(host string) error {
	return failure.New(failure.KindTargetLost, "host %s said nothing for %s", host, aliveTimeout).WithExecutionUnknown()
}

// connectionLost returns the failure of a request whose connection to the sending host broke
// after the start.
func connectionLost(cause error, host string) error {
	if status.Code(cause) == codes.DeadlineExceeded {
		return failure.Wrap(cause, failure.KindTargetTimeout, "the target did not respond in time through host %s", host).WithExecutionUnknown()
	}
	if cause == nil || cause == io.EOF {
		return failure.New(failure.KindTargetLost, "host %s gave no answer", host).WithExecutionUnknown()
	}
	return failure.Wrap(cause, failure.KindTargetLost, "the connection to host %s broke", host).WithExecutionUnknown()
}

// answerBody is the body of an answer that arrives through another host.
type answerBody struct {
	*exchange
	unread []byte
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		reply, err := b.receive()
		if err != nil {
			return 0, err
		}
		b.unread = reply.GetBody()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer. It ends the request at the target if that still runs
// it.
func (b *answerBody) Close() error {
	b.end()
	return nil
}

// connection is a connection to a host. It is closed once it is retired and no
// exchange uses it.
type connection struct {
	*grpc.ClientConn
	address string
	uses    int
	retired bool
}

func (c *Client) acquire(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		opened, err := rpc.Dial(address, c.cfg.Creds, grpc.WithInitialWindowSize(streamWindowBytes), grpc.WithIdleTimeout(connectionIdleTimeout))
		if err != nil {
			return nil, err
		}
		conn = &connection{ClientConn: opened, address: address}
		c.conns[address] = conn
	}
	conn.uses++
	return conn, nil
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.uses--
	c.closeUnused(conn)
}

// retireNow has the next request to a host use a new connection: one on which the host
// does not answer may be dead.
func (c *Client) retireNow(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retire(conn)
}

func (c *Client) retire(conn *connection) {
	if c.conns[conn.address] == conn {
		delete(c.conns, conn.address)
	}
	conn.retired = true
	c.closeUnused(conn)
}

func (c *Client) closeUnused(conn *connection) {
	if conn.retired && conn.uses == 0 {
		// The only error is that it is closed already.
		_ = conn.Close()
	}
}
