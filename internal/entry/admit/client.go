package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

// PoolOwners returns the addresses of the control processes that may admit
// requests to a pool, ordered by rank.
type PoolOwners func(pool string) []string

// Client requests admission from control processes and renews the leases it is
// granted.
type Client struct {
	counters counters

	hello  *filbertv1.Hello
	creds  rpc.Credentials
	owners PoolOwners

	nextRequest atomic.Uint64

	mu       sync.Mutex
	sessions map[string]*session
	// pendingDials holds the connections that are being opened, so that dialling
	// happens without the lock. A control host that became unreachable without
	// closing its connections blocks the dial until its timeout; under the lock,
	// this would block every request.
	pendingDials map[string]*pendingDial
	leases       map[*Lease]struct{}
	// skipUntil holds, for each control process that could not be reached, the
	// time until which it is not asked.
	skipUntil map[string]time.Time

	stop      chan struct{}
	closeOnce sync.Once
}

// unreachableBackoff is how long new requests skip an unreachable control
// process and ask the owner with the next rank instead.
const unreachableBackoff = time.Second

// controlLostRetryAfter is the retry delay returned to callers when no control
// process can be reached. A restart of a control process takes about as long.
const controlLostRetryAfter = time.Second

// counters holds the client's metrics.
type counters struct {
	asks, grants, refusals, controlLost, sessionsOpened gometrics.Counter
}

func newCounters(r gometrics.Registry) counters {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("admit."+name, r) }
	return counters{asks: counter("asks"), grants: counter("grants"), refusals: counter("refusals"), controlLost: counter("control_lost"), sessionsOpened: counter("sessions_opened")}
}

// New returns a client that renews its leases until Close is called.
func New(hello *filbertv1.Hello, creds rpc.Credentials, owners PoolOwners, reg gometrics.Registry) *Client {
	c := &Client{
		counters: newCounters(reg),
		hello:    hello, creds: creds, owners: owners,
		sessions: map[string]*session{}, pendingDials: map[string]*pendingDial{}, leases: map[*Lease]struct{}{}, skipUntil: map[string]time.Time{},
		stop: make(chan struct{}),
	}
	go c.renewLoop()
	return c
}

// Close closes all sessions. Leases that are still held expire.
func (c *Client) Close() {
	c.closeOnce.Do(func() { close(c.stop) })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.close()
	}
}

// Acquire requests admission to the pool named in the ask and waits for the
// decision. A refusal is returned as an error with executed "no". When a control
// process is lost, the ask goes to the owner with the next rank.
func (c *Client) Acquire(ctx context.Context, ask *filbertv1.Ask) (*Lease, error) {
	var lastErr error = failure.New(failure.KindControlLost, "no control process is known for pool %s", ask.Pool).WithRetryAfter(controlLostRetryAfter)
	for _, control := range c.reachableOwners(ask.Pool) {
		lease, err := c.acquireFrom(ctx, control, ask)
		if err == nil {
			return lease, nil
		}
		lastErr = err
		if kind := failure.KindOf(err); kind != failure.KindControlLost {
			return nil, err
		}
		c.markUnreachable(control)
	}
	return nil, failure.FromError(lastErr).WithRetryAfter(controlLostRetryAfter)
}

