package gateway_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/deferral"
	"filbertdeck/internal/decide/enginespeed"
	"filbertdeck/internal/decide/prefill"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/standin/model"
)

// workClass is a kind of generation in a play of a burst.
type workClass struct {
	urgent                        bool
	promptTokens, promptDeviation float64
	// sharedTokens is the number of leading tokens that all prompts have in common.
	sharedTokens int
	// outputTokens is the mean, outputDeviation the standard deviation of the
	// logarithm.
	outputTokens, outputDeviation float64
	maxOutputTokens               int
	firstObjective, timeout       time.Duration
}

var (
	longReports = workClass{promptTokens: 3000, promptDeviation: 700, outputTokens: 750, outputDeviation: 0.8, maxOutputTokens: 1780, firstObjective: 4 * time.Second, timeout: 39 * time.Second}
	// sharedReports are longReports that have the first 2,000 tokens in common.
	sharedReports = workClass{promptTokens: 3000, promptDeviation: 300, sharedTokens: 2000, outputTokens: 750, outputDeviation: 0.8, maxOutputTokens: 1780, firstObjective: 4 * time.Second, timeout: 39 * time.Second}
	// longPrompts and shortPrompts are a mix in which a long prompt takes longer to read than
	// the objective of a short one.
	longPrompts  = workClass{promptTokens: 9000, promptDeviation: 1500, outputTokens: 150, outputDeviation: 0.8, maxOutputTokens: 400, firstObjective: 4 * time.Second, timeout: 39 * time.Second}
	shortPrompts = workClass{urgent: true, promptTokens: 200, promptDeviation: 60, outputTokens: 8, outputDeviation: 0.8, maxOutputTokens: 28, firstObjective: 500 * time.Millisecond, timeout: 6 * time.Second}
	shortAnswers = workClass{urgent: true, promptTokens: 2200, promptDeviation: 900, outputTokens: 8, outputDeviation: 0.8, maxOutputTokens: 28, firstObjective: 1500 * time.Millisecond, timeout: 6 * time.Second}
)

// sharedBlocks returns the hashes of the blocks that all prompts have in common.
func (c *workClass) sharedBlocks() []uint64 {
	blocks := make([]uint64, c.sharedTokens/model.BlockTokens)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	return blocks
}

// maxPause is the longest pause between two events that callers accept.
const maxPause = 180 * time.Millisecond

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
	target      string
	window      enginespeed.Window
	maxPause    time.Duration
	finished    bool
}

// inTime reports whether the caller got the whole answer in time.
func (r *playedRequest) inTime() bool {
	return r.finished && r.first-r.arrived <= r.class.firstObjective && r.maxPause <= maxPause
}

// burstPlay plays hosts that place generations on engines with little memory. Hosts
// learn of each other's loads from the engines' owners.
type burstPlay struct {
	waits bool
	// beforeSearch, if set, runs before each search and may change it.
	beforeSearch func(r *playedRequest, req *gateway.PlacementRequest)
	load         playLoad
	// limits says how the unread prompts at engines are limited, urgent holds the mean
	// urgent prompt that each host has seen.
	limits promptLimits
	urgent map[*gateway.TargetLoads]*prefill.MeanTokens
	// order orders the waiting requests of all hosts; nil for none.
	order *playedOrder
	// arrivals draws the load, draws the hosts' decisions.
	arrivals, draws *rand.Rand
	now             time.Duration
	config          *directory.Config
	view            *directory.View
	// targets are the engines that take generations, in the order in which they joined.
	targets  []*directory.ObservedTarget
	hosts    []*gateway.TargetLoads
	engines  map[string]*model.Engine
	ids      []string
	owners   map[string]*gateway.TargetLoads
	waiting  []*playedRequest
	requests []*playedRequest
}

