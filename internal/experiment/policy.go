package experiment

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/standin/model"
)

// requestID identifies a request of a simulation.
type requestID uint64

// Ask is the admission request that a policy sees. It does not hold the output
// length, which is unknown at admission.
type Ask struct {
	ID                      requestID
	Account                 string
	PromptTokens, MaxTokens int
	MaxWait                 time.Duration
	Fingerprint             uint64
	Prefix                  []uint64
	// AvoidEngine is the engine that failed this request before, -1 for none.
	AvoidEngine int
}

// Decision is the answer to an Ask.
type Decision struct {
	ID         requestID
	Engine     int
	Refused    bool
	RetryAfter time.Duration
	Priority   int
}

// Policy is an admission policy. All times are simulated time.
type Policy interface {
	// Ask adds a request to the queue.
	Ask(now time.Duration, a Ask)
	// Withdraw removes a queued request whose caller has disconnected.
	Withdraw(now time.Duration, id requestID)
	// Progress is called once a second for each running request.
	Progress(now time.Duration, id requestID, producedTokens int)
	// Ended reports the outcome of an admitted request.
	Ended(now time.Duration, id requestID, outcome admission.Outcome, producedTokens int, firstToken time.Duration)
	// Report passes on an engine's load report.
	Report(now time.Duration, engine int, r model.Report)
	// SetLeaving sets, for each engine, whether it is leaving.
	SetLeaving(now time.Duration, leaving []bool)
	// Decide returns the decisions made at this time; the slice is valid until
	// the next call.
	Decide(now time.Duration) []Decision
}

// PolicySpec is the name and the constructor of a policy.
type PolicySpec struct {
	Name      string
	newPolicy func(s *Scenario, seed uint64) Policy
	// retryAlways makes callers retry after resendDelay when they are refused,
	// time out or the engine rejects the request.
	retryAlways bool
}

// entryHosts is the number of entry hosts that send requests, as in today's
// deployments.
const entryHosts = 8

// allocatorPolicy runs the product's allocator.
type allocatorPolicy struct {
	plain           bool
	alloc           *admission.Allocator
	requests        map[requestID]*allocatorRequest
	targets         []admission.Target
	engineByAddress map[string]int
	decisions       []Decision
	confirmedAt     time.Duration
}

type allocatorRequest struct {
	decision     admission.Decision
	account      string
	promptTokens int
}

func newAllocatorPolicy(s *Scenario, seed uint64) Policy {
	p := &allocatorPolicy{
		plain: s.Plain, alloc: admission.New(admission.Config{Seed: seed}),
		requests: map[requestID]*allocatorRequest{}, engineByAddress: map[string]int{},
	}
	for i := range s.Engines {
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		p.targets = append(p.targets, admission.Target{Address: address})
		p.engineByAddress[address] = i
	}
	// Ownership is confirmed one minute back, so that the allocator has owned the
	// pool for a while when the run starts; Decide renews it once a second.
	p.alloc.SetConfirmedOwner(-time.Minute, true)
	p.alloc.SetTargets(0, p.targets)
	for _, c := range s.Classes {
		p.alloc.SetShare(0, admission.Share{Account: c.Account, Weight: c.Weight})
	}
	return p
}

func holderOf(id requestID) admission.Holder {
	return admission.Holder{EntryAddress: entryAddresses[id%entryHosts], Incarnation: 1}
}

var entryAddresses = func() (addresses [entryHosts]string) {
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.1.%d:80", i+1)
	}
	return addresses
}()

func (p *allocatorPolicy) Ask(now time.Duration, a Ask) {
	ask := admission.Ask{
		Holder: holderOf(a.ID), RequestID: uint64(a.ID), Account: a.Account, PromptTokens: a.PromptTokens,
		MaxTokens: a.MaxTokens, MaxWait: a.MaxWait, Fingerprint: a.Fingerprint, Prefix: a.Prefix,
	}
	if p.plain {
		ask.PromptTokens, ask.MaxTokens = 0, 0
	}
	if a.AvoidEngine >= 0 {
		ask.Avoid = []string{p.targets[a.AvoidEngine].Address}
	}
	p.requests[a.ID] = &allocatorRequest{account: a.Account, promptTokens: ask.PromptTokens}
	p.alloc.Ask(now, ask)
}

func (p *allocatorPolicy) Withdraw(now time.Duration, id requestID) {
	p.alloc.Withdraw(now, holderOf(id), uint64(id))
	delete(p.requests, id)
}

func (p *allocatorPolicy) Progress(now time.Duration, id requestID, producedTokens int) {
	req := p.requests[id]
	if req == nil {
		return
	}
	p.alloc.Renew(now, holderOf(id), []admission.Renewal{{
		Lease: req.decision.Lease, Target: req.decision.Target, Account: req.account,
		PromptTokens: req.promptTokens, ProducedTokens: producedTokens,
	}})
}

func (p *allocatorPolicy) Ended(now time.Duration, id requestID, outcome admission.Outcome, producedTokens int, firstToken time.Duration) {
	req := p.requests[id]
	if req == nil {
		return
	}
	delete(p.requests, id)
	if p.plain {
		producedTokens = 0
	}
	p.alloc.Settle(now, admission.Settlement{Lease: req.decision.Lease, Outcome: outcome, ProducedTokens: producedTokens, TimeToFirstToken: firstToken})
}

func (p *allocatorPolicy) Report(now time.Duration, engine int, r model.Report) {
	report := admission.Report{
		Target: p.targets[engine].Address, Age: r.Age, Incarnation: r.Incarnation,
		KVCapacityTokens: r.MemoryTokens, KVUsedTokens: r.UsedTokens, Running: r.Running, Waiting: r.Waiting,
		Preemptions: r.Preemptions, Capacity: r.Bears, StepTime: r.StepTime,
	}
	if p.plain {
		report.KVCapacityTokens, report.KVUsedTokens = 0, 0
	}
	p.alloc.Report(now, report)
}

func (p *allocatorPolicy) SetLeaving(now time.Duration, leaving []bool) {
	for i := range p.targets {
		p.targets[i].Leaving = leaving[i]
	}
	p.alloc.SetTargets(now, p.targets)
}

func (p *allocatorPolicy) Decide(now time.Duration) []Decision {
	if now-p.confirmedAt >= time.Second {
		p.alloc.ConfirmOwnership(now)
		p.confirmedAt = now
	}
	p.decisions = p.decisions[:0]
	for _, d := range p.alloc.Decide(now) {
		id := requestID(d.RequestID)
		if !d.Granted() {
			delete(p.requests, id)
			p.decisions = append(p.decisions, Decision{ID: id, Refused: true, RetryAfter: d.RetryAfter})
			continue
		}
		p.requests[id].decision = d
		p.decisions = append(p.decisions, Decision{ID: id, Engine: p.engineByAddress[d.Target], Priority: d.Priority})
	}
	return p.decisions
}
