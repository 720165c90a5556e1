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

const tickInterval = 50 * time.Millisecond

// epoch is the zero of the simulation's clock.
var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// simulation runs control processes in memory on one clock that the test moves.
type simulation struct {
	*rand.Rand
	now            time.Duration
	accountRow     table.Account
	revision       uint64
	nodes          []*node
	maxRunning     int
	producedTokens int
}

// node is one control process; all but the first run a pool.
type node struct {
	sim         *simulation
	name        string
	table       blackboard.Section[table.Table]
	hosts       blackboard.Section[configwatch.Hosts]
	tableWriter *blackboard.Writer[table.Table]
	hostsWriter *blackboard.Writer[configwatch.Hosts]
	controller  *quota.Controller
	registry    metrics.Registry
	pool        *simulatedPool
	// Crashed and paused processes do nothing; requests to a paused one wait in
	// bufferedRequests. Partitioned ones reach only each other, and not the
	// configuration service.
	crashed, paused, partitioned bool
	bufferedRequests             []*filbertv1.RenewQuotaRequest
}

// newSimulation starts processes in the order in which they would own the
// account of the row.
func newSimulation(seed uint64, nodes int, row table.Account) *simulation {
	s := &simulation{Rand: rand.New(rand.NewPCG(seed, 9)), accountRow: row, now: time.Hour}
	var hosts []pools.Host
	for i := range nodes {
		hosts = append(hosts, pools.Host{ControlAddress: fmt.Sprint("127.0.0.1:", i+1)})
	}
	for i := range nodes {
		key := s.accountRow.Name
		first := slices.IndexFunc(hosts, func(h pools.Host) bool { o, _ := pools.AccountOwner(key, hosts); return o == h })
		s.addNode(hosts[first].ControlAddress, i > 0)
		hosts = slices.Delete(hosts, first, first+1)
	}
	s.publishRow(row)
	s.publishHosts(s.nodes)
	return s
}

func (s *simulation) addNode(name string, withPool bool) {
	n := &node{sim: s, name: name, registry: metrics.NewRegistry()}
	n.tableWriter, _ = n.table.Claim()
	n.hostsWriter, _ = n.hosts.Claim()
	if withPool {
		n.pool = newSimulatedPool(s, s.Uint64())
	}
	n.controller = s.newController(n, func() map[string]quota.Pool {
		if n.pool == nil {
			return nil
		}
		return map[string]quota.Pool{"pool of " + name: n.pool}
	})
	s.nodes = append(s.nodes, n)
}

func (s *simulation) newController(n *node, pools func() map[string]quota.Pool) *quota.Controller {
	return quota.New(quota.Config{
		Self: n.name, Incarnation: 1, Table: &n.table, Hosts: &n.hosts, Transport: n, Metrics: n.registry, Pools: pools,
		Now:   func() time.Time { return epoch.Add(s.now) },
		Spawn: func(call func()) { call() },
	})
}

// publishRow puts the account's row in force at all nodes.
func (s *simulation) publishRow(row table.Account) {
	s.accountRow = row
	free := table.Account{Name: "free"}
	for _, n := range s.nodes {
		t := &table.Table{Accounts: map[string]*table.Account{row.Name: &row, "free": &free}}
		n.tableWriter.Publish(t)
		if n.pool != nil {
			n.pool.allocator.SetShares(s.now, []admission.Share{
				{Account: row.Name, MaxRunning: row.MaxRunning, SharedLimits: row.HasFleetLimit()}, {Account: "free"},
			})
		}
	}
}

// publishHosts puts a host list in force at all nodes that aren't partitioned.
func (s *simulation) publishHosts(live []*node) {
	s.revision++
	list := &configwatch.Hosts{Version: rollout.Version{Revision: s.revision}}
	for _, n := range live {
		list.List = append(list.List, configservice.Host{Control: n.name, State: configservice.StateLive})
	}
	for _, n := range s.nodes {
		if !n.partitioned {
			n.hostsWriter.Publish(list)
		}
	}
}

func (n *node) confirm() {
	list := *n.hosts.Get()
	if list.Version.Revision == n.sim.revision {
		list.ConfirmedAt = epoch.Add(n.sim.now)
		n.hostsWriter.Publish(&list)
	}
}

// Renew implements quota.Transport; one reply in ten is lost.
func (n *node) Renew(_ context.Context, owner string, req *filbertv1.RenewQuotaRequest) (*filbertv1.RenewQuotaReply, error) {
	lost := failure.New(failure.KindControlLost, "no answer")
	to := n.sim.nodes[slices.IndexFunc(n.sim.nodes, func(o *node) bool { return o.name == owner })]
	if to.crashed || to.partitioned != n.partitioned {
		return nil, lost
	}
	if to.paused {
		to.bufferedRequests = append(to.bufferedRequests, req)
		return nil, lost
	}
	reply := to.controller.Lease(req)
	if n.sim.IntN(10) == 0 {
		return nil, lost
	}
	return reply, nil
}

