package admit

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

const (
	// heartbeatInterval is the interval of renewals; each is answered.
	heartbeatInterval = time.Second
	// silenceTimeout closes a session over which nothing was received for so
	// long. It is shorter than a lease, so that leases move to a new connection
	// before they expire.
	silenceTimeout = 2500 * time.Millisecond
	// sendQueueLength is the maximum number of messages that wait to be sent.
	sendQueueLength = 1024
)

// session is one admission stream to one control process.
type session struct {
	control   string
	conn      *grpc.ClientConn
	stream    grpc.BidiStreamingClient[filbertv1.EntryMessage, filbertv1.ControlMessage]
	cancel    context.CancelFunc
	sendQueue chan *filbertv1.EntryMessage
	done      chan struct{}

	mu             sync.Mutex
	pendingAsks    map[uint64]chan decision
	lastReceivedAt time.Time
	closed         bool
	// unansweredHeartbeats holds the send times of the heartbeats that are not
	// answered yet, and lastAnsweredHeartbeat that of the last answered one.
	unansweredHeartbeats  []time.Time
	lastAnsweredHeartbeat time.Time
}

// decision is a control process's reply to an ask.
type decision struct {
	message *filbertv1.ControlMessage
	// notBefore is a time at which the decision had certainly not been made.
	// Messages of a stream keep their order, so a decision that follows the
	// reply to a heartbeat was made after that heartbeat was sent. The time of
	// arrival cannot be used: a decision can stay in a buffer for as long as
	// this process is paused.
	notBefore time.Time
}

// openSession connects and sends the hello message. The stream does not end with
// the context of the request that opened it.
func openSession(control string, creds rpc.Credentials, hello *filbertv1.Hello) (*session, error) {
	conn, err := rpc.Dial(control, creds)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := filbertv1.NewAdmissionClient(conn).Session(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, failure.Wrap(err, failure.KindControlLost, "control process %s cannot be reached", control)
	}
	s := &session{
		control: control, conn: conn, stream: stream, cancel: cancel,
		sendQueue: make(chan *filbertv1.EntryMessage, sendQueueLength), done: make(chan struct{}),
		pendingAsks: map[uint64]chan decision{}, lastReceivedAt: time.Now(),
	}
	s.sendQueue <- &filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Hello{Hello: hello}}
	go s.sendLoop()
	go s.receiveLoop()
	go s.watchSilence()
	return s, nil
}

func (s *session) sendLoop() {
	for {
		select {
		case m := <-s.sendQueue:
			if s.stream.Send(m) != nil {
				s.close()
				return
			}
		case <-s.done:
			return
		}
	}
}

func (s *session) receiveLoop() {
	defer s.close()
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.lastReceivedAt = time.Now()
		s.mu.Unlock()
		s.dispatch(m)
	}
}

func (s *session) dispatch(m *filbertv1.ControlMessage) {
	switch body := m.Body.(type) {
	case *filbertv1.ControlMessage_Alive:
		s.handleHeartbeatReply()
	case *filbertv1.ControlMessage_Grant:
		s.deliverDecision(body.Grant.Request, m)
	case *filbertv1.ControlMessage_Refusal:
		s.deliverDecision(body.Refusal.Request, m)
	}
}

// deliverDecision passes a decision to the goroutine that waits for it. A
// decision without a waiter arrived after its ask was withdrawn; the allocator's
// lease then expires.
func (s *session) deliverDecision(request uint64, m *filbertv1.ControlMessage) {
	s.mu.Lock()
	ch, ok := s.pendingAsks[request]
	delete(s.pendingAsks, request)
	d := decision{message: m, notBefore: s.lastAnsweredHeartbeat}
	s.mu.Unlock()
	if ok {
		ch <- d
	}
}

// sendHeartbeat sends a heartbeat with the leases to renew.
func (s *session) sendHeartbeat(renewals *filbertv1.Renewals) {
	s.mu.Lock()
	s.unansweredHeartbeats = append(s.unansweredHeartbeats, time.Now())
	s.mu.Unlock()
	_ = s.send(&filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Renewals{Renewals: renewals}})
}

func (s *session) handleHeartbeatReply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unansweredHeartbeats) > 0 {
		s.lastAnsweredHeartbeat = s.unansweredHeartbeats[0]
		s.unansweredHeartbeats = s.unansweredHeartbeats[1:]
	}
}

// watchSilence closes the session when nothing is received for silenceTimeout
// although the connection still looks open.
func (s *session) watchSilence() {
	ticker := time.NewTicker(heartbeatInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.mu.Lock()
			silent := time.Since(s.lastReceivedAt) > silenceTimeout
			s.mu.Unlock()
			if silent {
				s.close()
				return
			}
		}
	}
}

// send queues a message. It fails if the session is closed or its queue is full;
// a full queue also closes the session, since its connection no longer makes
// progress.
func (s *session) send(m *filbertv1.EntryMessage) error {
	select {
	case <-s.done:
		return failure.New(failure.KindControlLost, "session with control process %s is closed", s.control)
	default:
	}
	select {
	case s.sendQueue <- m:
		return nil
	default:
		s.close()
		return failure.New(failure.KindControlLost, "the send queue for control process %s is full", s.control)
	}
}

// registerAsk registers an ask before it is sent and returns the channel for its
// decision.
func (s *session) registerAsk(request uint64) chan decision {
	ch := make(chan decision, 1)
	s.mu.Lock()
	s.pendingAsks[request] = ch
	s.mu.Unlock()
	return ch
}

// removeAsk removes a pending ask. It returns false if the decision is already
// being delivered to the channel.
func (s *session) removeAsk(request uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.pendingAsks[request]
	delete(s.pendingAsks, request)
	return ok
}

func (s *session) close() {
	s.mu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if alreadyClosed {
		return
	}
	close(s.done)
	s.cancel()
	_ = s.conn.Close()
}