// playLoad is the load of a play.
type playLoad struct {
	long, short *workClass
	// Rates of both classes are per second; the long ones come at burst times their rate
	// for some seconds.
	longPerSecond, shortPerSecond, burst float64
	// turnover is the time after which a sixth of the engines is replaced; 0 for never.
	// Those that leave take nothing new and end what they run.
	turnover time.Duration
	// unanswered is the share of queries without an answer.
	unanswered float64
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

func newBurstPlay(seed uint64, hosts, engines int, waits bool, load playLoad) *burstPlay {
	p := &burstPlay{waits: waits, load: load, urgent: map[*gateway.TargetLoads]*prefill.MeanTokens{}, config: testConfig(), arrivals: rand.New(rand.NewPCG(seed, 0)), draws: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*model.Engine{}, owners: map[string]*gateway.TargetLoads{}}
	p.config.Services[1].Engine.MemoryTokens = playMemoryTokens
	for i := range hosts {
		l := gateway.NewTargetLoads(fmt.Sprintf("host-%d", i), "dc-1", func() time.Duration { return p.now })
		l.SetHostCount(func() int { return hosts })
		l.SetRand(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		l.SetOwnerQuery(p.queryOwner)
		p.hosts = append(p.hosts, l)
		p.urgent[l] = &prefill.MeanTokens{}
	}
	p.addEngines(engines)
	return p
}

// addEngines has empty engines join.
func (p *burstPlay) addEngines(count int) {
	for range count {
		id := fmt.Sprintf("i-%d", len(p.ids))
		p.owners[id] = p.hosts[len(p.ids)%len(p.hosts)]
		p.ids = append(p.ids, id)
		p.targets = append(p.targets, &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}})
		p.engines[id] = model.New(model.Config{
			MemoryTokens: playMemoryTokens, MaxBatch: 24, MaxWaiting: 72, BaseStep: 7 * time.Millisecond, PerSequence: 120 * time.Microsecond,
			PerPromptToken: 71 * time.Microsecond, PrefillChunk: 112,
		})
	}
	targets := map[string]*directory.ObservedTarget{}
	for _, t := range p.targets {
		targets[t.ID] = t
	}
	p.view = directory.NewView(1, p.config, targets, nil)
}

// queryOwner answers a query, or not, by the target and the time: hosts query in parallel,
// and a play has to give the same result each time.
func (p *burstPlay) queryOwner(target gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
	counts := p.owners[target.ID].AnswerOwnerQuery(own)
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, target.ID, own[0].Host, p.now)
	return counts, float64(h.Sum64()%1000) >= 1000*p.load.unanswered
}

