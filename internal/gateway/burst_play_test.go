package gateway_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/deferral"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/standin/model"
)

// workClass is a kind of generation in a play of a burst.
type workClass struct {
	urgent                        bool
	promptTokens, promptDeviation float64
	// outputTokens is the mean, outputDeviation the standard deviation of the
	// logarithm.
	outputTokens, outputDeviation float64
	maxOutputTokens               int
	firstObjective, timeout       time.Duration
}

var (
	longReports  = workClass{promptTokens: 3000, promptDeviation: 700, outputTokens: 750, outputDeviation: 0.8, maxOutputTokens: 1780, firstObjective: 4 * time.Second, timeout: 39 * time.Second}
	shortAnswers = workClass{urgent: true, promptTokens: 2200, promptDeviation: 900, outputTokens: 8, outputDeviation: 0.8, maxOutputTokens: 28, firstObjective: 1500 * time.Millisecond, timeout: 6 * time.Second}
)

// playedRequest is one generation in a play.
type playedRequest struct {
	class       *workClass
	host        *gateway.TargetLoads
	hostIndex   int
	prompt      call.Prompt
	output      int
	arrived     time.Duration
	searchAt    time.Duration
	reservation *gateway.Reservation
	// placed is the time at which it was sent to an engine; 0 before.
	placed      time.Duration
	first, last time.Duration
	maxPause    time.Duration
	finished    bool
}

// inTime reports whether the caller got the whole answer in time.
func (r *playedRequest) inTime() bool {
	const maxPause = 180 * time.Millisecond
	return r.finished && r.first-r.arrived <= r.class.firstObjective && r.maxPause <= maxPause
}

// burstPlay plays hosts that place generations on engines with little memory. Hosts
// learn of each other's loads from the engines' owners.
type burstPlay struct {
	waits bool
	// order orders the waiting requests of all hosts; nil for none.
	order *playedOrder
	// arrivals draws the load, draws the hosts' decisions.
	arrivals, draws *rand.Rand
	now             time.Duration
	view            *directory.View
	hosts           []*gateway.TargetLoads
	engines         map[string]*model.Engine
	ids             []string
	owners          map[string]*gateway.TargetLoads
	waiting         []*playedRequest
	requests        []*playedRequest
}

const (
	playTick          = 2 * time.Millisecond
	arrivalsEnd       = 24 * time.Second
	playLength        = 50 * time.Second
	burstStart        = 5 * time.Second
	burstEnd          = 11 * time.Second
	recoveryTime      = 5 * time.Second
	playMemoryTokens  = 27_000
	playShareInterval = 100 * time.Millisecond
)

func newBurstPlay(seed uint64, hosts, engines int, waits bool) *burstPlay {
	p := &burstPlay{waits: waits, arrivals: rand.New(rand.NewPCG(seed, 0)), draws: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*model.Engine{}, owners: map[string]*gateway.TargetLoads{}}
	cfg := testConfig()
	cfg.Services[1].Engine.MemoryTokens = playMemoryTokens
	targets := map[string]*directory.ObservedTarget{}
	for i := range hosts {
		l := gateway.NewTargetLoads(fmt.Sprintf("host-%d", i), "dc-1", func() time.Duration { return p.now })
		l.SetHostCount(func() int { return hosts })
		l.SetRand(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		l.SetOwnerQuery(p.queryOwner)
		p.hosts = append(p.hosts, l)
	}
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		p.ids = append(p.ids, id)
		p.owners[id] = p.hosts[i%hosts]
		targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
		p.engines[id] = model.New(model.Config{
			MemoryTokens: playMemoryTokens, MaxBatch: 24, MaxWaiting: 72, BaseStep: 7 * time.Millisecond, PerSequence: 120 * time.Microsecond,
			PerPromptToken: 71 * time.Microsecond, PrefillChunk: 112, Seed: seed,
		})
	}
	p.view = directory.NewView(1, cfg, targets, nil)
	return p
}

func (p *burstPlay) queryOwner(target gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
	return p.owners[target.ID].AnswerOwnerQuery(own), true
}

// run plays the load: rates of both classes are per second, and the long reports come
// at burst times their rate for some seconds.
func (p *burstPlay) run(longPerSecond, shortPerSecond, burst float64) {
	nextShare := playShareInterval
	for ; p.now < playLength; p.now += playTick {
		rate := longPerSecond
		if p.now >= burstStart && p.now < burstEnd {
			rate *= burst
		}
		if p.now < arrivalsEnd {
			p.arrive(&longReports, rate)
			p.arrive(&shortAnswers, shortPerSecond)
		}
		p.search()
		for _, id := range p.ids {
			p.take(p.engines[id].Advance(p.now))
		}
		if p.now >= nextShare {
			nextShare += playShareInterval
			p.shareLoads()
		}
	}
}

// arrive adds the requests of a class that come within a tick.
func (p *burstPlay) arrive(class *workClass, perSecond float64) {
	if p.arrivals.Float64() >= perSecond*playTick.Seconds() {
		return
	}
	deviate := class.outputDeviation * p.arrivals.NormFloat64()
	output := min(max(int(class.outputTokens*math.Exp(deviate-class.outputDeviation*class.outputDeviation/2)), 1), class.maxOutputTokens)
	host := p.arrivals.IntN(len(p.hosts))
	r := &playedRequest{class: class, host: p.hosts[host], hostIndex: host, output: output, arrived: p.now, searchAt: p.now}
	r.prompt = call.Prompt{
		Tokens: max(int(class.promptTokens+class.promptDeviation*p.arrivals.NormFloat64()), 100), MaxOutputTokens: class.maxOutputTokens,
		LengthHint: max(int(float64(output)*math.Exp(1.2*p.arrivals.NormFloat64())), 1),
	}
	p.requests = append(p.requests, r)
	p.waiting = append(p.waiting, r)
}