// reachableOwners returns the pool's owners without those that failed within
// unreachableBackoff. If all of them failed, it returns all.
func (c *Client) reachableOwners(pool string) []string {
	owners := c.owners(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var candidates []string
	for _, owner := range owners {
		if c.skipUntil[owner].Before(now) {
			candidates = append(candidates, owner)
		}
	}
	if len(candidates) == 0 {
		return owners
	}
	return candidates
}

func (c *Client) markUnreachable(control string) {
	c.counters.controlLost.Inc(1)
	c.mu.Lock()
	c.skipUntil[control] = time.Now().Add(unreachableBackoff)
	c.mu.Unlock()
}

func (c *Client) acquireFrom(ctx context.Context, control string, ask *filbertv1.Ask) (*Lease, error) {
	s, err := c.session(control)
	if err != nil {
		return nil, err
	}
	ask.Request = c.nextRequest.Add(1)
	c.counters.asks.Inc(1)
	decisions := s.registerAsk(ask.Request)
	askedAt := time.Now()
	if err := s.send(&filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Ask{Ask: ask}}); err != nil {
		s.removeAsk(ask.Request)
		return nil, err
	}
	select {
	case d := <-decisions:
		return c.handleDecision(d, ask, askedAt)
	case <-s.done:
		return nil, failure.New(failure.KindControlLost, "lost the session with control process %s while the request waited for admission", control)
	case <-ctx.Done():
		c.withdraw(s, ask, decisions)
		return nil, failure.Wrap(ctx.Err(), failure.KindDeadline, "the caller left or the request's deadline passed while it waited for admission")
	}
}

// withdraw cancels an ask. A grant that was already on its way is settled as not
// run, so that its slot is free at once.
func (c *Client) withdraw(s *session, ask *filbertv1.Ask, decisions chan decision) {
	if s.removeAsk(ask.Request) {
		_ = s.send(&filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Withdraw{
			Withdraw: &filbertv1.Withdraw{Request: ask.Request, Pool: ask.Pool},
		}})
		return
	}
	if grant := (<-decisions).message.GetGrant(); grant != nil {
		_ = s.send(settleMessage(&filbertv1.Settle{
			Pool: ask.Pool, Lease: grant.Lease, Outcome: filbertv1.Outcome_OUTCOME_NOT_RUN,
		}))
	}
}

func (c *Client) handleDecision(d decision, ask *filbertv1.Ask, askedAt time.Time) (*Lease, error) {
	if r := d.message.GetRefusal(); r != nil {
		c.counters.refusals.Inc(1)
		return nil, refusalError(r)
	}
	c.counters.grants.Inc(1)
	g := d.message.GetGrant()
	leaseStart := d.notBefore
	if askedAt.After(leaseStart) {
		leaseStart = askedAt
	}
	lease := &Lease{
		ID: g.Lease, Pool: ask.Pool, Target: g.Target, Priority: g.Priority, Fence: g.Fence,
		Deadline: leaseStart.Add(time.Duration(g.LeaseMs) * time.Millisecond),
		WaitTime: time.Since(askedAt), account: ask.Account, service: ask.Service, promptTokens: ask.PromptTokens, client: c,
	}
	c.mu.Lock()
	c.leases[lease] = struct{}{}
	c.mu.Unlock()
	return lease, nil
}

var failureKinds = map[filbertv1.RefusalReason]failure.Kind{
	filbertv1.RefusalReason_REFUSAL_REASON_OVERLOADED:    failure.KindOverloaded,
	filbertv1.RefusalReason_REFUSAL_REASON_NO_TARGET:     failure.KindNoTarget,
	filbertv1.RefusalReason_REFUSAL_REASON_POISON:        failure.KindPoison,
	filbertv1.RefusalReason_REFUSAL_REASON_ACCOUNT_LIMIT: failure.KindAccountLimit,
	filbertv1.RefusalReason_REFUSAL_REASON_NOT_OWNER:     failure.KindControlLost,
	filbertv1.RefusalReason_REFUSAL_REASON_DEADLINE:      failure.KindDeadline,
	filbertv1.RefusalReason_REFUSAL_REASON_STOPPING:      failure.KindControlLost,
	filbertv1.RefusalReason_REFUSAL_REASON_TOO_LARGE:     failure.KindTooLarge,
}