// run advances the clock by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tickInterval {
		for _, n := range s.nodes {
			if n.crashed || n.paused {
				continue
			}
			if !n.partitioned && s.now%(500*time.Millisecond) == 0 {
				n.confirm()
			}
			if n.pool != nil {
				n.pool.step()
			}
			if s.now%(2*tickInterval) == 0 {
				n.controller.Step(context.Background())
			}
		}
		s.maxRunning = max(s.maxRunning, s.running())
	}
}

// resume ends a pause and first handles the buffered requests.
func (n *node) resume() {
	n.paused = false
	for _, req := range n.bufferedRequests {
		n.controller.Lease(req)
	}
	n.bufferedRequests = nil
}

// running counts the account's running requests, whether reported or not.
func (s *simulation) running() int {
	sum := 0
	for _, n := range s.nodes {
		if n.pool != nil {
			sum += n.pool.running(s.accountRow.Name)
		}
	}
	return sum
}

// simulatedPool is an allocator with a target that has room for all requests.
type simulatedPool struct {
	sim          *simulation
	allocator    *admission.Allocator
	requestCount uint64
	requests     []*runningRequest
	startCounts  map[string]int
	// waitingCounts counts the requests without a decision by account.
	waitingCounts map[string]int
	// renewAfter is the time at which entries have found a new allocator.
	renewAfter time.Duration
	// demand is the number of the account's requests that wait or run here.
	demand int
}

type runningRequest struct {
	account   string
	lease     admission.LeaseID
	startedAt time.Duration
	endsAt    time.Duration
}

func newSimulatedPool(sim *simulation, seed uint64) *simulatedPool {
	p := &simulatedPool{sim: sim, allocator: admission.New(admission.Config{Seed: seed}), startCounts: map[string]int{}, waitingCounts: map[string]int{}, demand: 20}
	p.allocator.SetConfirmedOwner(0, true)
	p.allocator.SetTargets(sim.now, []admission.Target{{Address: "t"}})
	return p
}

func (p *simulatedPool) Uses() []admission.QuotaUsage { return p.allocator.TakeQuotaUsage(p.sim.now) }

func (p *simulatedPool) SetParts(start time.Time, parts []admission.QuotaGrant) {
	for _, part := range parts {
		part.ExpiresAt += start.Sub(epoch)
		p.allocator.SetQuotaGrant(p.sim.now, part)
	}
}

func (p *simulatedPool) running(account string) int {
	sum := 0
	for _, r := range p.requests {
		if r.account == account && p.sim.now < r.endsAt {
			sum++
		}
	}
	return sum
}

const tokensPerSecond = 20

// step simulates one tick: requests end, new ones arrive, and some start.
func (p *simulatedPool) step() {
	now := p.sim.now
	p.allocator.Report(now, admission.Report{Target: "t", Incarnation: 1, Capacity: 1000})
	p.renew(now)
	for account, demand := range map[string]int{p.sim.accountRow.Name: p.demand, "free": 2} {
		for range max(0, demand-p.running(account)-p.waitingCounts[account]) {
			p.ask(account)
		}
	}
	accounts := p.accountsByParity()
	for _, d := range p.allocator.Decide(now) {
		account := accounts[d.RequestID%2]
		p.waitingCounts[account]--
		if !d.Granted() {
			continue
		}
		p.startCounts[account]++
		p.requests = append(p.requests, &runningRequest{account: account, lease: d.Lease, startedAt: now, endsAt: now + time.Second + time.Duration(p.sim.IntN(4000))*time.Millisecond})
	}
}

// accountsByParity returns the accounts of even and odd request numbers; even
// ones belong to the limited account.
func (p *simulatedPool) accountsByParity() [2]string { return [2]string{p.sim.accountRow.Name, "free"} }

func (p *simulatedPool) ask(account string) {
	p.requestCount++
	p.waitingCounts[account]++
	request := 2 * p.requestCount
	if account == "free" {
		request++
	}
	p.allocator.Ask(p.sim.now, admission.Ask{RequestID: request, Account: account, MaxWait: time.Hour})
}

func (p *simulatedPool) renew(now time.Duration) {
	for _, r := range p.requests {
		produced := int(tokensPerSecond * (min(now, r.endsAt) - r.startedAt).Seconds())
		if now >= r.endsAt {
			p.allocator.Settle(now, admission.Settlement{Lease: r.lease, Outcome: admission.OutcomeDone, ProducedTokens: produced})
			if r.account == p.sim.accountRow.Name {
				p.sim.producedTokens += produced
			}
			continue
		}
		if now < p.renewAfter {
			continue
		}
		p.allocator.Renew(now, admission.Holder{}, []admission.Renewal{{Lease: r.lease, Target: "t", Account: r.account, ProducedTokens: produced}})
	}
	p.requests = slices.DeleteFunc(p.requests, func(r *runningRequest) bool { return now >= r.endsAt })
}

// withdrawAll cancels the waiting requests of the account: its callers went
// elsewhere.
func (p *simulatedPool) withdrawAll(account string) {
	for request := uint64(2); request <= 2*p.requestCount; request += 2 {
		p.allocator.Withdraw(p.sim.now, admission.Holder{}, request)
	}
	p.waitingCounts[account] = 0
}
