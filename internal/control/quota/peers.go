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
	// callTimeout bounds a request; several fit into the duration of a lease.
	callTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed. The
	// owners in use change with the accounts that are active.
	idleTimeout = time.Minute
)

// Peers implements Transport over gRPC.
type Peers struct {
	creds rpc.Credentials

	mu      sync.Mutex
	peers   map[string]*peer
	sweptAt time.Time
	closed  bool
}

// peer is the connection to one owner. Its stream carries one request at a
// time, so that a reply cannot be taken for that of another request.
type peer struct {
	conn     *grpc.ClientConn
	lastUsed time.Time

	mu     sync.Mutex
	stream filbertv1.Quota_RenewClient
	cancel context.CancelFunc
}

// NewPeers returns a transport without connections.
func NewPeers(creds rpc.Credentials) *Peers {
	return &Peers{creds: creds, peers: map[string]*peer{}}
}

// Renew implements Transport.
func (p *Peers) Renew(ctx context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	ownerPeer, err := p.peerFor(owner)
	if err != nil {
		return nil, err
	}
	reply, timedOut, err := ownerPeer.renew(ctx, req)
	if err == nil {
		return reply, nil
	}
	// The connection may have failed silently, and a new one works.
	if timedOut {
		p.closePeer(owner, ownerPeer)
	}
	return nil, failure.Wrap(err, failure.KindControlLost, "account owner %s did not answer", owner)
}

// renew sends one request and waits for its reply; timedOut reports whether it
// exceeded callTimeout. After a failure the next request opens a new stream, as
// the reply to this request could still arrive on the old one.
func (p *peer) renew(ctx context.Context, req *filbertv1.RenewQuotaRequest) (reply *filbertv1.RenewQuotaReply, timedOut bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream == nil {
		var streamCtx context.Context
		streamCtx, p.cancel = context.WithCancel(ctx)
		stop := time.AfterFunc(callTimeout, p.cancel)
		p.stream, err = filbertv1.NewQuotaClient(p.conn).Renew(streamCtx)
		timedOut = !stop.Stop()
		if err == nil && timedOut {
			err = context.DeadlineExceeded
		}
		if err != nil {
			p.reset()
			return nil, timedOut, err
		}
	} else {
		req.From, req.Incarnation = "", 0
	}
	stop := time.AfterFunc(callTimeout, p.cancel)
	reply, err = exchange(p.stream, req)
	timedOut = !stop.Stop()
	if err != nil || timedOut {
		p.reset()
	}
	return reply, timedOut, err
}

func exchange(stream filbertv1.Quota_RenewClient, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	if err := stream.Send(req); err != nil {
		return nil, err
	}
	return stream.Recv()
}

func (p *peer) reset() {
	p.cancel()
	p.stream = nil
}

func (p *Peers) peerFor(owner string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, failure.New(failure.KindStopping, "the quota transport is closed")
	}
	p.closeIdle(time.Now())
	if c := p.peers[owner]; c != nil {
		c.lastUsed = time.Now()
		return c, nil
	}
	conn, err := rpc.Dial(owner, p.creds)
	if err != nil {
		return nil, err
	}
	c := &peer{conn: conn, lastUsed: time.Now()}
	p.peers[owner] = c
	return c, nil
}

func (p *Peers) closeIdle(now time.Time) {
	if now.Sub(p.sweptAt) < idleTimeout {
		return
	}
	p.sweptAt = now
	for owner, c := range p.peers {
		if now.Sub(c.lastUsed) > idleTimeout {
			_ = c.conn.Close()
			delete(p.peers, owner)
		}
	}
}

func (p *Peers) closePeer(owner string, ownerPeer *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[owner] == ownerPeer {
		delete(p.peers, owner)
	}
	_ = ownerPeer.conn.Close()
}

// Close closes all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for owner, c := range p.peers {
		_ = c.conn.Close()
		delete(p.peers, owner)
	}
}
