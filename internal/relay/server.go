package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
)

const (
	// maxConcurrent limits the requests of other hosts in progress here, so that they
	// leave room for this host's own callers.
	maxConcurrent = 256
	// requestTimeout bounds the wait for a request, for which memory is reserved.
	requestTimeout = 5 * time.Second
	// startTimeout bounds the wait for the word to start, in which the connection
	// takes a place at the target.
	startTimeout = 500 * time.Millisecond
	// maxTimeout bounds the time that another host can give a request.
	maxTimeout = 10 * time.Minute
	// bodyChunkBytes is the largest part of a body in one message.
	bodyChunkBytes = 16 << 10
)

// Sender sends a request to a target over this host's own connections.
type Sender interface {
	// PeerTarget returns the target with an id and a start in Unix milliseconds. An
	// error of kind KindNotReady says that this host can't send to its service.
	PeerTarget(id string, started int64) (*directory.ObservedTarget, error)
	// SendForPeer sends a request; ready runs once the connection stands. Errors of
	// kind KindNotReady are like those of PeerTarget.
	SendForPeer(req *http.Request, target *directory.ObservedTarget, s *call.Attempt, ready func() error) (*http.Response, error)
}

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Sender Sender
	// IsHost reports whether an IP address is that of a host.
	IsHost func(ip string) bool
	// Begin counts a request as in progress until end is called. It fails while this
	// host takes no new ones.
	Begin func() (end func(), err error)
	// Reserve reserves the memory that a request takes until it has ended; nil for no limit.
	Reserve ReserveFunc
	Log     *slog.Logger
	Metrics gometrics.Registry
}

// Server sends requests to targets for other hosts.
type Server struct {
	filbertv1.UnimplementedRelayServer
	cfg     ServerConfig
	slots   chan struct{}
	relayed gometrics.Counter
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Reserve == nil {
		cfg.Reserve = unlimited
	}
	return &Server{cfg: cfg, slots: make(chan struct{}, maxConcurrent), relayed: gometrics.GetOrRegisterCounter("relay.for_peers", cfg.Metrics)}
}

// Send implements the Relay service.
func (s *Server) Send(stream filbertv1.Relay_SendServer) error {
	if !s.isFromHost(stream.Context()) {
		return status.Error(codes.PermissionDenied, "only hosts may send requests")
	}
	memory := &reservation{reserve: s.cfg.Reserve}
	defer memory.release()
	if err := memory.extend(announcedSize(stream.Context())); err != nil {
		return stream.Send(encodeFailure(err, true))
	}
	first, err := receiveWithin(stream.Context(), stream, requestTimeout)
	if err != nil {
		return err
	}
	message := first.GetRequest()
	if message == nil {
		return status.Error(codes.InvalidArgument, "the first message is not a request")
	}
	if err := memory.extend(sizeOfMessage(message)); err != nil {
		return stream.Send(encodeFailure(err, true))
	}
	end, err := s.begin()
	if err != nil {
		return stream.Send(encodeFailure(err, true))
	}
	defer end()
	replies := newReplyWriter(stream)
	defer replies.stop()
	return s.relay(stream, replies, message)
}

// isFromHost reports whether a call comes from the address of a host.
func (s *Server) isFromHost(ctx context.Context) bool {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return false
	}
	ip, _, err := net.SplitHostPort(p.Addr.String())
	return err == nil && s.cfg.IsHost(ip)
}

// begin takes a place among the requests in progress.
func (s *Server) begin() (end func(), err error) {
	select {
	case s.slots <- struct{}{}:
	default:
		return nil, failure.New(failure.KindOverloaded, "%d requests of other hosts are in progress", maxConcurrent)
	}
	finish, err := s.cfg.Begin()
	if err != nil {
		<-s.slots
		return nil, err
	}
	return func() { finish(); <-s.slots }, nil
}

