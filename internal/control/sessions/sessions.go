// Package sessions serves the sessions of entries: it passes their messages to
// the pools' allocators as events and sends the decisions back.
package sessions

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/failure"
)

// Pools finds the runner of a pool that this process may admit to at present.
// The fence goes with every request that is sent under one of its grants.
type Pools interface {
	Runner(name string) (r *poolrunner.Runner, fence uint64, ok bool)
}

// sendQueueSize bounds the messages that wait for one entry's connection.
const sendQueueSize = 4096

// notOwnerRetryDelay is the retry delay for an entry whose view of the owners
// is out of date.
const notOwnerRetryDelay = 200 * time.Millisecond

// Server holds the open sessions.
type Server struct {
	pools Pools

	mu           sync.Mutex
	openSessions map[admission.Holder]*session
}

// New returns a server without sessions.
func New(pools Pools) *Server {
	return &Server{pools: pools, openSessions: map[admission.Holder]*session{}}
}

type entryStream = grpc.BidiStreamingServer[filbertv1.EntryMessage, filbertv1.ControlMessage]

type session struct {
	holder    admission.Holder
	outgoing  chan *filbertv1.ControlMessage
	done      chan struct{}
	closeOnce sync.Once
}

func (s *session) close() { s.closeOnce.Do(func() { close(s.done) }) }

// send queues a message. If the queue is full, the session is closed: the
// entry's leases expire, and it asks again over a new connection.
func (s *session) send(m *filbertv1.ControlMessage) {
	select {
	case s.outgoing <- m:
	default:
		s.close()
	}
}

// Serve runs one session until either side ends it.
func (s *Server) Serve(stream entryStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return failure.New(failure.KindBadRequest, "the first message of a session must be hello")
	}
	sess := &session{
		holder:   admission.Holder{EntryAddress: hello.Entry, Incarnation: hello.Incarnation},
		outgoing: make(chan *filbertv1.ControlMessage, sendQueueSize), done: make(chan struct{}),
	}
	s.register(sess)
	defer s.unregister(sess)
	go s.receive(stream, sess)
	return sess.sendLoop(stream)
}

func (s *session) sendLoop(stream entryStream) error {
	for {
		select {
		case m := <-s.outgoing:
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-s.done:
			return nil
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (s *Server) receive(stream entryStream, sess *session) {
	defer sess.close()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		s.handleMessage(sess, m)
	}
}

// register replaces an older session of the same entry process, so that
// decisions go to the newest connection.
func (s *Server) register(sess *session) {
	s.mu.Lock()
	old := s.openSessions[sess.holder]
	s.openSessions[sess.holder] = sess
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func (s *Server) unregister(sess *session) {
	sess.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openSessions[sess.holder] == sess {
		delete(s.openSessions, sess.holder)
	}
}

// Deliver sends a decision to its holder. If the holder has no session, the
// lease expires.
func (s *Server) Deliver(poolName string, d admission.Decision) {
	s.mu.Lock()
	sess := s.openSessions[d.Holder]
	s.mu.Unlock()
	if sess == nil {
		return
	}
	if !d.Granted() {
		sess.send(newRefusal(d.RequestID, refusalReasons[d.Reason], d.RetryAfter))
		return
	}
	_, fence, _ := s.pools.Runner(poolName)
	sess.send(&filbertv1.ControlMessage{Body: &filbertv1.ControlMessage_Grant{Grant: &filbertv1.Grant{
		Request: d.RequestID, Lease: uint64(d.Lease), Target: d.Target,
		LeaseMs: uint32(d.LeaseDuration.Milliseconds()), Priority: int32(d.Priority), Fence: fence,
	}}})
}

var refusalReasons = map[admission.RefusalReason]filbertv1.RefusalReason{
	admission.RefusedOverloaded:   filbertv1.RefusalReason_REFUSAL_REASON_OVERLOADED,
	admission.RefusedNoTarget:     filbertv1.RefusalReason_REFUSAL_REASON_NO_TARGET,
	admission.RefusedPoison:       filbertv1.RefusalReason_REFUSAL_REASON_POISON,
	admission.RefusedAccountLimit: filbertv1.RefusalReason_REFUSAL_REASON_ACCOUNT_LIMIT,
	admission.RefusedDeadline:     filbertv1.RefusalReason_REFUSAL_REASON_DEADLINE,
	admission.RefusedStopping:     filbertv1.RefusalReason_REFUSAL_REASON_STOPPING,
	admission.RefusedTooLarge:     filbertv1.RefusalReason_REFUSAL_REASON_TOO_LARGE,
}

func newRefusal(request uint64, reason filbertv1.RefusalReason, retryAfter time.Duration) *filbertv1.ControlMessage {
	return &filbertv1.ControlMessage{Body: &filbertv1.ControlMessage_Refusal{Refusal: &filbertv1.Refusal{
		Request: request, Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds()),
	}}}
}
