// Package callerconn counts what the connections of callers make a process hold, and keeps it
// within the limits that internal/decide/connbudget divides. The counting stands in the
// connections themselves, below net/http and gRPC, so that a connection reserves memory before
// it reads.
package callerconn

import (
	"log/slog"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/connbudget"
)

// reportInterval is the least time between two log lines of a budget.
const reportInterval = time.Second

// Budget bounds what the connections of one listener hold. It is safe for concurrent use.
type Budget struct {
	name    string
	log     *slog.Logger
	started time.Time
	// rejected counts the connections that were closed at once, refused the requests for which
	// there was no memory, tooLong the request heads beyond the limit.
	rejected, refused, tooLong gometrics.Counter

	mu       sync.Mutex
	decide   *connbudget.Budget
	reported time.Time
}

// NewBudget returns a budget whose metrics and log lines begin with a name.
func NewBudget(name string, cfg connbudget.Config, log *slog.Logger, reg gometrics.Registry) *Budget {
	b := &Budget{
		name: name, log: log, started: time.Now(), decide: connbudget.New(cfg),
		rejected: gometrics.GetOrRegisterCounter(name+".connections_rejected", reg),
		refused:  gometrics.GetOrRegisterCounter(name+".requests_without_memory", reg),
		tooLong:  gometrics.GetOrRegisterCounter(name+".heads_too_long", reg),
	}
	gauge := func(metric string, value func() int64) {
		_ = reg.Register(name+metric, gometrics.NewFunctionalGauge(func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return value()
		}))
	}
	gauge(".connections", func() int64 { return int64(b.decide.Conns()) })
	gauge(".held_bytes", b.decide.Held)
	gauge(".connections_evicted", b.decide.Evicted)
	return b
}

func (b *Budget) now() time.Duration { return time.Since(b.started) }

// open adds a connection; nil if there is no room for it.
func (b *Budget) open(evict func()) *connbudget.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	evicted := b.decide.Evicted()
	c := b.decide.Open(b.now(), evict)
	if c == nil {
		b.rejected.Inc(1)
	}
	if c == nil || b.decide.Evicted() != evicted {
		b.reportLocked()
	}
	return c
}

func (b *Budget) reserve(c *connbudget.Conn, bytes int64) bool {
	return b.grant(func(now time.Duration) bool { return b.decide.Reserve(c, now, bytes) })
}

// grant decides about memory by a function, and counts and logs what did not fit.
func (b *Budget) grant(decide func(now time.Duration) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	evicted := b.decide.Evicted()
	granted := decide(b.now())
	if !granted {
		b.refused.Inc(1)
	}
	if !granted || b.decide.Evicted() != evicted {
		b.reportLocked()
	}
	return granted
}

// tryReserve is reserve for a connection that tries again when there is no room.
func (b *Budget) tryReserve(c *connbudget.Conn, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.decide.Reserve(c, b.now(), bytes)
	if !granted {
		b.reportLocked()
	}
	return granted
}

// release gives back all that a connection has reserved beyond bytes.
func (b *Budget) release(c *connbudget.Conn, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decide.Release(c, bytes)
}

// Take reserves memory for a request that no connection of this budget carries. It returns false
// if there is none. release gives the memory back, and may be called more than once. A nil Budget
// grants everything.
func (b *Budget) Take(bytes int64) (release func(), ok bool) {
	if b == nil {
		return func() {}, true
	}
	if !b.grant(func(now time.Duration) bool { return b.decide.Take(now, bytes) }) {
		return nil, false
	}
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.decide.Give(bytes)
	}), true
}

func (b *Budget) enter(c *connbudget.Conn, phase connbudget.Phase) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decide.Enter(c, b.now(), phase)
}

// beginSend records that bytes wait for the peer, and returns the phase until then.
func (b *Budget) beginSend(c *connbudget.Conn) (before connbudget.Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before = c.Phase()
	b.decide.Enter(c, b.now(), connbudget.Sending)
	return before
}

func (b *Budget) move(c *connbudget.Conn, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decide.Move(c, b.now(), bytes)
}

// finish releases what a request held, whose connection becomes idle.
func (b *Budget) finish(c *connbudget.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decide.Release(c, 0)
	b.decide.Enter(c, b.now(), connbudget.Idle)
}

func (b *Budget) close(c *connbudget.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decide.Close(c)
}

func (b *Budget) isSlow(c *connbudget.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decide.IsSlow(c, b.now())
}

// reportLocked logs that the limits were met, at most once in reportInterval.
func (b *Budget) reportLocked() {
	if time.Since(b.reported) < reportInterval {
		return
	}
	b.reported = time.Now()
	b.log.Warn("connections meet the limits of the host", "listener", b.name, "connections", b.decide.Conns(), "held_bytes", b.decide.Held(),
		"evicted", b.decide.Evicted(), "rejected", b.rejected.Count(), "without_memory", b.refused.Count())
}