// search places the waiting requests that are due.
func (p *burstPlay) search() {
	var left []*playedRequest
	for _, r := range p.waiting {
		if r.searchAt > p.now || !p.place(r) {
			left = append(left, r)
		}
	}
	p.waiting = left
}

// place sends a request to an engine; false when it waits on.
func (p *burstPlay) place(r *playedRequest) bool {
	req := gateway.PlacementRequest{Service: "llm", Prompt: r.prompt, FirstEventObjective: max(r.class.firstObjective-(p.now-r.arrived), 0), Locality: gateway.PreferLocal}
	var search deferral.Search
	if p.waits {
		search = deferral.Next(deferral.Generation{
			Urgent: r.class.urgent, Waited: p.now - r.arrived, Timeout: r.class.timeout,
			FirstTokenObjective: r.class.firstObjective, TimeToFirstToken: r.host.TimeToFirstToken(r.prompt),
		}, p.draws.Float64())
	}
	search, maySearch := p.order.next(p.now, r, search)
	if !maySearch {
		r.searchAt = p.now + search.Wait
		return false
	}
	req.MemoryShare = search.MemoryShare
	target, reservation, outcome := r.host.AcquireWithRoom(p.view, req)
	if outcome == gateway.NoRoom {
		r.searchAt = p.now + search.Wait
		return false
	}
	Expect(outcome).To(Equal(gateway.Placed))
	r.placed = p.now
	p.order.done(p.now, r)
	r.reservation = reservation
	priority := 0
	if r.class.urgent {
		priority = 1
	}
	id := model.JobID(len(p.requests))
	for i, other := range p.requests {
		if other == r {
			id = model.JobID(i)
		}
	}
	if err := p.engines[target.ID].Submit(p.now, model.Job{ID: id, Priority: priority, PromptTokens: r.prompt.Tokens, OutputTokens: r.output}); err != nil {
		reservation.Release()
	}
	return true
}

// take handles the events of an engine.
func (p *burstPlay) take(events []model.Event) {
	for _, e := range events {
		r := p.requests[e.ID]
		switch e.Kind {
		case model.EventToken:
			if r.first == 0 {
				r.first = e.At
				r.reservation.MarkPromptRead()
			} else {
				r.maxPause = max(r.maxPause, e.At-r.last)
			}
			r.last = e.At
		case model.EventFinished:
			r.finished = true
			r.reservation.Release()
		}
	}
}

// shareLoads sends each host's changed loads to the owners.
func (p *burstPlay) shareLoads() {
	for _, l := range p.hosts {
		for _, c := range l.PendingOwnLoads() {
			if owner := p.owners[c.Target]; owner != l {
				owner.MergeLoads("", []targetload.HostLoad{c})
			}
		}
	}
}

// playResult is what callers got. The later ones are the long generations that came
// when the engines should have recovered from the burst.
type playResult struct {
	longCount, longInTime, laterCount, laterInTime, shortCount, shortInTime, unfinished int
	recomputedTokens, preemptions                                                       uint64
}

func (p *burstPlay) result() playResult {
	var got playResult
	for _, r := range p.requests {
		count, inTime := &got.longCount, &got.longInTime
		if r.class.urgent {
			count, inTime = &got.shortCount, &got.shortInTime
		}
		*count++
		if r.inTime() {
			*inTime++
		}
		if !r.class.urgent && r.arrived >= burstEnd+recoveryTime {
			got.laterCount++
			if r.inTime() {
				got.laterInTime++
			}
		}
		if !r.finished {
			got.unfinished++
		}
	}
	for _, e := range p.engines {
		got.recomputedTokens += e.Stats().Recomputed
		got.preemptions += e.Stats().Preemptions
	}
	return got
}

func share(part, whole int) float64 { return float64(part) / float64(whole) }

var _ = Describe("a burst of long generations beyond the engines' memory", func() {
	play := func(seed uint64, waits bool) playResult {
		p := newBurstPlay(seed, 18, 12, waits)
		p.run(8, 7.4, 2.2)
		return p.result()
	}

	// Guards against engines that preempt streams which have begun and read prompts
	// again for seconds after a burst, while nobody is told to wait.
	It("is served in time when generations wait at their hosts", func() {
		for _, seed := range []uint64{1, 2, 3} {
			without, with := play(seed, false), play(seed, true)
			AddReportEntry(fmt.Sprintf("seed %d", seed), fmt.Sprintf("without waiting %+v, with %+v", without, with))
			Expect(with.unfinished).To(BeZero())
			Expect(with.recomputedTokens).To(BeNumerically("<", without.recomputedTokens/3))
			Expect(share(with.longInTime, with.longCount)).To(BeNumerically(">", share(without.longInTime, without.longCount)))
			Expect(share(with.laterInTime, with.laterCount)).To(BeNumerically(">=", 0.9))
			Expect(share(with.shortInTime, with.shortCount)).To(BeNumerically(">=", 0.95))
		}
	})
})
