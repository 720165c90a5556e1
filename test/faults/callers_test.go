package faults_test

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
)

// requestKind is the service type of a call and, for a booking, the kind of its
// idempotency key.
type requestKind int

const (
	kindStream requestKind = iota // a generation that is streamed token by token
	kindWhole                     // a generation that is delivered in one response
	kindMinted                    // a run-once call under a key issued by an entry
	kindKeyed                     // a run-once call under a UUIDv7 chosen by the caller
)

func (k requestKind) isBooking() bool { return k >= kindMinted }

func (k requestKind) String() string { return [...]string{"stream", "whole", "minted", "keyed"}[k] }

// step is a stage in the processing of a request at which a fault can be
// injected.
type step int

const (
	stepAccepted step = iota
	stepQueued
	stepGranted
	stepSent
	stepFirst
	stepMiddle
	stepLast
	stepAnswer // the response is on its way to the caller
	stepAfter
	stepCount
)

func (s step) String() string {
	return [...]string{"accepted", "queued", "granted", "sent", "first", "middle", "last", "answer", "after"}[s]
}

type token struct {
	generation string
	offset     uint64
	text       string
}

// call is one logical request of a caller with all its attempts.
type call struct {
	sim         *simulation
	name        string
	kind        requestKind
	account     string
	prompt      string
	length      int
	fingerprint uint64
	poison      bool
	underTest   bool
	firstHost   int // index of the host that the load balancer picks for the first attempt
	key         string

	received       []token
	handle         string
	completed      bool
	finalError     *failure.Error
	attempts       int
	currentAttempt *attempt
	lastActivity   time.Duration
	startedAt      time.Duration
	finishedAt     time.Duration
	faultPoint     struct { // the processes and the connection that a fault acts on
		host   *host
		target *engine
		conn   *conn
	}
}

// attempt is one request on the wire.
type attempt struct {
	id           uint64
	call         *call
	host         *host
	conn         *conn
	resumeHandle string
	finished     bool
}

const (
	maxAttempts          = 12
	callerSilenceTimeout = 4 * time.Second
)

func (sim *simulation) newCall(name string, k requestKind, length, first int) *call {
	sim.lastID++
	c := &call{
		sim: sim, name: name, kind: k, account: "park", prompt: "prompt of " + name, length: length,
		fingerprint: 1000 + sim.lastID, firstHost: first, startedAt: sim.now,
	}
	sim.calls = append(sim.calls, c)
	if k == kindKeyed {
		c.key = uuidV7Key(sim.now, sim.lastID)
	}
	if k == kindMinted {
		h := sim.hosts[first]
		c.key = keyRing.Mint(handle.MintedKey{Account: c.account, Owner: h.name, Incarnation: h.incarnation, OwnerUptimeAtMint: sim.now, Sequence: sim.lastID})
	}
	return c
}

func uuidV7Key(now time.Duration, n uint64) string {
	var id uuid.UUID
	ms := uint64(simulationEpoch.Add(now).UnixMilli())
	for i := range 6 {
		id[i], id[15-i] = byte(ms>>(40-8*i)), byte(n>>(8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

func (c *call) parsedKey() (idempotency.Key, error) {
	if !handle.IsMinted(c.key) {
		return idempotency.CallerKey(c.key)
	}
	m, err := keyRing.OpenMinted(c.key, c.account)
	return idempotency.MintedKey(fmt.Sprint(m.Owner, m.Incarnation, m.Sequence), idempotency.Process{Address: m.Owner, Incarnation: m.Incarnation}, m.OwnerUptimeAtMint), err
}

// sendNext sends the call to the next entry that the load balancer considers
// ready.
func (c *call) sendNext() {
	sim := c.sim
	if c.completed || c.finalError != nil {
		return
	}
	if c.attempts++; c.attempts > maxAttempts {
		c.finalError = failure.New(failure.KindDeadline, "the caller exhausted its attempts").WithExecutionUnknown()
		return
	}
	var entry *host
	for i := range sim.hosts {
		candidate := sim.hosts[(c.firstHost+c.attempts-1+i)%len(sim.hosts)]
		if candidate.up && candidate.ready && !candidate.stopping {
			entry = candidate
			break
		}
	}
	if entry == nil {
		sim.runAfter(sim.callers, 500*time.Millisecond, c.sendNext)
		return
	}
	c.send(entry)
}

func (c *call) send(entry *host) *attempt {
	sim := c.sim
	sim.lastID++
	att := &attempt{id: sim.lastID, call: c, resumeHandle: c.handle}
	c.currentAttempt, c.lastActivity = att, sim.now
	att.conn = sim.dial(sim.callers, entry.process, func() { c.connectionLost(att) })
	if att.conn == nil {
		sim.runAfter(sim.callers, 300*time.Millisecond, c.sendNext)
		return att
	}
	att.conn.send(1, func() { entry.receiveRequest(att) })
	c.watchSilence(att)
	return att
}

// currentConn returns the connection that the caller waits on, or nil.
func (c *call) currentConn() *conn {
	if c.currentAttempt == nil {
		return nil
	}
	return c.currentAttempt.conn
}

func (c *call) watchSilence(att *attempt) {
	c.sim.runAfter(c.sim.callers, callerSilenceTimeout, func() {
		switch {
		case c.currentAttempt != att || c.completed || c.finalError != nil:
		case c.sim.now-c.lastActivity >= callerSilenceTimeout:
			c.connectionLost(att)
		default:
			c.watchSilence(att)
		}
	})
}

func (c *call) noteActivity(att *attempt) {
	if c.currentAttempt == att {
		c.lastActivity = c.sim.now
	}
}

// connectionLost handles a connection that broke or went silent: the caller
// retries after 200 ms.
func (c *call) connectionLost(att *attempt) {
	if c.currentAttempt != att || c.completed || c.finalError != nil {
		return
	}
	att.conn.close(0)
	c.currentAttempt = nil
	c.sim.runAfter(c.sim.callers, 200*time.Millisecond, c.sendNext)
}

func (c *call) receiveTokens(att *attempt, handle string, tokens ...token) {
	if c.currentAttempt != att {
		return
	}
	c.lastActivity = c.sim.now
	c.handle = handle
	c.received = append(c.received, tokens...)
}

// finish handles the end of the response, or a typed error if err is not nil.
func (c *call) finish(att *attempt, err *failure.Error) {
	if err != nil {
		c.sim.records.recordOutcome(att, err)
	}
	if c.currentAttempt != att {
		return
	}
	att.conn.close(0)
	c.currentAttempt = nil
	switch {
	case err == nil:
		c.completed, c.finishedAt = true, c.sim.now
		c.sim.reachStep(c, stepAfter, c.sim.callers, func() {})
	case c.shouldRetry(err):
		c.sim.runAfter(c.sim.callers, max(err.RetryAfter, 300*time.Millisecond), c.sendNext)
	default:
		c.finalError, c.finishedAt = err, c.sim.now
	}
}

// shouldRetry reports whether the caller retries after err: a booking if the
// error carries a retry delay, a generation if no token has been received. The
// poison request is retried until it is refused as poison.
func (c *call) shouldRetry(err *failure.Error) bool {
	if c.poison {
		return err.Kind != failure.KindPoison
	}
	if c.kind.isBooking() {
		return err.RetryAfter > 0
	}
	return len(c.received) == 0 && err.Kind != failure.KindPoison
}