func refusalError(r *filbertv1.Refusal) error {
	kind, ok := failureKinds[r.Reason]
	if !ok {
		kind = failure.KindOverloaded
	}
	return failure.New(kind, "admission was refused").WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// pendingDial is a connection that is being opened; session and err are valid
// once done is closed.
type pendingDial struct {
	done    chan struct{}
	session *session
	err     error
}

// session returns the open session with a control process or opens one.
// Concurrent calls for the same process share one attempt.
func (c *Client) session(control string) (*session, error) {
	c.mu.Lock()
	if s := c.liveSession(control); s != nil {
		c.mu.Unlock()
		return s, nil
	}
	dial, inProgress := c.pendingDials[control]
	if !inProgress {
		dial = &pendingDial{done: make(chan struct{})}
		c.pendingDials[control] = dial
	}
	c.mu.Unlock()
	if !inProgress {
		c.dial(control, dial)
	}
	<-dial.done
	return dial.session, dial.err
}

// liveSession returns the open session with a control process, or nil. The
// caller must hold c.mu.
func (c *Client) liveSession(control string) *session {
	s, ok := c.sessions[control]
	if !ok {
		return nil
	}
	select {
	case <-s.done:
		return nil
	default:
		return s
	}
}

func (c *Client) dial(control string, dial *pendingDial) {
	dial.session, dial.err = openSession(control, c.creds, c.hello)
	c.mu.Lock()
	delete(c.pendingDials, control)
	if dial.err == nil {
		c.counters.sessionsOpened.Inc(1)
		c.sessions[control] = dial.session
	}
	c.mu.Unlock()
	close(dial.done)
}

func settleMessage(m *filbertv1.Settle) *filbertv1.EntryMessage {
	return &filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Settle{Settle: m}}
}

// settle reports the end of a lease to the owner of its pool. If that owner is
// lost, the allocator's lease expires.
func (c *Client) settle(l *Lease, m *filbertv1.Settle) {
	c.mu.Lock()
	delete(c.leases, l)
	c.mu.Unlock()
	if s := c.ownerSession(l.Pool); s != nil {
		_ = s.send(settleMessage(m))
	}
}

// ownerSession returns the open session of the highest-ranked owner that has
// one. It never blocks: the renewals of all other pools would be delayed too,
// and their leases would expire. If no session is open, it starts opening one
// for the next renewal and returns nil.
func (c *Client) ownerSession(pool string) *session {
	owners := c.reachableOwners(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, control := range owners {
		if s := c.liveSession(control); s != nil {
			return s
		}
	}
	for _, control := range owners {
		go c.connect(control)
	}
	return nil
}

// connect opens a session; it runs in the background.
func (c *Client) connect(control string) {
	if _, err := c.session(control); err != nil {
		c.markUnreachable(control)
	}
}

func (c *Client) renewLoop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.renew()
		}
	}
}

// renew sends one message per session: the renewals of the pools that the
// control process owns, or none as a plain heartbeat.
func (c *Client) renew() {
	byPool := c.leasesByPool()
	batches := map[*session]*filbertv1.Renewals{}
	for _, s := range c.openSessions() {
		batches[s] = &filbertv1.Renewals{}
	}
	for pool, leases := range byPool {
		s := c.ownerSession(pool)
		if s == nil {
			continue
		}
		if batches[s] == nil {
			batches[s] = &filbertv1.Renewals{}
		}
		poolRenewals := &filbertv1.PoolRenewals{Pool: pool}
		for _, l := range leases {
			poolRenewals.Renewals = append(poolRenewals.Renewals, l.renewal(s))
		}
		batches[s].Pools = append(batches[s].Pools, poolRenewals)
	}
	for s, batch := range batches {
		s.sendHeartbeat(batch)
	}
}

func (c *Client) leasesByPool() map[string][]*Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	byPool := map[string][]*Lease{}
	for l := range c.leases {
		byPool[l.Pool] = append(byPool[l.Pool], l)
	}
	return byPool
}

func (c *Client) openSessions() []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*session
	for control, s := range c.sessions {
		select {
		case <-s.done:
			delete(c.sessions, control)
		default:
			open = append(open, s)
		}
	}
	return open
}
