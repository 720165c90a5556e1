package quota

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

const (
	// callTimeout bounds a call: several fit into the life of a lease.
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

type peer struct {
	conn *grpc.ClientConn
	used time.Time
}

// NewPeers returns a transport without connections.
func NewPeers(creds rpc.Credentials) *Peers {
	return &Peers{creds: creds, conns: map[string]*peer{}}
}

// Renew implements Transport.
func (p *Peers) Renew(ctx context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	conn, err := p.get(owner)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := filbertv1.NewQuotaClient(conn).Renew(ctx, req)
	if err == nil {
		return reply, nil
	}
	// The connection may be silent for good while a new one would work.
	if status.Code(err) == codes.DeadlineExceeded {
		p.drop(owner, conn)
	}
	return nil, failure.Wrap(err, failure.KindControlLost, "owner %s of an account did not answer", owner)
}

func (p *Peers) get(owner string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, failure.New(failure.KindStopping, "quota has stopped")
	}
	p.sweep(time.Now())
	if c := p.conns[owner]; c != nil {
		c.used = time.Now()
		return c.conn, nil
	}
	conn, err := rpc.Dial(owner, p.creds)
	if err != nil {
		return nil, err
	}
	p.conns[owner] = &peer{conn: conn, used: time.Now()}
	return conn, nil
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

func (p *Peers) drop(owner string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[owner]; c != nil && c.conn == conn {
		delete(p.conns, owner)
		_ = conn.Close()
	}
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
