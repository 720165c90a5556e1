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

// Limits and timing of the connections.
const (
	// maxOtherConnections bounds the connections to peers that are not
	// neighbours: relays of indirect probes, failed members, and sources of
	// large documents.
	maxOtherConnections = 16
	// connectTimeout bounds the setup of a connection, including its TLS
	// handshake.
	connectTimeout = 2 * time.Second
	// The delay before a refused connection is retried grows from minBackoff to
	// maxBackoff.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	// Messages are a few hundred bytes; gRPC's default of 32 KB in each
	// direction would be most of the memory used.
	bufferBytes = 4 << 10
	// flowWindowBytes is the fixed flow control window of a connection. With a
	// dynamic window, gRPC answers every message with a ping to measure the
	// bandwidth.
	flowWindowBytes = 256 << 10
)

// connectionPool holds the connections to other processes.
type connectionPool struct {
	creds   credentials.TransportCredentials
	metrics metricCounters

	mu         sync.Mutex
	conns      map[string]*connection
	neighbours []string
	closed     bool
}

type connection struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
	// activeCalls counts the calls in progress. retired is set once no new
	// calls may start on the connection.
	activeCalls int
	retired     bool
}

func newConnectionPool(creds credentials.TransportCredentials, m metricCounters) *connectionPool {
	return &connectionPool{creds: creds, metrics: m, conns: map[string]*connection{}}
}

// call runs one call with its own timeout. A connection on which a call times
// out may never carry data again, while a new one would, so later calls use a
// new connection. Calls in progress keep the old one until they end: on a host
// that is short of CPU, probes time out while a document of several megabytes
// is being transferred, and closing the connection would restart the transfer
// each time, so that the host would never get the newest table.
func (p *connectionPool) call(ctx context.Context, address string, timeout time.Duration,
	fn func(context.Context, filbertv1.GossipClient) error,
) error {
	conn, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer p.release(conn)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = fn(ctx, filbertv1.NewGossipClient(conn.conn))
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.DeadlineExceeded {
		p.metrics.redials.Inc(1)
		p.retire(address, conn)
	}
	return failure.Wrap(err, failure.KindControlLost, "peer %s did not answer", address).WithExecutionUnknown()
}

// acquire returns the connection to a peer, opening it if necessary, and counts
// a call on it.
func (p *connectionPool) acquire(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, failure.New(failure.KindStopping, "gossip has stopped")
	}
	c := p.conns[address]
	if c == nil {
		p.evictLeastRecentlyUsed()
		conn, err := p.open(address)
		if err != nil {
			return nil, err
		}
		c = &connection{conn: conn}
		p.conns[address] = c
	}
	c.lastUsed = time.Now()
	c.activeCalls++
	return c, nil
}

// release ends a call; the last call on a retired connection closes it.
func (p *connectionPool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.activeCalls--
	if c.retired && c.activeCalls == 0 {
		_ = c.conn.Close()
	}
}

// retire prevents new calls on a connection.
func (p *connectionPool) retire(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(address, c)
}

// retireLocked removes a connection from the pool, and closes it unless calls
// are in progress on it. The caller holds the lock.
func (p *connectionPool) retireLocked(address string, c *connection) {
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	c.retired = true
	if c.activeCalls == 0 {
		_ = c.conn.Close()
	}
}

func (p *connectionPool) open(address string) (*grpc.ClientConn, error) {
	// The passthrough scheme prevents name resolution by gRPC: peer addresses
	// are numeric.
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		// The peer may have processed a call that was sent, so retries are left
		// to the callers.
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(flowWindowBytes), grpc.WithInitialConnWindowSize(flowWindowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "connection to peer %s", address)
	}
	return conn, nil
}

// evictLeastRecentlyUsed retires the least recently used connection to a
// process that is not a neighbour, if there are maxOtherConnections of them.
func (p *connectionPool) evictLeastRecentlyUsed() {
	oldest, otherCount := "", 0
	for address, c := range p.conns {
		if slices.Contains(p.neighbours, address) {
			continue
		}
		otherCount++
		if oldest == "" || c.lastUsed.Before(p.conns[oldest].lastUsed) {
			oldest = address
		}
	}
	if otherCount >= maxOtherConnections {
		p.retireLocked(oldest, p.conns[oldest])
	}
}

// setNeighbours sets the neighbours, whose connections are not evicted.
func (p *connectionPool) setNeighbours(neighbours []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neighbours = neighbours
}

// isNeighbour reports whether a peer is a neighbour.
func (p *connectionPool) isNeighbour(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.neighbours, address)
}

func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, address)
	}
}
