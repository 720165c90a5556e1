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

// PeerForwarder forwards calls to other entries over gRPC.
type PeerForwarder struct {
	Creds rpc.Credentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPeerForwarder returns a forwarder without connections.
func NewPeerForwarder(creds rpc.Credentials) *PeerForwarder {
	return &PeerForwarder{Creds: creds, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (p *PeerForwarder) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

func (p *PeerForwarder) conn(address string) (*grpc.ClientConn, error) {
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

// closeConn closes a connection on which a call failed, so that the next call
// opens a new one.
func (p *PeerForwarder) closeConn(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = conn.Close()
}

// Forward sends the call to the owner of its key. If the owner does not answer,
// the outcome is unknown even when it could not be reached: it may have run an
// earlier attempt of the same call.
func (p *PeerForwarder) Forward(ctx context.Context, owner idempotency.Process, key string, revision uint64, call Call) (*idempotency.Answer, bool, error) {
	conn, err := p.conn(owner.Address)
	if err != nil {
		return nil, false, idempotency.OwnerUnreachable(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, atMostOnceTimeout)
	defer cancel()
	reply, err := filbertv1.NewForwardClient(conn).RunOnce(callCtx, &filbertv1.RunOnceRequest{
		Key: key, Account: call.Account.Name, Service: call.Service.Name,
		Method: call.Method, Path: call.Path, Headers: forwardedHeaders(call.Header), Body: call.Body,
		Incarnation: owner.Incarnation, HostsRevision: revision, DeadlineMs: uint32(atMostOnceTimeout.Milliseconds()),
	})
	if err != nil {
		// A caller that has left says nothing about the connection, which other calls use.
		if ctx.Err() == nil {
			p.closeConn(owner.Address, conn)
		}
		return nil, false, idempotency.OwnerUnreachable(err)
	}
	if reply.Problem != "" {
		return nil, false, failure.FromProblem(failure.Problem{
			Title: reply.Problem, Executed: failure.Executed(reply.Executed),
			Detail: "answer of the entry that owns the key", RetryAfterMS: int64(reply.RetryAfterMs),
		})
	}
	return &idempotency.Answer{Status: int(reply.Status), Headers: headersFromProto(reply.Headers), Body: reply.Body}, reply.Replayed, nil
}

func forwardedHeaders(h http.Header) []*filbertv1.Header {
	var out []*filbertv1.Header
	for _, name := range requestHeaders {
		for _, value := range h.Values(name) {
			out = append(out, &filbertv1.Header{Name: name, Value: []byte(value)})
		}
	}
	return out
}

// ForwardServer handles calls forwarded by other entries.
type ForwardServer struct {
	filbertv1.UnimplementedForwardServer
	Relay *AtMostOnceRelay
	Board *state.Board
	// Begin counts a request as in progress, so that a shutdown waits for it.
	Begin func() (end func(), err error)
}

// RunOnce implements the Forward service. The call is accounted for at the entry
// that received it from the caller, not here.
func (s *ForwardServer) RunOnce(ctx context.Context, r *filbertv1.RunOnceRequest) (*filbertv1.RunOnceReply, error) {
	end, err := s.Begin()
	if err != nil {
		return problemReply(failure.FromError(err).WithExecutionUnknown()), nil
	}
	defer end()
	call, err := s.parseCall(r)
	if err != nil {
		return problemReply(err), nil
	}
	origin := &Origin{Incarnation: r.Incarnation, HostsRevision: r.HostsRevision}
	answer, replayed, err := s.Relay.Run(ctx, call, r.Key, origin)
	if err != nil {
		return problemReply(err), nil
	}
	return &filbertv1.RunOnceReply{
		Status: uint32(answer.Status), Headers: headersToProto(answer.Headers), Body: answer.Body, Replayed: replayed,
		Executed: string(failure.ExecutedYes),
	}, nil
}

func (s *ForwardServer) parseCall(r *filbertv1.RunOnceRequest) (Call, error) {
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
		header.Add(h.Name, string(h.Value))
	}
	// The usage is discarded: the entry that received the call from the caller
	// accounts for it.
	usage := accounting.New().Begin(r.Account, r.Service)
	return Call{
		Account: account, Service: service, Method: r.Method, Path: r.Path,
		Header: header, Body: r.Body, Accounting: usage, ArrivedAt: time.Now(),
	}, nil
}

func problemReply(err error) *filbertv1.RunOnceReply {
	f := failure.FromError(err)
	return &filbertv1.RunOnceReply{
		Problem: string(f.Kind), Executed: string(f.Executed), RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
	}
}
