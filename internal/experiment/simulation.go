package experiment

import (
	"math/rand/v2"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/standin/model"
)

const (
	tick = time.Millisecond
	// hopDelay is the one-way network delay between two processes; the users
	// state 1 to 1.5 ms.
	hopDelay = time.Millisecond
	// reportPollInterval is the interval between fetches of an engine's report,
	// which itself lags by 500 ms; progressInterval is the interval at which
	// entries renew their leases.
	reportPollInterval = 500 * time.Millisecond
	progressInterval   = time.Second
	// resendDelay is the delay of a retry, by callers of a "retry always" policy
	// and by those whose engine crashed.
	resendDelay = 100 * time.Millisecond
	// maxResends limits the number of retries of a request.
	maxResends = 10
)

// requestState is the state of a request in the simulation.
type requestState int

const (
	stateWaiting requestState = iota
	stateAdmitted
	stateEnded
)

// request is one attempt of a caller; a retry is a new request.
type request struct {
	id           requestID
	class        *RequestClass
	promptTokens int
	outputTokens int
	prefix       []uint64
	fingerprint  uint64
	resends      int
	avoidEngine  int

	state     requestState
	engine    int
	arrivedAt time.Duration
	// decidedAt is the time of the policy's decision.
	decidedAt      time.Duration
	firstTokenAt   time.Duration
	lastTokenAt    time.Duration
	producedTokens int
}

// simulation runs one policy in one scenario.
type simulation struct {
	scenario *Scenario
	spec     PolicySpec
	policy   Policy
	now      time.Duration
	events   eventQueue
	rngs     map[*RequestClass]*rand.Rand
	engines  []*model.Engine
	leaving  []bool
	requests map[requestID]*request
	lastID   requestID
	// openRequests counts the waiting and running requests of each class.
	openRequests map[*RequestClass]int
	result       *Result
}

func newSimulation(s *Scenario, spec PolicySpec, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, spec: spec, policy: spec.newPolicy(s, seed), rngs: map[*RequestClass]*rand.Rand{},
		requests: map[requestID]*request{}, leaving: make([]bool, s.Engines),
		openRequests: map[*RequestClass]int{}, result: newResult(s, spec.Name),
	}
	for i := range s.Engines {
		cfg := s.Engine
		cfg.Seed = seed + uint64(i)
		sim.engines = append(sim.engines, model.New(cfg))
		sim.pollReport(i)
	}
	for i := range s.Classes {
		sim.rngs[&s.Classes[i]] = rand.New(rand.NewPCG(seed, uint64(i)))
		sim.startArrivals(i)
	}
	for _, f := range s.Faults {
		sim.scheduleAt(f.At, func() { sim.injectFault(f) })
	}
	return sim
}

func (sim *simulation) run() *Result {
	for ; sim.now < sim.scenario.Duration; sim.now += tick {
		sim.events.runDue(sim.now)
		for i := range sim.engines {
			sim.processEvents(i)
		}
		for _, d := range sim.policy.Decide(sim.now) {
			sim.applyDecision(d)
		}
	}
	for _, e := range sim.engines {
		sim.result.addEngineStats(e.Stats())
	}
	return sim.result
}

func (sim *simulation) scheduleAt(t time.Duration, action func()) { sim.events.schedule(t, action) }
func (sim *simulation) scheduleAfter(d time.Duration, action func()) {
	sim.scheduleAt(sim.now+d, action)
}

// pollReport passes an engine's report to the policy and schedules the next poll.
func (sim *simulation) pollReport(engine int) {
	if !sim.engines[engine].Crashed() {
		sim.policy.Report(sim.now, engine, sim.engines[engine].Report(sim.now))
	}
	sim.scheduleAfter(reportPollInterval, func() { sim.pollReport(engine) })
}

func (sim *simulation) injectFault(f Fault) {
	e := sim.engines[f.Engine]
	switch f.Kind {
	case FaultSlow:
		e.SetSlowFactor(sim.now, f.Factor)
	case FaultCrash:
		e.Crash(sim.now)
	case FaultCold:
		e.ResetWarmUp(sim.now)
	case FaultLeave, FaultReturn:
		sim.leaving[f.Engine] = f.Kind == FaultLeave
		sim.policy.SetLeaving(sim.now, sim.leaving)
	}
}

// processEvents handles the events of an engine since the last tick.
func (sim *simulation) processEvents(engine int) {
	for _, event := range sim.engines[engine].Advance(sim.now) {
		switch event.Kind {
		case model.EventCrashed:
			sim.handleCrash(engine)
		case model.EventToken, model.EventFinished:
			if req := sim.requests[requestID(event.ID)]; req != nil {
				sim.handleRequestEvent(req, event)
			}
		}
	}
}

func (sim *simulation) handleRequestEvent(req *request, event model.Event) {
	if event.Kind == model.EventFinished {
		sim.finish(req)
		return
	}
	if req.producedTokens == 0 {
		req.firstTokenAt = event.At
		sim.result.recordFirstToken(req, event.At)
	} else {
		sim.result.recordGap(event.At, event.At-req.lastTokenAt)
	}
	req.producedTokens, req.lastTokenAt = event.ProducedTokens, event.At
	sim.result.recordToken(req, event.At)
}

