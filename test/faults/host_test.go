package faults_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/table"
)

// host is one host: its entry and its control process, which start and fail
// together in this simulation. The decisions are made by the product's own
// packages; only the transport between them is simulated.
type host struct {
	*process
	sim         *simulation
	document    *rollout.Document
	join        *rollout.Readiness
	ready       bool
	hosts       idempotency.HostList
	register    *idempotency.Registry
	allocators  map[string]*admission.Allocator
	pendingAsks map[uint64]func(admission.Decision)
	leases      map[admission.LeaseID]*lease
	// heartbeatAt holds, for each host, the send time of the last heartbeat
	// that it answered.
	heartbeatAt map[*host]time.Duration
	inProgress  int
	stopping    bool
}

type lease struct {
	id       admission.LeaseID
	pool     string
	owner    *host
	target   *engine
	account  string
	deadline time.Duration
	produced int
	askedAt  time.Duration
}

const (
	leaseDuration  = 3 * time.Second
	askTimeout     = time.Second
	silenceTimeout = 3 * time.Second // a connection without traffic for this long is considered lost
)

func (sim *simulation) addHost(name, dataCentre string) *host {
	h := &host{process: &process{name: name, dataCentre: dataCentre}, sim: sim}
	sim.hosts = append(sim.hosts, h)
	h.start()
	return h
}

// start starts a new incarnation of the process with empty state.
func (h *host) start() {
	sim := h.sim
	h.incarnation++
	h.up, h.frozenUntil, h.stopping, h.ready, h.inProgress = true, 0, false, false, 0
	h.document, h.join = rollout.NewDocument(), rollout.NewReadiness(sim.now)
	h.hosts = idempotency.HostList{}
	h.register = idempotency.New(idempotency.Config{Self: idempotency.Process{Address: h.name, Incarnation: h.incarnation}})
	h.allocators, h.pendingAsks, h.leases = map[string]*admission.Allocator{}, map[uint64]func(admission.Decision){}, map[admission.LeaseID]*lease{}
	h.heartbeatAt = map[*host]time.Duration{}
	h.readConfiguration()
	sim.runEvery(h.process, 500*time.Millisecond, h.readConfiguration)
	sim.runEvery(h.process, 300*time.Millisecond, h.gossip)
	sim.runEvery(h.process, 200*time.Millisecond, h.pollTargets)
	sim.runEvery(h.process, 10*time.Millisecond, h.runAllocators)
	sim.runEvery(h.process, 500*time.Millisecond, h.sendHeartbeats)
	sim.runEvery(h.process, 700*time.Millisecond, h.renewLeases)
}

// readConfiguration reads the configuration service. The response holds the
// state at the time of the request.
func (h *host) readConfiguration() {
	sim, askedAt := h.sim, h.sim.now
	if sim.partitioned[h.process] && sim.now < sim.partitionEnd || sim.now < sim.service.downUntil {
		return
	}
	index, stale := sim.service.staleState[h.process]
	if !stale {
		index = len(sim.service.states) - 1
	}
	state := sim.service.states[index]
	sim.runAfter(h.process, 2*messageDelay, func() { h.applyState(state, askedAt) })
}

func (h *host) applyState(state platformState, askedAt time.Duration) {
	rows := []rollout.Row{{Key: "weight", Text: fmt.Sprintf("%03d", state.weight)}, {Key: "drain", Text: state.drainedCentre}, {Key: "leaving", Text: state.leavingTarget}}
	delta := rollout.Delta{Head: rollout.Head{Version: rollout.Version{Revision: state.revision}, Digest: rollout.ComputeDigest(rows)}, Full: true, Rows: rows}
	h.applyDelta(delta)
	h.join.RecordService()
	h.hosts = idempotency.HostList{Revision: state.hostsRevision, LiveHosts: state.hosts, ConfirmedAt: askedAt}
	h.register.ConfirmHosts(h.sim.now, h.hosts)
	h.checkReady()
	if !h.ready {
		return // the table may be outdated, so this host must not admit requests yet
	}
	for _, p := range h.poolPlans() {
		a := h.allocators[p.ID]
		if a == nil {
			if !slices.Contains(p.Owners, h.name) {
				continue
			}
			a = admission.New(admission.Config{LeaseDuration: leaseDuration, Seed: h.incarnation<<32 | uint64(len(h.allocators)+1)<<20 + uint64(len(h.name))<<16 | uint64(h.name[1])<<8})
			h.allocators[p.ID] = a
		}
		a.SetOwnership(h.sim.now, state.hostsRevision, len(p.Owners) > 0 && p.Owners[0] == h.name)
		a.ConfirmOwnership(askedAt)
		a.SetTargets(h.sim.now, p.TargetStates)
	}
}

