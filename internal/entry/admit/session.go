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
	// heartbeat is the interval of renewals; each is answered.
	heartbeat = time.Second
	// silenceLimit closes a session that answered no heartbeat for so long. It
	// is below the life of a lease, so that leases move to a new connection
	// before they end.
	silenceLimit = 2500 * time.Millisecond
	// sendQueue bounds the messages that wait for the connection.
	sendQueue = 1024
)

// session is one stream to one control process.
type session struct {
	control string
	conn    *grpc.ClientConn
	stream  grpc.BidiStreamingClient[filbertv1.EntryMessage, filbertv1.ControlMessage]
	cancel  context.CancelFunc
	out     chan *filbertv1.EntryMessage
	done    chan struct{}

	mu      sync.Mutex
	waiting map[uint64]chan decision
	heard   time.Time
	closed  bool
	// beats are the times of the heartbeats that were not answered yet, and
	// answered the time of the last one that was.
	beats    []time.Time
	answered time.Time
}

// decision is a control process's answer to an ask.
type decision struct {
	message *filbertv1.ControlMessage
	// notBefore is a moment at which the answer was surely not given yet.
	// Messages of a stream keep their order: a decision that comes after the
	// answer to a heartbeat was made after that heartbeat was sent. The time of
	// arrival would not do: a decision can lie in a buffer for as long as this
	// process is paused.
	notBefore time.Time
}

// openSession connects and says hello. The stream outlives the context of the
// request that needed it first.
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
		out: make(chan *filbertv1.EntryMessage, sendQueue), done: make(chan struct{}),
		waiting: map[uint64]chan decision{}, heard: time.Now(),
	}
	s.out <- &filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Hello{Hello: hello}}
	go s.sendLoop()
	go s.receiveLoop()
	go s.watchSilence()
	return s, nil
}

func (s *session) sendLoop() {
	for {
		select {
		case m := <-s.out:
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
		s.heard = time.Now()
		s.mu.Unlock()
		s.deliver(m)
	}
}

func (s *session) deliver(m *filbertv1.ControlMessage) {
	switch body := m.Body.(type) {
	case *filbertv1.ControlMessage_Alive:
		s.beatAnswered()
	case *filbertv1.ControlMessage_Grant:
		s.answer(body.Grant.Request, m)
	case *filbertv1.ControlMessage_Refusal:
		s.answer(body.Refusal.Request, m)
	}
}

// answer hands a decision to the ask it belongs to. A decision that nobody
// waits for any more came after its ask was withdrawn; the allocator's lease
// then ends by itself.
func (s *session) answer(request uint64, m *filbertv1.ControlMessage) {
	s.mu.Lock()
	ch, ok := s.waiting[request]
	delete(s.waiting, request)
	d := decision{message: m, notBefore: s.answered}
	s.mu.Unlock()
	if ok {
		ch <- d
	}
}

// beat sends a heartbeat with the leases to renew.
func (s *session) beat(renewals *filbertv1.Renewals) {
	s.mu.Lock()
	s.beats = append(s.beats, time.Now())
	s.mu.Unlock()
	_ = s.send(&filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Renewals{Renewals: renewals}})
}

func (s *session) beatAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.beats) > 0 {
		s.answered = s.beats[0]
		s.beats = s.beats[1:]
	}
}

// watchSilence closes the session when a connection that still looks open
// carries nothing any more.
func (s *session) watchSilence() {
	ticker := time.NewTicker(heartbeat / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.mu.Lock()
			silent := time.Since(s.heard) > silenceLimit
			s.mu.Unlock()
			if silent {
				s.close()
				return
			}
		}
	}
}

// send queues a message; it fails when the session is closed or so far behind
// that its connection must be doubted.
func (s *session) send(m *filbertv1.EntryMessage) error {
	select {
	case <-s.done:
		return failure.New(failure.KindControlLost, "session with control process %s is closed", s.control)
	default:
	}
	select {
	case s.out <- m:
		return nil
	default:
		s.close()
		return failure.New(failure.KindControlLost, "control process %s takes no messages", s.control)
	}
}

// expect registers an ask before it is sent.
func (s *session) expect(request uint64) chan decision {
	ch := make(chan decision, 1)
	s.mu.Lock()
	s.waiting[request] = ch
	s.mu.Unlock()
	return ch
}

// forget takes an ask back; false means that its decision is on its way to
// the channel already.
func (s *session) forget(request uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.waiting[request]
	delete(s.waiting, request)
	return ok
}

func (s *session) close() {
	s.mu.Lock()
	already := s.closed
	s.closed = true
	s.mu.Unlock()
	if already {
		return
	}
	close(s.done)
	s.cancel()
	_ = s.conn.Close()
}
