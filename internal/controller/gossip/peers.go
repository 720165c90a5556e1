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
	// windowBytes of a connection is fixed: to find it out, grpc would answer
	// every message with a ping of its own.
	windowBytes = 256 << 10
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
	// calls counts those in progress; retired is set once no new ones begin.
	calls   int
	retired bool
}

func newPeers(creds credentials.TransportCredentials, m counters) *peers {
	return &peers{creds: creds, metrics: m, conns: map[string]*connection{}}
}

// call runs one call with its own timeout. A connection on which a call runs
// into it may be silent for good while a new one would work, so later calls
// get another one. Calls in progress there keep it until they end: on a host
// that is short of processor time probes time out while a document of some
// megabytes is on its way, and closing the connection under it would begin the
// transfer anew each time, so that the host never learns the newest table.
func (p *peers) call(ctx context.Context, address string, timeout time.Duration,
	do func(context.Context, filbertv1.GossipClient) error,
) error {
	conn, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer p.release(conn)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = do(ctx, filbertv1.NewGossipClient(conn.conn))
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.DeadlineExceeded {
		p.metrics.redials.Inc(1)
		p.retire(address, conn)
	}
	return failure.Wrap(err, failure.KindControlLost, "peer %s did not answer", address).Unknown()
}

// acquire gives the connection to a peer, opened if there is none, and counts
// a call on it.
func (p *peers) acquire(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, failure.New(failure.KindStopping, "gossip has stopped")
	}
	c := p.conns[address]
	if c == nil {
		p.makeRoom()
		conn, err := p.open(address)
		if err != nil {
			return nil, err
		}
		c = &connection{conn: conn}
		p.conns[address] = c
	}
	c.used = time.Now()
	c.calls++
	return c, nil
}

// release ends a call; the last one closes a retired connection.
func (p *peers) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	if c.retired && c.calls == 0 {
		_ = c.conn.Close()
	}
}

// retire lets no new call begin on a connection.
func (p *peers) retire(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(address, c)
}

// drop takes a connection out of use, and closes it unless calls are in
// progress on it. The caller holds the lock.
func (p *peers) drop(address string, c *connection) {
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	c.retired = true
	if c.calls == 0 {
		_ = c.conn.Close()
	}
}

func (p *peers) open(address string) (*grpc.ClientConn, error) {
	// The prefix keeps grpc from resolving names: peers are known by number.
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		// A call that was sent may have been taken; repeating is ours to decide.
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: lastBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "peer %s", address)
	}
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
		p.drop(oldest, p.conns[oldest])
	}
}

// keep names the neighbours, whose connections stay.
func (p *peers) keep(neighbours []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neighbours = neighbours
}

// isNeighbour tells whether a peer is one of the neighbours.
func (p *peers) isNeighbour(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.neighbours, address)
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