func (h *host) checkReady() {
	if !h.ready && h.join.Ready(h.sim.now, len(h.sim.hosts)-1, h.document.Len() > 0, false) {
		h.ready = true
	}
	h.sim.records.recordWeight(h)
}

func (h *host) applyDelta(delta rollout.Delta) {
	if h.sim.mutation.acceptAnyRevision { // accept any revision that arrives, also an older one
		h.document = rollout.NewDocument()
	}
	if verdict, changed := h.document.Evaluate(delta); verdict == rollout.VerdictApply {
		h.document.Commit(delta, changed)
	}
}

// gossip exchanges table rows with the next peer, in turn.
func (h *host) gossip() {
	sim := h.sim
	h.checkReady()
	peer := sim.hosts[(slices.Index(sim.hosts, h)+1+int(sim.now/(300*time.Millisecond))%(len(sim.hosts)-1))%len(sim.hosts)]
	rows := h.document.FullDelta()
	h.gossipCrashes(peer)
	sim.sendMessage(h.process, peer.process, func() {
		peer.applyDelta(rows)
		peerRows := peer.document.FullDelta()
		sim.sendMessage(peer.process, h.process, func() {
			h.applyDelta(peerRows)
			h.join.RecordPeer(peer.name)
			h.checkReady()
		}, nil)
	}, nil)
}

// gossipCrashes sends the target crashes that this host's allocators have
// recorded to the allocators of a peer.
func (h *host) gossipCrashes(peer *host) {
	for _, id := range sorted(h.allocators) {
		evidence := slices.Clone(h.allocators[id].PoisonEvidence(h.sim.now, 20))
		h.sim.sendMessage(h.process, peer.process, func() {
			for _, other := range sorted(peer.allocators) {
				peer.allocators[other].MergePoisonEvidence(h.sim.now, evidence)
			}
		}, nil)
	}
}

// sorted returns a map's keys in order, so that runs are deterministic.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (h *host) rowText(key string) string {
	for _, r := range h.document.Rows() {
		if r.Key == key {
			return r.Text
		}
	}
	return ""
}

// poolPlans computes the pools from this host's view of the configuration.
func (h *host) poolPlans() []poolmanager.Plan {
	sim := h.sim
	reports, orders := &table.Service{Name: "reports", Type: table.ServiceGeneration}, &table.Service{Name: "orders", Type: table.ServiceOnce}
	leaving := h.rowText("leaving")
	for _, e := range sim.engines {
		reports.Targets = append(reports.Targets, table.Target{Address: e.name, DataCentre: e.dataCentre, Leaving: e.name == leaving && !sim.mutation.ignoreLeaving})
	}
	orders.Targets = []table.Target{{Address: sim.app.name, DataCentre: sim.app.dataCentre}}
	t := &table.Table{Services: map[string]*table.Service{"reports": reports, "orders": orders}, Drained: map[string]bool{}}
	if !sim.mutation.ignoreDrain {
		t.Drained[h.rowText("drain")] = true
	}
	var live []configservice.Host
	for _, name := range h.hosts.LiveHosts {
		if i := slices.IndexFunc(sim.hosts, func(other *host) bool { return other.name == name }); i >= 0 {
			live = append(live, configservice.Host{DataCentre: sim.hosts[i].dataCentre, Control: name, State: configservice.StateLive})
		}
	}
	plans := poolmanager.ComputePlans(t, live)
	slices.SortFunc(plans, func(a, b poolmanager.Plan) int { return strings.Compare(a.ID, b.ID) })
	return plans
}

