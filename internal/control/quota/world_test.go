package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/control/quota"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/pools"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

const tick = 50 * time.Millisecond

// base is the world's zero of time.
var base = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// world is control processes in memory, under one clock that the test moves.
type world struct {
	*rand.Rand
	now      time.Duration
	row      table.Account
	revision uint64
	nodes    []*node
	most     int
	produced int
}

// node is one control process; all but the first run a pool.
type node struct {
	w      *world
	name   string
	table  blackboard.Section[table.Table]
	hosts  blackboard.Section[configwatch.Hosts]
	tables *blackboard.Writer[table.Table]
	lists  *blackboard.Writer[configwatch.Hosts]
	ctl    *quota.Controller
	counts metrics.Registry
	pool   *memoryPool
	// dead and paused processes do nothing; what reaches a paused one waits in
	// its inbox. A cut one reaches nobody, the configuration service neither.
	dead, paused, cut bool
	inbox             []*filbertv1.RenewQuotaRequest
}

// newWorld starts processes of which the first owns the account of the row and
// the second would be next.
func newWorld(seed uint64, nodes int, row table.Account) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 9)), row: row, now: time.Hour}
	var hosts []pools.Host
	for i := range nodes {
		hosts = append(hosts, pools.Host{ControlAddress: fmt.Sprint("127.0.0.1:", i+1)})
	}
	for i := range nodes {
		key := w.row.Name
		first := slices.IndexFunc(hosts, func(h pools.Host) bool { o, _ := pools.AccountOwner(key, hosts); return o == h })
		w.add(hosts[first].ControlAddress, i > 0)
		hosts = slices.Delete(hosts, first, first+1)
	}
	w.publishRow(row)
	w.publishHosts(w.nodes)
	return w
}

func (w *world) add(name string, withPool bool) {
	n := &node{w: w, name: name, counts: metrics.NewRegistry()}
	n.tables, _ = n.table.Claim()
	n.lists, _ = n.hosts.Claim()
	if withPool {
		n.pool = newMemoryPool(w, w.Uint64())
	}
	n.ctl = w.control(n, func() map[string]quota.Pool {
		if n.pool == nil {
			return nil
		}
		return map[string]quota.Pool{"pool of " + name: n.pool}
	})
	w.nodes = append(w.nodes, n)
}

func (w *world) control(n *node, pools func() map[string]quota.Pool) *quota.Controller {
	return quota.New(quota.Config{
		Self: n.name, Incarnation: 1, Table: &n.table, Hosts: &n.hosts, Transport: n, Metrics: n.counts, Pools: pools,
		Now:   func() time.Time { return base.Add(w.now) },
		Spawn: func(call func()) { call() },
	})
}

// publishRow puts the account's row in force everywhere.
func (w *world) publishRow(row table.Account) {
	w.row = row
	free := table.Account{Name: "free"}
	for _, n := range w.nodes {
		t := &table.Table{Accounts: map[string]*table.Account{row.Name: &row, "free": &free}}
		n.tables.Publish(t)
		if n.pool != nil {
			n.pool.alloc.SetShares(w.now, []admission.Share{
				{Account: row.Name, MaxRunning: row.MaxRunning, SharedLimits: row.HasFleetLimit()}, {Account: "free"},
			})
		}
	}
}

// publishHosts puts a list in force at all that aren't cut off.
func (w *world) publishHosts(live []*node) {
	w.revision++
	list := &configwatch.Hosts{Version: rollout.Version{Revision: w.revision}}
	for _, n := range live {
		list.List = append(list.List, configservice.Host{Control: n.name, State: configservice.StateLive})
	}
	for _, n := range w.nodes {
		if !n.cut {
			n.lists.Publish(list)
		}
	}
}

func (n *node) confirm() {
	list := *n.hosts.Get()
	if list.Version.Revision == n.w.revision {
		list.ConfirmedAt = base.Add(n.w.now)
		n.lists.Publish(&list)
	}
}

// Renew is the transport: one answer in ten is lost.
func (n *node) Renew(_ context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	lost := failure.New(failure.KindControlLost, "no answer")
	to := n.w.nodes[slices.IndexFunc(n.w.nodes, func(o *node) bool { return o.name == owner })]
	if to.dead || to.cut != n.cut {
		return nil, lost
	}
	if to.paused {
		to.inbox = append(to.inbox, req)
		return nil, lost
	}
	reply := to.ctl.Lease(req)
	if n.w.IntN(10) == 0 {
		return nil, lost
	}
	return reply, nil
}