// run plays the load.
func (p *burstPlay) run() {
	nextShare, nextTurnover := playShareInterval, p.load.turnover
	for ; p.now < playLength; p.now += playTick {
		rate := p.load.longPerSecond
		if p.now >= burstStart && p.now < burstEnd {
			rate *= p.load.burst
		}
		if p.now < arrivalsEnd {
			p.arrive(p.load.long, rate)
			p.arrive(p.load.short, p.load.shortPerSecond)
		}
		if p.load.turnover > 0 && p.now >= nextTurnover {
			nextTurnover += p.load.turnover
			leaving := len(p.targets) / 6
			p.targets = p.targets[leaving:]
			p.addEngines(leaving)
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
		req.MemoryShare = search.MemoryShare
		p.limitPrompts(r, &req)
	}
	if p.beforeSearch != nil {
		p.beforeSearch(r, &req)
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
	r.reservation, r.target = reservation, target.ID
	r.placed = p.now
	p.order.done(p.now, r)
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
	if err := p.engines[target.ID].Submit(p.now, model.Job{ID: id, Priority: priority, PromptTokens: r.prompt.Tokens, OutputTokens: r.output, Prefix: r.class.sharedBlocks()}); err != nil {
		reservation.Release()
	}
	return true
}

// promptLimits is a way to limit the unread prompts at engines.
type promptLimits int

const (
	noLimit promptLimits = iota
	// fixedLimit allows fixedUnreadTokens everywhere.
	fixedLimit
	// derivedLimit is that of decide/prefill.
	derivedLimit
)

const fixedUnreadTokens = 2500

// limitPrompts sets the limit on unread prompts for a search, as the gateway does.
func (p *burstPlay) limitPrompts(r *playedRequest, req *gateway.PlacementRequest) {
	switch {
	case r.class.urgent:
		p.urgent[r.host].Add(r.prompt.Tokens)
		if p.limits == derivedLimit {
			req.PrefillBudget = prefill.Budget(req.FirstEventObjective)
		}
	case req.MemoryShare == 0 || p.limits == noLimit:
	case p.limits == fixedLimit:
		req.AnyRoom, req.PromptLimit = true, &prefill.Limit{UrgentTokens: -fixedUnreadTokens}
	default:
		urgent := prefill.Urgent{Objective: p.load.short.firstObjective, PromptTokens: p.urgent[r.host].Tokens()}
		req.AnyRoom, req.PromptLimit = true, prefill.For(urgent, r.prompt.Tokens)
	}
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
			if mean, full := r.window.Add(e.At - r.arrived); full {
				r.host.RecordStep(r.target, mean)
			}
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
	// Late ones had no first event within their objective, paused ones a pause over
	// maxPause.
	longLate, shortLate, paused   int
	recomputedTokens, preemptions uint64
}

func (p *burstPlay) result() playResult {
	var got playResult
	for _, r := range p.requests {
		count, inTime, late := &got.longCount, &got.longInTime, &got.longLate
		if r.class.urgent {
			count, inTime, late = &got.shortCount, &got.shortInTime, &got.shortLate
		}
		*count++
		if r.first == 0 || r.first-r.arrived > r.class.firstObjective {
			*late++
		}
		if r.maxPause > maxPause {
			got.paused++
		}
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
		p := newBurstPlay(seed, 18, 12, waits, playLoad{long: &longReports, short: &shortAnswers, longPerSecond: 8, shortPerSecond: 7.4, burst: 2.2})
		p.run()
		return p.result()
	}

	// Guards against choices that depend on the order in which a host reads what others
	// report, such as that of a map.
	It("is served alike whenever the same happens", func() {
		Expect(play(1, true)).To(Equal(play(1, true)))
	})

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

// add adds the counts of another play.
func (r *playResult) add(o playResult) {
	r.longCount += o.longCount
	r.longLate += o.longLate
	r.shortCount += o.shortCount
	r.shortLate += o.shortLate
	r.paused += o.paused
	r.unfinished += o.unfinished
}

var _ = Describe("long prompts beside short urgent ones", func() {
	// Guards against a limit that makes either kind late, and against one that suits only
	// one mix of prompts.
	DescribeTable("are placed by a limit that follows from objectives and speeds", func(load playLoad) {
		var sum [derivedLimit + 1]playResult
		for seed := range uint64(3) {
			for limits := range sum {
				p := newBurstPlay(seed+1, 18, 12, true, load)
				p.limits = promptLimits(limits)
				p.run()
				sum[limits].add(p.result())
			}
		}
		for limits, name := range []string{"no limit", "2,500 tokens", "derived limit"} {
			s := sum[limits]
			AddReportEntry(name, fmt.Sprintf("long late %d of %d, short late %d of %d, paused %d", s.longLate, s.longCount, s.shortLate, s.shortCount, s.paused))
		}
		none, fixed, derived := sum[noLimit], sum[fixedLimit], sum[derivedLimit]
		Expect(derived.unfinished).To(BeZero())
		Expect(derived.longLate).To(BeNumerically("<=", none.longLate+derived.longCount/50))
		Expect(derived.shortLate).To(BeNumerically("<=", none.shortLate+derived.shortCount/33))
		Expect(derived.longLate + derived.shortLate).To(BeNumerically("<=", fixed.longLate+fixed.shortLate+derived.longCount/50))
	},
		Entry("a burst of long ones", playLoad{long: &longReports, short: &shortAnswers, longPerSecond: 8, shortPerSecond: 7.4, burst: 2.2, unanswered: 0.1}),
		Entry("a burst of long ones, engines that are replaced", playLoad{long: &longReports, short: &shortAnswers, longPerSecond: 9, shortPerSecond: 7.4, burst: 2.2, turnover: 3300 * time.Millisecond, unanswered: 0.1}),
		Entry("much longer ones, at an even rate", playLoad{long: &longPrompts, short: &shortPrompts, longPerSecond: 6, shortPerSecond: 7, burst: 1, unanswered: 0.1}),
		Entry("long ones alone", playLoad{long: &longReports, short: &shortAnswers, longPerSecond: 9, burst: 2.2}),
		Entry("long ones that share two thirds of their prompts", playLoad{long: &sharedReports, short: &shortAnswers, longPerSecond: 9, shortPerSecond: 7.4, burst: 2.2}),
	)
})