// pollTargets reads the load reports of the targets in the pools that this host
// allocates.
func (h *host) pollTargets() {
	for _, p := range h.poolPlans() {
		a := h.allocators[p.ID]
		if a == nil {
			continue
		}
		for _, t := range p.TargetStates {
			e := h.sim.targetByAddress(t.Address)
			askedAt := h.sim.now
			h.sim.sendMessage(h.process, e.process, func() {
				report := e.report()
				h.sim.sendMessage(e.process, h.process, func() {
					// The report may have waited while this host was frozen.
					report.Age = h.sim.now - askedAt
					a.Report(h.sim.now, report)
				}, nil)
			}, nil)
		}
	}
}

func (sim *simulation) targetByAddress(address string) *engine {
	for _, e := range append(sim.engines, sim.app) {
		if e.name == address {
			return e
		}
	}
	return nil
}

func (sim *simulation) hostByName(name string) *host {
	for _, h := range sim.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// runAllocators runs the allocators and sends each decision to the entry that
// requested it.
func (h *host) runAllocators() {
	for _, id := range sorted(h.allocators) {
		for _, d := range h.allocators[id].Decide(h.sim.now) {
			holder := h.sim.hostByName(d.Holder.EntryAddress)
			h.sim.sendMessage(h.process, holder.process, func() {
				if onDecision := holder.pendingAsks[d.RequestID]; onDecision != nil && holder.incarnation == d.Holder.Incarnation {
					delete(holder.pendingAsks, d.RequestID)
					onDecision(d)
				}
			}, nil)
		}
	}
}

// sendHeartbeats sends a heartbeat to every control process. A grant received
// after the response was made after the heartbeat was sent, however long its
// ask waited in the queue, so the lease cannot expire before that time plus
// leaseDuration.
func (h *host) sendHeartbeats() {
	askedAt := h.sim.now
	for _, other := range h.sim.hosts {
		h.sim.sendMessage(h.process, other.process, func() {
			h.sim.sendMessage(other.process, h.process, func() { h.heartbeatAt[other] = askedAt }, nil)
		}, nil)
	}
}

// renewLeases renews the leases that this entry holds.
func (h *host) renewLeases() {
	for _, id := range sorted(h.leases) {
		l, askedAt := h.leases[id], h.sim.now
		renewal := []admission.Renewal{{Lease: l.id, Target: l.target.name, Account: l.account, ProducedTokens: l.produced}}
		h.sim.sendMessage(h.process, l.owner.process, func() {
			a := l.owner.allocators[l.pool]
			if a == nil {
				return
			}
			a.Renew(h.sim.now, h.holder(), renewal)
			h.sim.sendMessage(l.owner.process, h.process, func() { l.deadline = askedAt + leaseDuration }, nil)
		}, nil)
	}
}

func (h *host) holder() admission.Holder {
	return admission.Holder{EntryAddress: h.name, Incarnation: h.incarnation}
}

func (h *host) settle(heldLease *lease, outcome admission.Outcome) {
	if heldLease == nil || h.leases[heldLease.id] != heldLease {
		return
	}
	delete(h.leases, heldLease.id)
	s := admission.Settlement{Lease: heldLease.id, Outcome: outcome, ProducedTokens: heldLease.produced, Duration: h.sim.now - heldLease.askedAt}
	h.sim.sendMessage(h.process, heldLease.owner.process, func() {
		if a := heldLease.owner.allocators[heldLease.pool]; a != nil {
			a.Settle(h.sim.now, s)
		}
	}, nil)
}

// admit asks the owners of the service's pools, those in the own data centre
// first, until one answers. onDecision receives a nil lease if none grants one.
func (h *host) admit(att *attempt, service string, avoid []string, onDecision func(*lease, admission.Decision)) {
	type choice struct{ pool, owner string }
	var choices []choice
	for _, p := range h.poolPlans() {
		if !slices.Contains(p.Services, service) || p.Drained || !slices.ContainsFunc(p.TargetStates, func(t admission.Target) bool { return !t.Leaving && !slices.Contains(avoid, t.Address) }) {
			continue
		}
		for _, owner := range p.Owners {
			choices = append(choices, choice{p.ID, owner})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		distance := func(c choice) int {
			if strings.Contains(c.pool, "/"+h.dataCentre+"/") {
				return 0
			}
			return 1
		}
		return distance(a) - distance(b)
	})
	var tryChoice func(i int)
	tryChoice = func(i int) {
		if i == len(choices) {
			onDecision(nil, admission.Decision{Reason: admission.RefusedNoTarget, RetryAfter: time.Second})
			return
		}
		h.askOwner(att, choices[i].pool, h.sim.hostByName(choices[i].owner), avoid, onDecision, func() { tryChoice(i + 1) })
	}
	tryChoice(0)
}

func (h *host) askOwner(att *attempt, pool string, owner *host, avoid []string, onDecision func(*lease, admission.Decision), tryNextOwner func()) {
	sim, askedAt := h.sim, h.sim.now
	sim.lastID++
	request := sim.lastID
	h.pendingAsks[request] = func(d admission.Decision) {
		if !d.Granted() {
			onDecision(nil, d)
			return
		}
		l := &lease{id: d.Lease, pool: pool, owner: owner, target: sim.targetByAddress(d.Target), account: att.call.account, askedAt: askedAt}
		l.deadline = max(askedAt, h.heartbeatAt[owner]) + leaseDuration
		h.leases[l.id] = l
		sim.reachStep(att.call, stepGranted, h.process, func() { onDecision(l, d) })
	}
	tryNext := func() {
		if h.pendingAsks[request] != nil {
			delete(h.pendingAsks, request)
			sim.sendMessage(h.process, owner.process, func() {
				if a := owner.allocators[pool]; a != nil {
					a.Withdraw(sim.now, h.holder(), request)
				}
			}, nil)
			tryNextOwner()
		}
	}
	ask := admission.Ask{
		Holder: h.holder(), RequestID: request, Account: att.call.account, PromptTokens: 20, MaxTokens: 200,
		Fingerprint: att.call.fingerprint, MaxWait: 8 * time.Second, Avoid: avoid,
	}
	sim.sendMessage(h.process, owner.process, func() {
		a := owner.allocators[pool]
		if a == nil {
			return
		}
		if sim.mutation.skipSlowStart {
			sim.grantLeastLoaded(owner, pool, ask)
			return
		}
		a.Ask(sim.now, ask)
		sim.reachStep(att.call, stepQueued, owner.process, func() {})
	}, tryNext)
	sim.runAfter(h.process, askTimeout+ask.MaxWait, tryNext)
	sim.runAfter(h.process, askTimeout, func() {
		if !owner.up || sim.isPartitioned(h.process, owner.process) || owner.frozenUntil > sim.now { // stands for a missing heartbeat
			tryNext()
		}
	})
}

// grantLeastLoaded is admission without slow start: it grants the target with
// the fewest requests, however recently that target started.
func (sim *simulation) grantLeastLoaded(owner *host, pool string, ask admission.Ask) {
	var leastLoaded *engine
	for _, p := range owner.poolPlans() {
		for _, t := range p.TargetStates {
			if e := sim.targetByAddress(t.Address); p.ID == pool && e.up && !t.Leaving && (leastLoaded == nil || len(e.running) < len(leastLoaded.running)) {
				leastLoaded = e
			}
		}
	}
	if leastLoaded == nil {
		return
	}
	sim.lastID++
	d := admission.Decision{Holder: ask.Holder, RequestID: ask.RequestID, Lease: admission.LeaseID(sim.lastID << 20), Target: leastLoaded.name, LeaseDuration: leaseDuration}
	holder := sim.hostByName(ask.Holder.EntryAddress)
	sim.sendMessage(owner.process, holder.process, func() {
		if onDecision := holder.pendingAsks[d.RequestID]; onDecision != nil {
			delete(holder.pendingAsks, d.RequestID)
			onDecision(d)
		}
	}, nil)
}

// stop stops the process gracefully: it accepts no new requests and exits when
// no request is in progress.
func (h *host) stop() {
	h.stopping = true
	sim := h.sim
	if sim.mutation.abortAtStop {
		sim.records.abortedByStop += h.inProgress
		sim.killProcess(h.process)
		return
	}
	var waitIdle func()
	waitIdle = func() {
		if h.inProgress == 0 {
			sim.killProcess(h.process)
			return
		}
		sim.runAfter(h.process, 50*time.Millisecond, waitIdle)
	}
	sim.runAfter(h.process, 200*time.Millisecond, waitIdle)
}