func (sim *simulation) finish(req *request) {
	sim.result.recordCompleted(req, sim.now)
	sim.endAdmitted(req, admission.OutcomeDone)
}

// endAdmitted closes an admitted request and notifies the policy one hop later.
func (sim *simulation) endAdmitted(req *request, outcome admission.Outcome) {
	firstToken := max(0, req.firstTokenAt-req.decidedAt)
	id, producedTokens := req.id, req.producedTokens
	sim.closeRequest(req)
	sim.scheduleAfter(hopDelay, func() { sim.policy.Ended(sim.now, id, outcome, producedTokens, firstToken) })
}

func (sim *simulation) closeRequest(req *request) {
	req.state = stateEnded
	delete(sim.requests, req.id)
	sim.openRequests[req.class]--
	sim.fillBacklog(req.class)
}

// handleCrash ends all requests that ran on a crashed engine. Their callers retry
// from the start, since a partly delivered response can't be continued. The
// engine restarts after five seconds.
func (sim *simulation) handleCrash(engine int) {
	var lost []*request
	for _, req := range sim.requests {
		if req.state == stateAdmitted && req.engine == engine {
			lost = append(lost, req)
		}
	}
	sortByID(lost)
	for _, req := range lost {
		sim.result.recordLost(req, sim.now)
		sim.endAdmitted(req, admission.OutcomeTargetCrashed)
		sim.resend(req, engine)
	}
	const restartAfter = 5 * time.Second
	sim.scheduleAfter(restartAfter, func() { sim.engines[engine].Restart(sim.now) })
}

func (sim *simulation) resend(req *request, avoidEngine int) {
	if req.resends >= maxResends || req.class.Rate == 0 {
		return
	}
	original := *req
	sim.scheduleAfter(resendDelay, func() {
		sim.send(&request{
			class: original.class, promptTokens: original.promptTokens, outputTokens: original.outputTokens, prefix: original.prefix,
			fingerprint: original.fingerprint, resends: original.resends + 1, avoidEngine: avoidEngine,
		})
	})
}

// applyDecision carries out a decision of the policy.
func (sim *simulation) applyDecision(d Decision) {
	req := sim.requests[d.ID]
	if req == nil || req.state != stateWaiting {
		// The caller has disconnected in the meantime: the entry settles the lease.
		if !d.Refused {
			sim.scheduleAfter(2*hopDelay, func() { sim.policy.Ended(sim.now, d.ID, admission.OutcomeNotRun, 0, 0) })
		}
		return
	}
	req.decidedAt = sim.now
	if d.Refused {
		sim.handleRefusal(req)
		return
	}
	req.state, req.engine = stateAdmitted, d.Engine
	sim.result.recordGrant(req, sim.now, sim.leaving[d.Engine])
	sim.scheduleAfter(2*hopDelay, func() { sim.submit(req, d) })
	sim.scheduleAfter(progressInterval, func() { sim.reportProgress(req) })
}

func (sim *simulation) submit(req *request, d Decision) {
	if req.state != stateAdmitted {
		return
	}
	err := sim.engines[req.engine].Submit(sim.now, model.Job{
		ID: model.JobID(req.id), Priority: d.Priority, PromptTokens: req.promptTokens, OutputTokens: req.outputTokens,
		Prefix: req.prefix, Crash: req.class.CrashesEngine,
	})
	if err != nil {
		sim.result.recordLost(req, sim.now)
		sim.endAdmitted(req, admission.OutcomeTargetFailed)
		if sim.spec.retryAlways || sim.engines[req.engine].Crashed() {
			sim.resend(req, req.engine)
		}
	}
}

func (sim *simulation) reportProgress(req *request) {
	if req.state != stateAdmitted {
		return
	}
	sim.policy.Progress(sim.now, req.id, req.producedTokens)
	sim.scheduleAfter(progressInterval, func() { sim.reportProgress(req) })
}

// handleRefusal ends a request that the policy refused. With a "retry always"
// policy the caller retries; otherwise it does not, since the arrivals of an
// open-loop class already include callers who come back.
func (sim *simulation) handleRefusal(req *request) {
	sim.result.recordRefusal(req, sim.now)
	sim.closeRequest(req)
	if sim.spec.retryAlways {
		sim.resend(req, -1)
	}
}

// handleTimeout ends a request whose caller has no first token at the end of its
// maximum wait.
func (sim *simulation) handleTimeout(req *request) {
	if req.state == stateEnded || req.producedTokens > 0 {
		return
	}
	sim.result.recordTimeout(req, sim.now)
	if req.state == stateWaiting {
		sim.policy.Withdraw(sim.now, req.id)
		sim.closeRequest(req)
	} else {
		sim.engines[req.engine].Cancel(sim.now, model.JobID(req.id))
		sim.endAdmitted(req, admission.OutcomeCallerLeft)
	}
	if sim.spec.retryAlways {
		sim.resend(req, -1)
	}
}
