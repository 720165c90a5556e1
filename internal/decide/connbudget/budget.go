// Package connbudget bounds what the callers' connections of a process hold together: the
// number of connections, and the memory that they make the process keep.
//
// A bound for each connection is not enough: what a legal request may need, times the
// connections that a host has descriptors for, is far more than the memory of a small host. A
// connection therefore reserves memory before it reads. When there is no room, the connection
// is evicted that has held the most for the longest while its peer is slow to send a request or
// to read an answer. One whose request is being served is never evicted: the request may have
// run.
//
// Types in this package are not safe for concurrent use. Times are those of a monotonic clock.
package connbudget

import "time"

// Config holds the limits of a Budget.
type Config struct {
	// MaxBytes limits the memory of all connections, MaxConns their number.
	MaxBytes int64
	MaxConns int
	// ConnBytes is what a connection holds while it is open, in bytes.
	ConnBytes int64
	// ConnReserve is the part of MaxBytes that only open connections may take, so that
	// ordinary requests, which reserve nothing more, are served beside large ones.
	ConnReserve int64
	// A peer is slow if it has not sent or read anything for Grace, or if it has done so at less
	// than MinRate, in bytes per second, for Grace and longer.
	Grace   time.Duration
	MinRate float64
}

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	// Idle is a connection without a request.
	Idle Phase = iota
	// Receiving is a connection on which part of a request has arrived.
	Receiving
	// Serving is a connection whose request is being served.
	Serving
	// Sending is a connection on which bytes wait for the peer to read.
	Sending
)

func (p Phase) String() string {
	return [...]string{"idle", "receiving", "serving", "sending"}[p]
}

// Conn is what a Budget knows of one connection.
type Conn struct {
	evict func()

	phase Phase
	since time.Duration
	// moved is the number of bytes that were transferred in this phase, movedAt when the last
	// of them were, or when the phase began.
	moved   int64
	movedAt time.Duration
	// held is the reserved memory in bytes, ConnBytes included.
	held int64
	// used is set once the peer has sent something.
	used   bool
	closed bool
}

// Budget divides the limits among connections.
type Budget struct {
	cfg Config
	// held is the memory of all connections, reserved the part of it beyond ConnBytes of each.
	held, reserved int64
	conns          map[*Conn]struct{}
	evicted        int64
}

// New returns a budget without connections.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, conns: map[*Conn]struct{}{}} }

// Open adds a connection; evict is called once if it must be closed. It returns nil if there
// is no room for it.
func (b *Budget) Open(now time.Duration, evict func()) *Conn {
	for len(b.conns) >= b.cfg.MaxConns || b.held+b.cfg.ConnBytes > b.cfg.MaxBytes {
		victim := b.slowest(now)
		if victim == nil {
			victim = b.longestIdle(now)
		}
		if victim == nil {
			return nil
		}
		b.evictConn(victim)
	}
	c := &Conn{evict: evict, since: now, movedAt: now, held: b.cfg.ConnBytes}
	b.conns[c] = struct{}{}
	b.held += c.held
	return c
}

// Reserve adds to the memory that a connection holds. It returns false if there is no room, or
// if the connection has been closed; nothing is added then.
func (b *Budget) Reserve(c *Conn, now time.Duration, bytes int64) bool {
	if !b.makeRoom(now, bytes, func() bool { return c.closed }) {
		return false
	}
	c.held += bytes
	b.take(bytes)
	return true
}

// Take reserves memory that no connection holds, until it is given back. It returns false if
// there is no room; nothing is reserved then.
func (b *Budget) Take(now time.Duration, bytes int64) bool {
	if !b.makeRoom(now, bytes, func() bool { return false }) {
		return false
	}
	b.take(bytes)
	return true
}

// Give gives back memory that was reserved with Take.
func (b *Budget) Give(bytes int64) {
	b.held -= bytes
	b.reserved -= bytes
}

