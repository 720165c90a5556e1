// Package sessions serves the entries' sessions: it turns their messages into
// events of the pools' allocators and hands the decisions back.
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

// Pools finds the runner of a pool that this process may admit to now. The
// fence leads the requests that are sent under its grants.
type Pools interface {
	Runner(name string) (r *poolrunner.Runner, fence uint64, ok bool)
}

// sendQueue bounds the decisions that wait for one entry's connection.
const sendQueue = 4096

// retryNotOwner is told to an entry whose view of the owners is old.
const retryNotOwner = 200 * time.Millisecond

// Server holds the open sessions.
type Server struct {
	pools Pools

	mu   sync.Mutex
	open map[admission.Holder]*session
}

// New returns a server without sessions.
func New(pools Pools) *Server {
	return &Server{pools: pools, open: map[admission.Holder]*session{}}
}

type stream = grpc.BidiStreamingServer[filbertv1.EntryMessage, filbertv1.ControlMessage]

type session struct {
	holder admission.Holder
	out    chan *filbertv1.ControlMessage
	done   chan struct{}
	once   sync.Once
}

func (s *session) close() { s.once.Do(func() { close(s.done) }) }

// send queues a message. An entry that takes no messages is cut off: its
// leases expire, and it asks again over a new connection.
func (s *session) send(m *filbertv1.ControlMessage) {
	select {
	case s.out <- m:
	default:
		s.close()
	}
}

// Serve runs one session until either side ends it.
func (s *Server) Serve(stream stream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return failure.New(failure.KindBadRequest, "a session begins with hello")
	}
	ss := &session{
		holder: admission.Holder{Entry: hello.Entry, Incarnation: hello.Incarnation},
		out:    make(chan *filbertv1.ControlMessage, sendQueue), done: make(chan struct{}),
	}
	s.register(ss)
	defer s.unregister(ss)
	go s.receive(stream, ss)
	return ss.sendLoop(stream)
}

func (ss *session) sendLoop(stream stream) error {
	for {
		select {
		case m := <-ss.out:
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-ss.done:
			return nil
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (s *Server) receive(stream stream, ss *session) {
	defer ss.close()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		s.handle(ss, m)
	}
}

// register replaces an older session of the same entry process: decisions go
// to the connection that was opened last.
func (s *Server) register(ss *session) {
	s.mu.Lock()
	old := s.open[ss.holder]
	s.open[ss.holder] = ss
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func (s *Server) unregister(ss *session) {
	ss.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[ss.holder] == ss {
		delete(s.open, ss.holder)
	}
}

// Deliver sends a decision to its holder. When the holder is gone its lease
// expires by itself.
func (s *Server) Deliver(name string, d admission.Decision) {
	s.mu.Lock()
	ss := s.open[d.Holder]
	s.mu.Unlock()
	if ss == nil {
		return
	}
	if !d.Granted() {
		ss.send(refusal(d.Request, reasons[d.Reason], d.RetryAfter))
		return
	}
	_, fence, _ := s.pools.Runner(name)
	ss.send(&filbertv1.ControlMessage{Body: &filbertv1.ControlMessage_Grant{Grant: &filbertv1.Grant{
		Request: d.Request, Lease: uint64(d.Lease), Target: d.Target,
		LeaseMs: uint32(d.LeaseDuration.Milliseconds()), Priority: int32(d.Priority), Fence: fence,
	}}})
}

var reasons = map[admission.RefusalReason]filbertv1.RefusalReason{
	admission.RefusedOverloaded:   filbertv1.RefusalReason_REFUSAL_REASON_OVERLOADED,
	admission.RefusedNoTarget:     filbertv1.RefusalReason_REFUSAL_REASON_NO_TARGET,
	admission.RefusedPoison:       filbertv1.RefusalReason_REFUSAL_REASON_POISON,
	admission.RefusedAccountLimit: filbertv1.RefusalReason_REFUSAL_REASON_ACCOUNT_LIMIT,
	admission.RefusedDeadline:     filbertv1.RefusalReason_REFUSAL_REASON_DEADLINE,
	admission.RefusedStopping:     filbertv1.RefusalReason_REFUSAL_REASON_STOPPING,
	admission.RefusedTooLarge:     filbertv1.RefusalReason_REFUSAL_REASON_TOO_LARGE,
}

func refusal(request uint64, reason filbertv1.RefusalReason, after time.Duration) *filbertv1.ControlMessage {
	return &filbertv1.ControlMessage{Body: &filbertv1.ControlMessage_Refusal{Refusal: &filbertv1.Refusal{
		Request: request, Reason: reason, RetryAfterMs: uint32(after.Milliseconds()),
	}}}
}
