package callerconn

import (
	"net"
	"sync"
	"time"

	"filbertdeck/internal/decide/connbudget"
	"filbertdeck/internal/failure"
)

const (
	// callBytes is what a call on a connection holds beside its messages, in bytes: its state in
	// the HTTP/2 transport, and the stacks of its goroutines.
	callBytes = 8 << 10
	// roomPollInterval is the time between two checks for room, roomTimeout the time after which
	// a connection is closed on which more has arrived than there is room for. With the default
	// grace time, peers whose calls stand still have been evicted by then.
	roomPollInterval = 10 * time.Millisecond
	roomTimeout      = 2 * time.Second
)

// errNoRoom ends a connection for whose calls there is no room.
var errNoRoom = failure.New(failure.KindOverloaded, "there is no memory for more calls")

// Peers are the connections of a listener that carry several calls at a time over HTTP/2. It is
// safe for concurrent use.
type Peers struct {
	budget *Budget
	mu     sync.Mutex
	// conns has the open connections by the address of the peer.
	conns map[string]*streamConn
}

// NewPeers returns Peers without connections.
func NewPeers(b *Budget) *Peers { return &Peers{budget: b, conns: map[string]*streamConn{}} }

// Listen returns a listener whose connections count what their calls hold: each call, and what
// has arrived of its messages.
func (p *Peers) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, budget: p.budget, wrap: func(conn net.Conn, hold *connbudget.Conn) net.Conn {
		c := &streamConn{Conn: conn, peers: p, budget: p.budget, hold: hold, in: frameScanner{skip: clientPrefaceBytes}, calls: map[uint32]int64{}}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns[conn.RemoteAddr().String()] = c
		return c
	}}
}

// Serve records that a call of a peer is served, until end is called. Its connection is not
// evicted meanwhile, and does not wait for room.
func (p *Peers) Serve(peer net.Addr) (end func()) {
	p.mu.Lock()
	c := p.conns[peer.String()]
	p.mu.Unlock()
	if c == nil {
		return func() {}
	}
	c.addServed(1)
	return func() { c.addServed(-1) }
}

func (p *Peers) remove(c *streamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address := c.Conn.RemoteAddr().String(); p.conns[address] == c {
		delete(p.conns, address)
	}
}

// streamConn is a connection with several calls at a time. It is idle without a call, and
// receiving while it has calls of which none is served: it moves when a call ends, so that a peer
// is slow that neither completes its requests nor reads the answers.
type streamConn struct {
	net.Conn
	peers  *Peers
	budget *Budget
	hold   *connbudget.Conn
	// in and out follow the frames from and to the peer. Each is used by one goroutine.
	in, out frameScanner

	mu    sync.Mutex
	phase connbudget.Phase
	// calls has the bytes that each call in progress holds. total is their sum, reserved the part
	// of it that is reserved.
	calls           map[uint32]int64
	total, reserved int64
	// served is the number of calls that are served.
	served int
}

// Read implements net.Conn. It returns what has arrived only once there is room for the calls
// and messages that begin in it.
func (c *streamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.countRead(p[:n])
	for waited := time.Duration(0); !c.reserveTotal(); waited += roomPollInterval {
		if waited >= roomTimeout {
			c.budget.refused.Inc(1)
			c.peers.remove(c)
			c.budget.close(c.hold)
			abort(c.Conn)
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom}
		}
		time.Sleep(roomPollInterval)
	}
	return n, err
}

// countRead counts what was read.
func (c *streamConn) countRead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in.scan(p, func(f frame) {
		held, begun := c.calls[f.stream]
		switch {
		case f.kind == resetFrame:
			c.endCallLocked(f.stream)
		case f.kind == headersFrame && !begun && f.stream != 0:
			c.holdLocked(f.stream, callBytes)
		case f.kind == dataFrame && begun:
			c.holdLocked(f.stream, held+int64(min(f.length, maxFrameBytes)))
		}
	})
	c.enterPhaseLocked()
	if c.phase == connbudget.Idle {
		// A connection without a call is idle since its peer last sent something.
		c.budget.enter(c.hold, connbudget.Idle)
		c.budget.move(c.hold, len(p))
	}
}

// Write implements net.Conn.
func (c *streamConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.scan(p[:n], func(f frame) {
		if f.endsStream() {
			c.endCallLocked(f.stream)
		}
	})
	c.enterPhaseLocked()
	return n, err
}

func (c *streamConn) holdLocked(call uint32, bytes int64) {
	c.total += bytes - c.calls[call]
	c.calls[call] = bytes
}

// endCallLocked gives back what a call holds.
func (c *streamConn) endCallLocked(call uint32) {
	bytes, begun := c.calls[call]
	if !begun {
		return
	}
	delete(c.calls, call)
	c.total -= bytes
	if c.reserved > c.total {
		c.reserved = c.total
		c.budget.release(c.hold, c.total)
	}
	c.budget.move(c.hold, int(bytes))
}

// reserveTotal reserves what all calls hold. It returns false if there is no room; a connection
// with a call that is served does without.
func (c *streamConn) reserveTotal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	more := c.total - c.reserved
	if more > 0 && c.budget.tryReserve(c.hold, more) {
		c.reserved = c.total
	}
	return c.reserved >= c.total || c.served > 0
}

func (c *streamConn) enterPhaseLocked() {
	phase := connbudget.Receiving
	switch {
	case c.served > 0:
		phase = connbudget.Serving
	case len(c.calls) == 0:
		phase = connbudget.Idle
	}
	if phase != c.phase {
		c.phase = phase
		c.budget.enter(c.hold, phase)
	}
}

func (c *streamConn) addServed(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served += n
	c.enterPhaseLocked()
}

// NetConn returns the connection below.
func (c *streamConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *streamConn) Close() error {
	c.peers.remove(c)
	c.budget.close(c.hold)
	return c.Conn.Close()
}