// run moves the clock on by d.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tick {
		for _, n := range w.nodes {
			if n.dead || n.paused {
				continue
			}
			if !n.cut && w.now%(500*time.Millisecond) == 0 {
				n.confirm()
			}
			if n.pool != nil {
				n.pool.step()
			}
			if w.now%(2*tick) == 0 {
				n.ctl.Step(context.Background())
			}
		}
		w.most = max(w.most, w.running())
	}
}

// wake ends a pause: what waited in the buffers is taken first.
func (n *node) wake() {
	n.paused = false
	for _, req := range n.inbox {
		n.ctl.Lease(req)
	}
	n.inbox = nil
}

// running is what runs of the account, whoever knows of it.
func (w *world) running() int {
	sum := 0
	for _, n := range w.nodes {
		if n.pool != nil {
			sum += n.pool.running(w.row.Name)
		}
	}
	return sum
}

// memoryPool is an allocator with a target that has room for all.
type memoryPool struct {
	w      *world
	alloc  *admission.Allocator
	next   uint64
	jobs   []*job
	starts map[string]int
	// waits counts the requests without a decision.
	waits map[string]int
	// renewsFrom is when entries have found a new allocator.
	renewsFrom time.Duration
	// want is how many requests of the account wait or run here.
	want int
}

type job struct {
	account string
	lease   admission.LeaseID
	begun   time.Duration
	ends    time.Duration
}

func newMemoryPool(w *world, seed uint64) *memoryPool {
	p := &memoryPool{w: w, alloc: admission.New(admission.Config{Seed: seed}), starts: map[string]int{}, waits: map[string]int{}, want: 20}
	p.alloc.SetConfirmedOwner(0, true)
	p.alloc.SetTargets(w.now, []admission.Target{{Address: "t"}})
	return p
}

func (p *memoryPool) Uses() []admission.QuotaUsage { return p.alloc.TakeQuotaUsage(p.w.now) }

func (p *memoryPool) SetParts(start time.Time, parts []admission.QuotaGrant) {
	for _, part := range parts {
		part.ExpiresAt += start.Sub(base)
		p.alloc.SetQuotaGrant(p.w.now, part)
	}
}

func (p *memoryPool) running(account string) int {
	sum := 0
	for _, j := range p.jobs {
		if j.account == account && p.w.now < j.ends {
			sum++
		}
	}
	return sum
}

const tokensPerSecond = 20

// step lets the pool's world go on: jobs end, requests arrive, some start.
func (p *memoryPool) step() {
	now := p.w.now
	p.alloc.Report(now, admission.Report{Target: "t", Incarnation: 1, Capacity: 1000})
	p.renew(now)
	for account, want := range map[string]int{p.w.row.Name: p.want, "free": 2} {
		for range max(0, want-p.running(account)-p.waits[account]) {
			p.ask(account)
		}
	}
	accounts := p.accounts()
	for _, d := range p.alloc.Decide(now) {
		account := accounts[d.Request%2]
		p.waits[account]--
		if !d.Granted() {
			continue
		}
		p.starts[account]++
		p.jobs = append(p.jobs, &job{account: account, lease: d.Lease, begun: now, ends: now + time.Second + time.Duration(p.w.IntN(4000))*time.Millisecond})
	}
}

// accounts tells whose a request is: even numbers are the limited account's.
func (p *memoryPool) accounts() [2]string { return [2]string{p.w.row.Name, "free"} }

func (p *memoryPool) ask(account string) {
	p.next++
	p.waits[account]++
	request := 2 * p.next
	if account == "free" {
		request++
	}
	p.alloc.Ask(p.w.now, admission.Ask{Request: request, Account: account, MaxWait: time.Hour})
}

func (p *memoryPool) renew(now time.Duration) {
	for _, j := range p.jobs {
		made := int(tokensPerSecond * (min(now, j.ends) - j.begun).Seconds())
		if now >= j.ends {
			p.alloc.Settle(now, admission.Settlement{Lease: j.lease, Outcome: admission.OutcomeDone, ProducedTokens: made})
			if j.account == p.w.row.Name {
				p.w.produced += made
			}
			continue
		}
		if now < p.renewsFrom {
			continue
		}
		p.alloc.Renew(now, admission.Holder{}, []admission.Renewal{{Lease: j.lease, Target: "t", Account: j.account, ProducedTokens: made}})
	}
	p.jobs = slices.DeleteFunc(p.jobs, func(j *job) bool { return now >= j.ends })
}

// empty ends what waits here: the callers went elsewhere.
func (p *memoryPool) empty(account string) {
	for request := uint64(2); request <= 2*p.next; request += 2 {
		p.alloc.Withdraw(p.w.now, admission.Holder{}, request)
	}
	p.waits[account] = 0
}