func (b *Budget) take(bytes int64) {
	b.held += bytes
	b.reserved += bytes
}

// makeRoom evicts slow connections until bytes more may be reserved. It returns false if there
// is no room, or once isClosed says that who asks for it is closed.
func (b *Budget) makeRoom(now time.Duration, bytes int64, isClosed func() bool) bool {
	if !b.fits(bytes) {
		return false
	}
	for !isClosed() && (b.held+bytes > b.cfg.MaxBytes || b.reserved+bytes > b.cfg.MaxBytes-b.cfg.ConnReserve) {
		victim := b.slowest(now)
		if victim == nil {
			return false
		}
		b.evictConn(victim)
	}
	return !isClosed()
}

// fits reports whether one request may hold this many bytes.
func (b *Budget) fits(bytes int64) bool {
	return bytes <= b.cfg.MaxBytes-max(b.cfg.ConnBytes, b.cfg.ConnReserve)
}

// Release gives back all that a connection has reserved beyond bytes.
func (b *Budget) Release(c *Conn, bytes int64) {
	if c.closed {
		return
	}
	if more := c.held - b.cfg.ConnBytes - bytes; more > 0 {
		c.held -= more
		b.held -= more
		b.reserved -= more
	}
}

// Enter begins a phase. It returns false if the connection has been closed, so that its
// request must not be served.
func (b *Budget) Enter(c *Conn, now time.Duration, phase Phase) bool {
	if c.closed {
		return false
	}
	c.phase, c.since, c.moved, c.movedAt = phase, now, 0, now
	return true
}

// Phase returns the phase of a connection.
func (c *Conn) Phase() Phase { return c.phase }

// Move records that bytes were transferred.
func (b *Budget) Move(c *Conn, now time.Duration, bytes int) {
	c.used = true
	c.moved += int64(bytes)
	c.movedAt = now
}

// Close removes a connection. Closing it again has no effect.
func (b *Budget) Close(c *Conn) {
	if c.closed {
		return
	}
	b.Release(c, 0)
	c.closed = true
	delete(b.conns, c)
	b.held -= c.held
	c.held = 0
}

// IsSlow reports whether the peer of a connection is slow to send a request or to read an
// answer.
func (b *Budget) IsSlow(c *Conn, now time.Duration) bool {
	if c.closed || (c.phase != Receiving && c.phase != Sending) {
		return false
	}
	if now-c.movedAt > b.cfg.Grace {
		return true
	}
	allowed := b.cfg.Grace + time.Duration(float64(c.moved)/b.cfg.MinRate*float64(time.Second))
	return now-c.since > allowed
}

// slowest returns the slow connection that has held the most for the longest, nil for none.
func (b *Budget) slowest(now time.Duration) (victim *Conn) {
	var most float64
	for c := range b.conns {
		if !b.IsSlow(c, now) {
			continue
		}
		if weight := float64(c.held) * (now - c.since).Seconds(); weight > most {
			victim, most = c, weight
		}
	}
	return victim
}

// longestIdle returns the connection to evict among those without a request: the oldest on
// which nothing was ever sent, else the one that has been idle for the longest, and for longer
// than Grace.
func (b *Budget) longestIdle(now time.Duration) (victim *Conn) {
	for c := range b.conns {
		if c.phase != Idle || (c.used && now-c.since <= b.cfg.Grace) {
			continue
		}
		if victim == nil || (!c.used && victim.used) || (c.used == victim.used && c.since < victim.since) {
			victim = c
		}
	}
	return victim
}

func (b *Budget) evictConn(c *Conn) {
	b.Close(c)
	b.evicted++
	c.evict()
}

// Held returns the memory that all connections hold, in bytes.
func (b *Budget) Held() int64 { return b.held }

// Conns returns the number of connections.
func (b *Budget) Conns() int { return len(b.conns) }

// Evicted returns the number of connections that were evicted.
func (b *Budget) Evicted() int64 { return b.evicted }
