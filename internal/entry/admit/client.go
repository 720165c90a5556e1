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

// Owners tells which control processes may admit to a pool, in the order of
// their rank.
type Owners func(pool string) []string

// Client asks for admission and keeps leases alive.
type Client struct {
	count counters

	hello  *filbertv1.Hello
	creds  rpc.Credentials
	owners Owners

	nextRequest atomic.Uint64

	mu       sync.Mutex
	sessions map[string]*session
	// opening holds the connections that are being made. A control host that
	// is gone without a word makes its caller wait for the dial's bound; made
	// under the lock, that wait would be everybody's.
	opening map[string]*opening
	leases  map[*Lease]struct{}
	// skip holds control processes that could not be reached, until when.
	skip map[string]time.Time

	stop chan struct{}
	once sync.Once
}

// skipFor is how long an unreachable control process is not asked again by
// new requests; the next in rank is asked meanwhile.
const skipFor = time.Second

// retryLost is the time to come back that a caller is told when no control
// process can be reached: their restart takes about as long.
const retryLost = time.Second

// counters are the client's figures.
type counters struct {
	asks, grants, refusals, lost, sessions gometrics.Counter
}

func newCounters(r gometrics.Registry) counters {
	c := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("admit."+name, r) }
	return counters{asks: c("asks"), grants: c("grants"), refusals: c("refusals"), lost: c("control_lost"), sessions: c("sessions_opened")}
}

// New returns a client that renews its leases until Close.
func New(hello *filbertv1.Hello, creds rpc.Credentials, owners Owners, reg gometrics.Registry) *Client {
	c := &Client{
		count: newCounters(reg),
		hello: hello, creds: creds, owners: owners,
		sessions: map[string]*session{}, opening: map[string]*opening{}, leases: map[*Lease]struct{}{}, skip: map[string]time.Time{},
		stop: make(chan struct{}),
	}
	go c.renewLoop()
	return c
}

// Close ends all sessions. Leases that are still held expire.
func (c *Client) Close() {
	c.once.Do(func() { close(c.stop) })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.close()
	}
}

// Acquire asks for admission to the pool that the ask names and waits for the
// decision. A refusal is a failure with executed "no". An ask whose control
// process was lost goes to the next in rank.
func (c *Client) Acquire(ctx context.Context, ask *filbertv1.Ask) (*Lease, error) {
	var last error = failure.New(failure.KindControlLost, "no control process for pool %s", ask.Pool).After(retryLost)
	for _, control := range c.reachable(ask.Pool) {
		lease, err := c.askOne(ctx, control, ask)
		if err == nil {
			return lease, nil
		}
		last = err
		if kind := failure.KindOf(err); kind != failure.KindControlLost {
			return nil, err
		}
		c.avoid(control)
	}
	return nil, failure.From(last).After(retryLost)
}

// reachable lists the pool's owners without those that failed just now; when
// all failed, all are tried again.
func (c *Client) reachable(pool string) []string {
	owners := c.owners(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var good []string
	for _, o := range owners {
		if c.skip[o].Before(now) {
			good = append(good, o)
		}
	}
	if len(good) == 0 {
		return owners
	}
	return good
}

func (c *Client) avoid(control string) {
	c.count.lost.Inc(1)
	c.mu.Lock()
	c.skip[control] = time.Now().Add(skipFor)
	c.mu.Unlock()
}

func (c *Client) askOne(ctx context.Context, control string, ask *filbertv1.Ask) (*Lease, error) {
	s, err := c.session(control)
	if err != nil {
		return nil, err
	}
	ask.Request = c.nextRequest.Add(1)
	c.count.asks.Inc(1)
	answer := s.expect(ask.Request)
	asked := time.Now()
	if err := s.send(&filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Ask{Ask: ask}}); err != nil {
		s.forget(ask.Request)
		return nil, err
	}
	select {
	case d := <-answer:
		return c.decided(d, ask, asked)
	case <-s.done:
		return nil, failure.New(failure.KindControlLost, "control process %s was lost while the request waited", control)
	case <-ctx.Done():
		c.withdraw(s, ask, answer)
		return nil, failure.Wrap(ctx.Err(), failure.KindDeadline, "the caller left or the time for the request was over while it waited")
	}
}

// withdraw takes an ask back. A grant that crossed the withdrawal is settled
// as not run, so that its place is free at once.
func (c *Client) withdraw(s *session, ask *filbertv1.Ask, answer chan decision) {
	if s.forget(ask.Request) {
		_ = s.send(&filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Withdraw{
			Withdraw: &filbertv1.Withdraw{Request: ask.Request, Pool: ask.Pool},
		}})
		return
	}
	if grant := (<-answer).message.GetGrant(); grant != nil {
		_ = s.send(settleMessage(&filbertv1.Settle{
			Pool: ask.Pool, Lease: grant.Lease, Outcome: filbertv1.Outcome_OUTCOME_NOT_RUN,
		}))
	}
}

