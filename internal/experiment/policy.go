package experiment

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/standin/model"
)

// requestID names a request of the experiment.
type requestID uint64

// Ask is what a policy learns of a request: no length.
type Ask struct {
	ID          requestID
	Account     string
	Prompt, Max int
	MaxWait     time.Duration
	Fingerprint uint64
	Prefix      []uint64
	// Avoid is the engine that failed it before, -1 for none.
	Avoid int
}

// Decision answers an ask.
type Decision struct {
	ID         requestID
	Engine     int
	Refused    bool
	RetryAfter time.Duration
	Priority   int
}

// Policy is a way to admit. Times are the experiment's.
type Policy interface {
	Ask(now time.Duration, a Ask)
	Withdraw(now time.Duration, id requestID)
	// Progress comes once a second for each running request.
	Progress(now time.Duration, id requestID, produced int)
	// Ended tells how an admitted request ended.
	Ended(now time.Duration, id requestID, how admission.Outcome, produced int, firstToken time.Duration)
	Report(now time.Duration, engine int, r model.Report)
	Leave(now time.Duration, leaving []bool)
	// Decide returns what is decided now; the slice is valid until the next
	// call.
	Decide(now time.Duration) []Decision
}

// PolicySpec names a policy and makes it.
type PolicySpec struct {
	Name string
	make func(s *Scenario, seed uint64) Policy
	// retryAlways makes callers send again at once when they are refused or
	// got no answer.
	retryAlways bool
}

// entries is the number of entry hosts that ask, as the users have today.
const entries = 8

// filbertdeck runs the product's allocator.
type filbertdeck struct {
	plain   bool
	alloc   *admission.Allocator
	running map[requestID]*granted
	targets []admission.Target
	index   map[string]int
	out     []Decision
	renewed time.Duration
}

type granted struct {
	decision admission.Decision
	account  string
	prompt   int
}

func newFilbertdeck(s *Scenario, seed uint64) Policy {
	p := &filbertdeck{
		plain: s.Plain, alloc: admission.New(admission.Config{Seed: seed}),
		running: map[requestID]*granted{}, index: map[string]int{},
	}
	for i := range s.Engines {
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		p.targets = append(p.targets, admission.Target{Address: address})
		p.index[address] = i
	}
	// The allocator has owned the pool for a while: see confirm.
	p.alloc.SetConfirmedOwner(-time.Minute, true)
	p.alloc.SetTargets(0, p.targets)
	for _, c := range s.Classes {
		p.alloc.SetShare(0, admission.Share{Account: c.Account, Weight: c.Weight})
	}
	return p
}

func holder(id requestID) admission.Holder {
	return admission.Holder{Entry: entryNames[id%entries], Incarnation: 1}
}

var entryNames = func() (names [entries]string) {
	for i := range names {
		names[i] = fmt.Sprintf("10.0.1.%d:80", i+1)
	}
	return names
}()

func (p *filbertdeck) Ask(now time.Duration, a Ask) {
	ask := admission.Ask{
		Holder: holder(a.ID), Request: uint64(a.ID), Account: a.Account, PromptTokens: a.Prompt,
		MaxTokens: a.Max, MaxWait: a.MaxWait, Fingerprint: a.Fingerprint, Prefix: a.Prefix,
	}
	if p.plain {
		ask.PromptTokens, ask.MaxTokens = 0, 0
	}
	if a.Avoid >= 0 {
		ask.Avoid = []string{p.targets[a.Avoid].Address}
	}
	p.running[a.ID] = &granted{account: a.Account, prompt: ask.PromptTokens}
	p.alloc.Ask(now, ask)
}

func (p *filbertdeck) Withdraw(now time.Duration, id requestID) {
	p.alloc.Withdraw(now, holder(id), uint64(id))
	delete(p.running, id)
}

func (p *filbertdeck) Progress(now time.Duration, id requestID, produced int) {
	g := p.running[id]
	if g == nil {
		return
	}
	p.alloc.Renew(now, holder(id), []admission.Renewal{{
		Lease: g.decision.Lease, Target: g.decision.Target, Account: g.account,
		PromptTokens: g.prompt, ProducedTokens: produced,
	}})
}

func (p *filbertdeck) Ended(now time.Duration, id requestID, how admission.Outcome, produced int, first time.Duration) {
	g := p.running[id]
	if g == nil {
		return
	}
	delete(p.running, id)
	if p.plain {
		produced = 0
	}
	p.alloc.Settle(now, admission.Settlement{Lease: g.decision.Lease, Outcome: how, ProducedTokens: produced, FirstToken: first})
}

func (p *filbertdeck) Report(now time.Duration, engine int, r model.Report) {
	report := admission.Report{
		Target: p.targets[engine].Address, Age: r.Age, Incarnation: r.Incarnation,
		MemoryTokens: r.MemoryTokens, UsedTokens: r.UsedTokens, Running: r.Running, Waiting: r.Waiting,
		Preemptions: r.Preemptions, Capacity: r.Bears, StepTime: r.StepTime,
	}
	if p.plain {
		report.MemoryTokens, report.UsedTokens = 0, 0
	}
	p.alloc.Report(now, report)
}

func (p *filbertdeck) Leave(now time.Duration, leaving []bool) {
	for i := range p.targets {
		p.targets[i].Leaving = leaving[i]
	}
	p.alloc.SetTargets(now, p.targets)
}

func (p *filbertdeck) Decide(now time.Duration) []Decision {
	if now-p.renewed >= time.Second {
		p.alloc.ConfirmOwnership(now)
		p.renewed = now
	}
	p.out = p.out[:0]
	for _, d := range p.alloc.Decide(now) {
		id := requestID(d.Request)
		if !d.Granted() {
			delete(p.running, id)
			p.out = append(p.out, Decision{ID: id, Refused: true, RetryAfter: d.RetryAfter})
			continue
		}
		p.running[id].decision = d
		p.out = append(p.out, Decision{ID: id, Engine: p.index[d.Target], Priority: d.Priority})
	}
	return p.out
}
