package servicecall

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

// Peers hands calls to other entries over gRPC.
type Peers struct {
	Creds rpc.Credentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPeers returns a forwarder without connections.
func NewPeers(creds rpc.Credentials) *Peers {
	return &Peers{Creds: creds, conns: map[string]*grpc.ClientConn{}}
}

// Close ends all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

func (p *Peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := rpc.Dial(address, p.Creds)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// drop closes a connection that is in doubt, so that the next call opens
// another one.
func (p *Peers) drop(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = conn.Close()
}

// Forward hands the call to its owner. When the owner does not answer the
// outcome is unknown, also when it was never reached: it may have run an
// earlier sending of the same call.
func (p *Peers) Forward(ctx context.Context, owner idempotency.Process, key string, revision uint64, call Call) (*idempotency.Answer, bool, error) {
	conn, err := p.conn(owner.Address)
	if err != nil {
		return nil, false, idempotency.OwnerUnreachable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, onceLimit)
	defer cancel()
	reply, err := filbertv1.NewForwardClient(conn).RunOnce(ctx, &filbertv1.RunOnceRequest{
		Key: key, Account: call.Account.Name, Service: call.Service.Name,
		Method: call.Method, Path: call.Path, Headers: forwarded(call.Header), Body: call.Body,
		Incarnation: owner.Incarnation, HostsRevision: revision, DeadlineMs: uint32(onceLimit.Milliseconds()),
	})
	if err != nil {
		p.drop(owner.Address, conn)
		return nil, false, idempotency.OwnerUnreachable(err)
	}
	if reply.Problem != "" {
		return nil, false, failure.FromProblem(failure.Problem{
			Title: reply.Problem, Executed: failure.Executed(reply.Executed),
			Detail: "answer of the entry that owns the key", RetryAfterMS: int64(reply.RetryAfterMs),
		})
	}
	return &idempotency.Answer{Status: int(reply.Status), Headers: headersFromWire(reply.Headers), Body: reply.Body}, reply.Replayed, nil
}

func forwarded(h http.Header) []*filbertv1.Header {
	var out []*filbertv1.Header
	for _, name := range passed {
		for _, value := range h.Values(name) {
			out = append(out, &filbertv1.Header{Name: name, Value: value})
		}
	}
	return out
}

// Server takes calls that other entries hand over.
type Server struct {
	filbertv1.UnimplementedForwardServer
	Once  *Once
	Board *state.Board
	// Begin counts a request in progress, so that a stop waits for it.
	Begin func() (end func(), err error)
}

// RunOnce implements the Forward service. The call is booked at the entry that
// the caller spoke to, not here.
func (s *Server) RunOnce(ctx context.Context, r *filbertv1.RunOnceRequest) (*filbertv1.RunOnceReply, error) {
	end, err := s.Begin()
	if err != nil {
		return problemReply(failure.From(err).Unknown()), nil
	}
	defer end()
	call, err := s.call(r)
	if err != nil {
		return problemReply(err), nil
	}
	origin := &Origin{Incarnation: r.Incarnation, HostsRevision: r.HostsRevision}
	answer, replayed, err := s.Once.Run(ctx, call, r.Key, origin)
	if err != nil {
		return problemReply(err), nil
	}
	return &filbertv1.RunOnceReply{
		Status: uint32(answer.Status), Headers: headersToWire(answer.Headers), Body: answer.Body, Replayed: replayed,
		Executed: string(failure.ExecutedYes),
	}, nil
}

func (s *Server) call(r *filbertv1.RunOnceRequest) (Call, error) {
	t := s.Board.Table.Get()
	if t == nil {
		return Call{}, failure.New(failure.KindNotReady, "the entry that owns the key has no table yet")
	}
	account, service := t.Accounts[r.Account], t.Services[r.Service]
	if account == nil || service == nil {
		return Call{}, failure.New(failure.KindUnknownService, "account or service is not in the table of the key's owner")
	}
	header := http.Header{}
	for _, h := range r.Headers {
		header.Add(h.Name, h.Value)
	}
	// A throw-away row: the counters belong to the entry that the caller spoke
	// to.
	books := accounting.New().Begin(r.Account, r.Service)
	return Call{
		Account: account, Service: service, Method: r.Method, Path: r.Path,
		Header: header, Body: r.Body, Books: books, Arrived: time.Now(),
	}, nil
}

func problemReply(err error) *filbertv1.RunOnceReply {
	f := failure.From(err)
	return &filbertv1.RunOnceReply{
		Problem: string(f.Kind), Executed: string(f.Executed), RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
	}
}
