package experiment

import (
	"math/rand/v2"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/standin/model"
)

const (
	tick = time.Millisecond
	// hop is one way between two of the processes; the users state 1 to 1.5 ms.
	hop = time.Millisecond
	// pollEvery is how often reports are fetched, on top of their own lag of
	// 500 ms; progressEvery how often entries renew their leases.
	pollEvery     = 500 * time.Millisecond
	progressEvery = time.Second
	// resendAfter is when a caller of the "retry always" kind sends again, and
	// when one whose engine died does.
	resendAfter = 100 * time.Millisecond
	// maxSends bounds how often one caller sends.
	maxSends = 10
)

// state says how far a request is.
type state int

const (
	waiting state = iota
	admitted
	over
)

// request is one send of a caller.
type request struct {
	id     requestID
	class  *Class
	prompt int
	length int
	prefix []uint64
	print  uint64
	sends  int
	avoid  int

	state   state
	engine  int
	arrived time.Duration
	// decided is when the policy answered.
	decided   time.Duration
	first     time.Duration
	lastToken time.Duration
	produced  int
}

// world runs one policy through one scenario.
type world struct {
	s        *Scenario
	spec     PolicySpec
	policy   Policy
	now      time.Duration
	agenda   agenda
	streams  map[*Class]*rand.Rand
	engines  []*model.Engine
	leaving  []bool
	requests map[requestID]*request
	lastID   requestID
	// open counts the requests of a class that wait or run.
	open   map[*Class]int
	result *Result
}

func newWorld(s *Scenario, spec PolicySpec, seed uint64) *world {
	w := &world{
		s: s, spec: spec, policy: spec.make(s, seed), streams: map[*Class]*rand.Rand{},
		requests: map[requestID]*request{}, leaving: make([]bool, s.Engines),
		open: map[*Class]int{}, result: newResult(s, spec.Name),
	}
	for i := range s.Engines {
		cfg := s.Engine
		cfg.Seed = seed + uint64(i)
		w.engines = append(w.engines, model.New(cfg))
		w.poll(i)
	}
	for i := range s.Classes {
		w.streams[&s.Classes[i]] = rand.New(rand.NewPCG(seed, uint64(i)))
		w.startClass(i)
	}
	for _, f := range s.Faults {
		w.at(f.At, func() { w.inflict(f) })
	}
	return w
}

func (w *world) run() *Result {
	for ; w.now < w.s.Duration; w.now += tick {
		w.agenda.run(w.now)
		for i := range w.engines {
			w.takeEvents(i)
		}
		for _, d := range w.policy.Decide(w.now) {
			w.decided(d)
		}
	}
	for _, e := range w.engines {
		w.result.addEngine(e.Stats())
	}
	return w.result
}

func (w *world) at(t time.Duration, do func())    { w.agenda.add(t, do) }
func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// poll fetches an engine's report, again and again.
func (w *world) poll(i int) {
	if !w.engines[i].Crashed() {
		w.policy.Report(w.now, i, w.engines[i].Report(w.now))
	}
	w.after(pollEvery, func() { w.poll(i) })
}

func (w *world) inflict(f Fault) {
	e := w.engines[f.Engine]
	switch f.Kind {
	case FaultSlow:
		e.SetSlowFactor(w.now, f.Factor)
	case FaultCrash:
		e.Crash(w.now)
	case FaultCold:
		e.ResetWarmUp(w.now)
	case FaultLeave, FaultReturn:
		w.leaving[f.Engine] = f.Kind == FaultLeave
		w.policy.Leave(w.now, w.leaving)
	}
}

// takeEvents passes on what an engine did since the last tick.
func (w *world) takeEvents(i int) {
	for _, event := range w.engines[i].Advance(w.now) {
		switch event.Kind {
		case model.EventCrashed:
			w.crashed(i)
		case model.EventToken, model.EventFinished:
			if r := w.requests[requestID(event.ID)]; r != nil {
				w.produced(r, event)
			}
		}
	}
}

