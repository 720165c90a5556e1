package quota

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
	// callTimeout bounds a request: several fit into the life of a lease.
	callTimeout = 500 * time.Millisecond
	// idleAfter is when a connection that nobody uses is closed. Owners change
	// with the accounts that are active.
	idleAfter = time.Minute
)

// Peers is the Transport over grpc.
type Peers struct {
	creds rpc.Credentials

	mu     sync.Mutex
	conns  map[string]*peer
	swept  time.Time
	closed bool
}

// peer is one owner. Its stream carries one request at a time, so that a reply
// can't be taken for that of another request.
type peer struct {
	conn *grpc.ClientConn
	used time.Time

	mu     sync.Mutex
	stream filbertv1.Quota_RenewClient
	cancel context.CancelFunc
}

// NewPeers returns a transport without connections.
func NewPeers(creds rpc.Credentials) *Peers {
	return &Peers{creds: creds, conns: map[string]*peer{}}
}

// Renew implements Transport.
func (p *Peers) Renew(ctx context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	to, err := p.get(owner)
	if err != nil {
		return nil, err
	}
	reply, late, err := to.renew(ctx, req)
	if err == nil {
		return reply, nil
	}
	// The connection may be silent for good while a new one would work.
	if late {
		p.drop(owner, to)
	}
	return nil, failure.Wrap(err, failure.KindControlLost, "owner %s of an account did not answer", owner)
}

// renew sends one request and waits for its reply; late says that it ran into
// its timeout. After a failure the next request opens a new stream: on the old
// one the reply to this request could still come.
func (t *peer) renew(ctx context.Context, req *filbertv1.RenewQuotaRequest) (reply *filbertv1.RenewQuotaReply, late bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stream == nil {
		var streamCtx context.Context
		streamCtx, t.cancel = context.WithCancel(ctx)
		stop := time.AfterFunc(callTimeout, t.cancel)
		t.stream, err = filbertv1.NewQuotaClient(t.conn).Renew(streamCtx)
		if err != nil {
			t.reset()
			return nil, !stop.Stop(), err
		}
		stop.Stop()
	} else {
		req.From, req.Incarnation = "", 0
	}
	stop := time.AfterFunc(callTimeout, t.cancel)
	reply, err = exchange(t.stream, req)
	late = !stop.Stop()
	if err != nil || late {
		t.reset()
	}
	return reply, late, err
}

func exchange(stream filbertv1.Quota_RenewClient, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	if err := stream.Send(req); err != nil {
		return nil, err
	}
	return stream.Recv()
}

func (t *peer) reset() {
	t.cancel()
	t.stream = nil
}

func (p *Peers) get(owner string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, failure.New(failure.KindStopping, "quota has stopped")
	}
	p.sweep(time.Now())
	if c := p.conns[owner]; c != nil {
		c.used = time.Now()
		return c, nil
	}
	conn, err := rpc.Dial(owner, p.creds)
	if err != nil {
		return nil, err
	}
	c := &peer{conn: conn, used: time.Now()}
	p.conns[owner] = c
	return c, nil
}

func (p *Peers) sweep(now time.Time) {
	if now.Sub(p.swept) < idleAfter {
		return
	}
	p.swept = now
	for owner, c := range p.conns {
		if now.Sub(c.used) > idleAfter {
			_ = c.conn.Close()
			delete(p.conns, owner)
		}
	}
}

func (p *Peers) drop(owner string, to *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[owner] == to {
		delete(p.conns, owner)
	}
	_ = to.conn.Close()
}

// Close closes all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for owner, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, owner)
	}
}