func (c *Client) decided(d decision, ask *filbertv1.Ask, asked time.Time) (*Lease, error) {
	if r := d.message.GetRefusal(); r != nil {
		c.count.refusals.Inc(1)
		return nil, refusal(r)
	}
	c.count.grants.Inc(1)
	g := d.message.GetGrant()
	begun := d.notBefore
	if asked.After(begun) {
		begun = asked
	}
	lease := &Lease{
		ID: g.Lease, Pool: ask.Pool, Target: g.Target, Priority: g.Priority, Fence: g.Fence,
		Deadline: begun.Add(time.Duration(g.LeaseMs) * time.Millisecond),
		Waited:   time.Since(asked), account: ask.Account, service: ask.Service, promptTokens: ask.PromptTokens, client: c,
	}
	c.mu.Lock()
	c.leases[lease] = struct{}{}
	c.mu.Unlock()
	return lease, nil
}

var refusalKinds = map[filbertv1.RefusalReason]failure.Kind{
	filbertv1.RefusalReason_REFUSAL_REASON_OVERLOADED:    failure.KindOverloaded,
	filbertv1.RefusalReason_REFUSAL_REASON_NO_TARGET:     failure.KindNoTarget,
	filbertv1.RefusalReason_REFUSAL_REASON_POISON:        failure.KindPoison,
	filbertv1.RefusalReason_REFUSAL_REASON_ACCOUNT_LIMIT: failure.KindAccountLimit,
	filbertv1.RefusalReason_REFUSAL_REASON_NOT_OWNER:     failure.KindControlLost,
	filbertv1.RefusalReason_REFUSAL_REASON_DEADLINE:      failure.KindDeadline,
	filbertv1.RefusalReason_REFUSAL_REASON_STOPPING:      failure.KindControlLost,
	filbertv1.RefusalReason_REFUSAL_REASON_TOO_LARGE:     failure.KindTooLarge,
}

func refusal(r *filbertv1.Refusal) error {
	kind, ok := refusalKinds[r.Reason]
	if !ok {
		kind = failure.KindOverloaded
	}
	return failure.New(kind, "admission was refused").After(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// opening is a connection that is being made; the fields are valid after done.
type opening struct {
	done    chan struct{}
	session *session
	err     error
}

// session gives the open session with a control process, or opens one; calls
// for the same process share the attempt.
func (c *Client) session(control string) (*session, error) {
	c.mu.Lock()
	if s := c.live(control); s != nil {
		c.mu.Unlock()
		return s, nil
	}
	o, running := c.opening[control]
	if !running {
		o = &opening{done: make(chan struct{})}
		c.opening[control] = o
	}
	c.mu.Unlock()
	if !running {
		c.open(control, o)
	}
	<-o.done
	return o.session, o.err
}

// live gives the open session with a control process; the lock is held.
func (c *Client) live(control string) *session {
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

func (c *Client) open(control string, o *opening) {
	o.session, o.err = openSession(control, c.creds, c.hello)
	c.mu.Lock()
	delete(c.opening, control)
	if o.err == nil {
		c.count.sessions.Inc(1)
		c.sessions[control] = o.session
	}
	c.mu.Unlock()
	close(o.done)
}

func settleMessage(m *filbertv1.Settle) *filbertv1.EntryMessage {
	return &filbertv1.EntryMessage{Body: &filbertv1.EntryMessage_Settle{Settle: m}}
}

// settle reports the end of a lease to the owner of its pool. When that is
// lost the allocator's lease expires by itself.
func (c *Client) settle(l *Lease, m *filbertv1.Settle) {
	c.mu.Lock()
	delete(c.leases, l)
	c.mu.Unlock()
	if s := c.ownerSession(l.Pool); s != nil {
		_ = s.send(settleMessage(m))
	}
}

// ownerSession gives an open session with the first of a pool's owners that has
// one. It never waits: the renewals of all other pools would wait with it, and
// their leases end. Where none is open one is opened for the next round.
func (c *Client) ownerSession(pool string) *session {
	owners := c.reachable(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, control := range owners {
		if s := c.live(control); s != nil {
			return s
		}
	}
	for _, control := range owners {
		go c.try(control)
	}
	return nil
}

// try opens a session in the background.
func (c *Client) try(control string) {
	if _, err := c.session(control); err != nil {
		c.avoid(control)
	}
}

func (c *Client) renewLoop() {
	ticker := time.NewTicker(heartbeat)
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

// renew sends one message a session: the leases of the pools that the control
// process owns, or an empty heartbeat.
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
		of := &filbertv1.PoolRenewals{Pool: pool}
		for _, l := range leases {
			of.Renewals = append(of.Renewals, l.renewal(s))
		}
		batches[s].Pools = append(batches[s].Pools, of)
	}
	for s, batch := range batches {
		s.beat(batch)
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