func (w *world) produced(r *request, event model.Event) {
	if event.Kind == model.EventFinished {
		w.finish(r)
		return
	}
	if r.produced == 0 {
		r.first = event.At
		w.result.firstToken(r, event.At)
	} else {
		w.result.gap(event.At, event.At-r.lastToken)
	}
	r.produced, r.lastToken = event.ProducedTokens, event.At
	w.result.token(r, event.At)
}

func (w *world) finish(r *request) {
	w.result.finished(r, w.now)
	w.end(r, admission.OutcomeDone)
}

// end closes an admitted request and tells the policy one hop later.
func (w *world) end(r *request, how admission.Outcome) {
	first := max(0, r.first-r.decided)
	id, produced := r.id, r.produced
	w.close(r)
	w.after(hop, func() { w.policy.Ended(w.now, id, how, produced, first) })
}

func (w *world) close(r *request) {
	r.state = over
	delete(w.requests, r.id)
	w.open[r.class]--
	w.refill(r.class)
}

// crashed ends all that ran on an engine; their callers send again, since what
// was delivered can't be continued. The engine is back after five seconds.
func (w *world) crashed(i int) {
	var lost []*request
	for _, r := range w.requests {
		if r.state == admitted && r.engine == i {
			lost = append(lost, r)
		}
	}
	sortByID(lost)
	for _, r := range lost {
		w.result.lost(r, w.now)
		w.end(r, admission.OutcomeTargetCrashed)
		w.resend(r, i)
	}
	const restartAfter = 5 * time.Second
	w.after(restartAfter, func() { w.engines[i].Restart(w.now) })
}

func (w *world) resend(r *request, avoid int) {
	if r.sends >= maxSends || r.class.Rate == 0 {
		return
	}
	again := *r
	w.after(resendAfter, func() {
		w.send(&request{
			class: again.class, prompt: again.prompt, length: again.length, prefix: again.prefix,
			print: again.print, sends: again.sends + 1, avoid: avoid,
		})
	})
}

// decided carries out a decision of the policy.
func (w *world) decided(d Decision) {
	r := w.requests[d.ID]
	if r == nil || r.state != waiting {
		// The caller has left meanwhile: the entry settles the lease.
		if !d.Refused {
			w.after(2*hop, func() { w.policy.Ended(w.now, d.ID, admission.OutcomeNotRun, 0, 0) })
		}
		return
	}
	r.decided = w.now
	if d.Refused {
		w.refused(r)
		return
	}
	r.state, r.engine = admitted, d.Engine
	w.result.granted(r, w.now, w.leaving[d.Engine])
	w.after(2*hop, func() { w.start(r, d) })
	w.after(progressEvery, func() { w.renew(r) })
}

func (w *world) start(r *request, d Decision) {
	if r.state != admitted {
		return
	}
	err := w.engines[r.engine].Submit(w.now, model.Job{
		ID: model.JobID(r.id), Priority: d.Priority, PromptTokens: r.prompt, OutputTokens: r.length,
		Prefix: r.prefix, Crash: r.class.Crash,
	})
	if err != nil {
		w.result.lost(r, w.now)
		w.end(r, admission.OutcomeTargetFailed)
		if w.spec.retryAlways || w.engines[r.engine].Crashed() {
			w.resend(r, r.engine)
		}
	}
}

func (w *world) renew(r *request) {
	if r.state != admitted {
		return
	}
	w.policy.Progress(w.now, r.id, r.produced)
	w.after(progressEvery, func() { w.renew(r) })
}

// refused ends a request that the policy turned away. A caller of the "retry
// always" kind sends again; others count as refused, and the arrivals of an
// open class stand for those who come back.
func (w *world) refused(r *request) {
	w.result.refused(r, w.now)
	w.close(r)
	if w.spec.retryAlways {
		w.resend(r, -1)
	}
}

// timedOut lets a caller leave that has no first token when its time is over.
func (w *world) timedOut(r *request) {
	if r.state == over || r.produced > 0 {
		return
	}
	w.result.timedOut(r, w.now)
	if r.state == waiting {
		w.policy.Withdraw(w.now, r.id)
		w.close(r)
	} else {
		w.engines[r.engine].Cancel(w.now, model.JobID(r.id))
		w.end(r, admission.OutcomeCallerLeft)
	}
	if w.spec.retryAlways {
		w.resend(r, -1)
	}
}
