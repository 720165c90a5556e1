package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
)

// Figures of the connections.
const (
	// maxConnections bounds connections to peers that are no neighbours:
	// relays, lost members, senders of large documents.
	maxConnections = 16
	// connectTimeout bounds a new connection with its TLS handshake.
	connectTimeout = 2 * time.Second
	// Dialling a peer that refuses is paused from the first to the last figure.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// bufferBytes is the size of a connection's buffers. Messages are a few
	// hundred bytes; grpc's own 32 KB each way would be most of the memory.
	bufferBytes = 4 << 10
)

// peers holds the connections to other processes.
type peers struct {
	creds   credentials.TransportCredentials
	metrics counters

	mu         sync.Mutex
	conns      map[string]*connection
	neighbours []string
	closed     bool
}

type connection struct {
	conn *grpc.ClientConn
	used time.Time
}

func newPeers(creds credentials.TransportCredentials, m counters) *peers {
	return &peers{creds: creds, metrics: m, conns: map[string]*connection{}}
}

// call runs one call with its own timeout. A call that runs into it closes
// the connection: it may be silent for good while a new one would work.
func (p *peers) call(ctx context.Context, address string, timeout time.Duration,
	do func(context.Context, filbertv1.GossipClient) error,
) error {
	conn, err := p.get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = do(ctx, filbertv1.NewGossipClient(conn))
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.DeadlineExceeded {
		p.metrics.redials.Inc(1)
		p.drop(address, conn)
	}
	return failure.Wrap(err, failure.KindControlLost, "peer %s did not answer", address).Unknown()
}

func (p *peers) get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, failure.New(failure.KindStopping, "gossip has stopped")
	}
	if c := p.conns[address]; c != nil {
		c.used = time.Now()
		return c.conn, nil
	}
	p.makeRoom()
	// The prefix keeps grpc from resolving names: peers are known by number.
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		// A call that was sent may have been taken; repeating is ours to decide.
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: lastBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "peer %s", address)
	}
	p.conns[address] = &connection{conn: conn, used: time.Now()}
	return conn, nil
}

// makeRoom closes the connection that was not used for longest among those to
// processes that are no neighbours.
func (p *peers) makeRoom() {
	oldest, others := "", 0
	for a, c := range p.conns {
		if slices.Contains(p.neighbours, a) {
			continue
		}
		others++
		if oldest == "" || c.used.Before(p.conns[oldest].used) {
			oldest = a
		}
	}
	if others >= maxConnections {
		_ = p.conns[oldest].conn.Close()
		delete(p.conns, oldest)
	}
}

// keep names the neighbours, whose connections stay.
func (p *peers) keep(neighbours []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neighbours = neighbours
}

func (p *peers) drop(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil && c.conn == conn {
		delete(p.conns, address)
		_ = conn.Close()
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, a)
	}
}