// relay sends one request and passes its answer back.
func (s *Server) relay(stream filbertv1.Relay_SendServer, replies *replyWriter, message *filbertv1.RelayRequest) error {
	timeout := time.Duration(message.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 || timeout > maxTimeout {
		timeout = maxTimeout
	}
	ctx, cancel := context.WithTimeout(stream.Context(), timeout)
	defer cancel()
	target, err := s.cfg.Sender.PeerTarget(message.GetTarget(), message.GetStarted())
	if err != nil {
		return replies.fail(err)
	}
	req, err := decodeRequest(ctx, message, target.Address)
	if err != nil {
		return replies.fail(err)
	}
	resp, err := s.cfg.Sender.SendForPeer(req, target, attempt(message, target.Target), func() error {
		return s.awaitStart(ctx, stream, replies, message.GetRequestId())
	})
	if err != nil {
		return replies.fail(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := replies.send(encodeAnswer(resp)); err != nil {
		return err
	}
	return replies.sendBody(resp.Body)
}

// awaitStart tells the other host that the connection stands, and waits for the word
// to start.
func (s *Server) awaitStart(ctx context.Context, stream filbertv1.Relay_SendServer, replies *replyWriter, id string) error {
	if err := replies.send(&filbertv1.RelayReply{Step: &filbertv1.RelayReply_Connected{Connected: &filbertv1.RelayConnected{}}}); err != nil {
		return failure.Wrap(err, failure.KindControlLost, "the host of the request is gone")
	}
	next, err := receiveWithin(ctx, stream, startTimeout)
	switch {
	case err != nil:
		return failure.Wrap(err, failure.KindControlLost, "the request was not started")
	case next.GetStart() == nil:
		return failure.New(failure.KindControlLost, "the second message is not the word to start")
	}
	s.relayed.Inc(1)
	s.cfg.Log.Info("request sent for another host", "request", id)
	return nil
}

// errSilent says that the other host sent nothing in time.
var errSilent = failure.New(failure.KindControlLost, "the other host sent nothing in time")

// receiveWithin returns the next message that arrives within a time. A stream on which none has
// must be ended.
func receiveWithin(ctx context.Context, stream filbertv1.Relay_SendServer, timeout time.Duration) (*filbertv1.RelayCall, error) {
	type received struct {
		message *filbertv1.RelayCall
		err     error
	}
	done := make(chan received, 1)
	go func() {
		message, err := stream.Recv()
		done <- received{message, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.message, r.err
	case <-timer.C:
		return nil, errSilent
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// replyWriter writes the replies of one request, and says that it is alive when there
// is nothing to write.
type replyWriter struct {
	stream  filbertv1.Relay_SendServer
	stopped chan struct{}

	mu     sync.Mutex
	sentAt time.Time
}

func newReplyWriter(stream filbertv1.Relay_SendServer) *replyWriter {
	w := &replyWriter{stream: stream, stopped: make(chan struct{}), sentAt: time.Now()}
	go w.keepAlive()
	return w
}

func (w *replyWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stopped)
}

func (w *replyWriter) keepAlive() {
	ticker := time.NewTicker(aliveInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
			w.sendAlive()
		}
	}
}

func (w *replyWriter) sendAlive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return
	default:
	}
	if time.Since(w.sentAt) < aliveInterval/2 {
		return
	}
	// An error ends the stream's context, which ends the request.
	_ = w.stream.Send(&filbertv1.RelayReply{Step: &filbertv1.RelayReply_Alive{Alive: &filbertv1.RelayAlive{}}})
	w.sentAt = time.Now()
}

func (w *replyWriter) send(reply *filbertv1.RelayReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentAt = time.Now()
	return w.stream.Send(reply)
}

// fail reports why a request failed here.
func (w *replyWriter) fail(err error) error {
	return w.send(encodeFailure(err, failure.KindOf(err) == failure.KindNotReady))
}

// sendBody passes a body on. A body that breaks off ends with a failure, so that it
// does not look complete.
func (w *replyWriter) sendBody(body io.Reader) error {
	chunk := make([]byte, bodyChunkBytes)
	var invalid *httpcheck.Error
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			// gRPC has encoded the message when Send returns.
			if sendErr := w.send(&filbertv1.RelayReply{Step: &filbertv1.RelayReply_Body{Body: chunk[:n]}}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &invalid):
			return w.fail(invalid.Failure())
		case err != nil:
			return w.fail(failure.Wrap(err, failure.KindTargetLost, "reading the answer failed").WithExecutionUnknown())
		}
	}
}
