package gateway_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// releasePlay plays hosts that place long generations on engines whose software is
// replaced, without a network. A leaving engine's generations move to engines of their
// version that have the memory, and those that find none are lost when it stops.
type releasePlay struct {
	rng     *rand.Rand
	now     time.Duration
	cfg     *directory.Config
	hosts   []*gateway.TargetLoads
	engines map[string]*releasedEngine
	view    *directory.View
	running []*releasedStream
	result  releaseResult
}

type releasedEngine struct {
	entry  directory.ObservedTarget
	stopAt time.Duration
}

type releasedStream struct {
	host        *gateway.TargetLoads
	prompt      call.Prompt
	engine      string
	version     string
	reservation *gateway.Reservation
	begun, end  time.Duration
	moveAt      time.Duration
}

// releaseResult counts what became of the generations.
type releaseResult struct{ begun, lost, moved int }

const (
	releaseTick      = 10 * time.Millisecond
	releaseLength    = 60 * time.Second
	releaseStop      = 2 * time.Second
	releaseMemory    = 34_000
	releaseCopyTime  = 350 * time.Millisecond
	releaseEventTime = 12 * time.Millisecond
)

func newReleasePlay(seed uint64, engines int) *releasePlay {
	p := &releasePlay{rng: rand.New(rand.NewPCG(seed, 0)), cfg: testConfig(), engines: map[string]*releasedEngine{}}
	p.cfg.Services[1].Engine.MemoryTokens = releaseMemory
	const hosts = 8
	for i := range hosts {
		l := gateway.NewTargetLoads(fmt.Sprintf("host-%d", i), "dc-1", func() time.Duration { return p.now })
		l.SetHostCount(func() int { return hosts })
		l.SetRand(rand.New(rand.NewPCG(seed, uint64(i)+1)))
		p.hosts = append(p.hosts, l)
	}
	for i := range engines {
		p.add(fmt.Sprintf("i-v1-%d", i), "v1")
	}
	p.publish()
	return p
}

func (p *releasePlay) add(id, version string) {
	p.engines[id] = &releasedEngine{entry: directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Version: version, Slots: 24}}}
}

func (p *releasePlay) publish() {
	targets := map[string]*directory.ObservedTarget{}
	for id, e := range p.engines {
		entry := e.entry
		targets[id] = &entry
	}
	p.view = directory.NewView(1, p.cfg, targets, nil)
}

// releaseSteps are the steps of a release by their time.
type releaseSteps map[time.Duration][]func()

// replace has new engines start one after the other, and old ones leave a second later.
func (p *releasePlay) replace(at, gap time.Duration, count int, from, to string) releaseSteps {
	steps := releaseSteps{}
	for i := range count {
		start := at + time.Duration(i)*gap
		steps[start] = append(steps[start], func() { p.add(fmt.Sprintf("i-%s-%d", to, i), to) })
		steps[start+time.Second] = append(steps[start+time.Second], func() {
			e := p.engines[fmt.Sprintf("i-%s-%d", from, i)]
			e.entry.Leaving, e.stopAt = true, p.now+releaseStop
		})
	}
	return steps
}

// run plays the load, in generations a second, beside the steps of a release.
func (p *releasePlay) run(perSecond float64, releases ...releaseSteps) releaseResult {
	for ; p.now < releaseLength; p.now += releaseTick {
		for _, steps := range releases {
			for _, step := range steps[p.now] {
				step()
				p.publish()
			}
		}
		if p.rng.Float64() < perSecond*releaseTick.Seconds() {
			p.begin()
		}
		p.advance()
		if p.now%(100*time.Millisecond) == 0 {
			p.shareLoads()
		}
	}
	return p.result
}

func (p *releasePlay) begin() {
	const mean, deviation, maxEvents = 235, 0.8, 600
	events := min(max(mean*math.Exp(deviation*p.rng.NormFloat64()-deviation*deviation/2), 1), maxEvents)
	s := &releasedStream{host: p.hosts[p.rng.IntN(len(p.hosts))], begun: p.now, prompt: call.Prompt{Tokens: 3000, MaxOutputTokens: 4 * maxEvents}}
	target, reservation, ok := s.host.Acquire(p.view, gateway.PlacementRequest{Service: "llm", Prompt: s.prompt, Locality: gateway.PreferLocal})
	if !ok {
		return
	}
	p.result.begun++
	s.engine, s.version, s.reservation = target.ID, target.Version, reservation
	s.end = p.now + time.Duration(4*events)*releaseEventTime
	p.running = append(p.running, s)
}

func (s *releasedStream) tokens(now time.Duration) int {
	return s.prompt.Tokens + int((now-s.begun)/releaseEventTime)
}

func (p *releasePlay) advance() {
	used := map[string]int{}
	for _, s := range p.running {
		used[s.engine] += s.tokens(p.now)
	}
	p.running = slices.DeleteFunc(p.running, func(s *releasedStream) bool {
		e := p.engines[s.engine]
		switch {
		case p.now >= s.end:
		case e.entry.Leaving && p.now >= e.stopAt:
			p.result.lost++
		default:
			if e.entry.Leaving && s.end > e.stopAt && p.now >= s.moveAt {
				p.move(s, used)
			}
			return false
		}
		s.reservation.Release()
		return true
	})
	for id, e := range p.engines {
		if e.entry.Leaving && p.now >= e.stopAt {
			delete(p.engines, id)
			p.publish()
		}
	}
}

func (p *releasePlay) move(s *releasedStream, used map[string]int) {
	s.moveAt = p.now + 50*time.Millisecond
	if p.engines[s.engine].stopAt-p.now < releaseCopyTime {
		return
	}
	exclude := []string{s.engine}
	for range 3 {
		to, reservation, ok := s.host.Acquire(p.view, gateway.PlacementRequest{
			Service: "llm", Prompt: s.prompt, Origin: &streamorigin.Origin{Service: "llm", Version: s.version}, Locality: gateway.PreferDataCentre("dc-1"), Exclude: exclude,
		})
		if !ok {
			return
		}
		Expect(to.Version).To(Equal(s.version))
		if used[to.ID]+s.tokens(p.now) <= releaseMemory {
			s.reservation.Release()
			used[to.ID] += s.tokens(p.now)
			s.engine, s.reservation = to.ID, reservation
			p.result.moved++
			return
		}
		reservation.Release()
		exclude = append(exclude, to.ID)
	}
}

func (p *releasePlay) shareLoads() {
	for i, from := range p.hosts {
		for j, to := range p.hosts {
			if i != j {
				to.MergeLoads(fmt.Sprintf("host-%d", i), from.PendingLoads(fmt.Sprintf("host-%d", j)))
			}
		}
	}
}

var _ = Describe("hosts that play a release of their engines' software", func() {
	// Guards against generations that are lost although engines of their version remain.
	It("lose no generation while half of its engines remain", func() {
		for seed := range uint64(2) {
			p := newReleasePlay(seed, 9)
			got := p.run(3.4, p.replace(20*time.Second, 400*time.Millisecond, 5, "v1", "v2"))
			Expect(got.moved).To(BeNumerically(">", 0))
			Expect(got.lost).To(BeZero())
		}
	})
})

var _ = Describe("new generations", func() {
	// Guards against generations that begin at a version which leaves, and then find ever
	// fewer engines to move to.
	It("begin at a version that stays rather than at one that leaves", func() {
		same, sameEntries := startVersions("v1", 2)
		others, otherEntries := startVersions("v2", 2)
		leaving := startEngine("i-leaving", versionEvents, 5*time.Millisecond)
		gw := startGateway(append(append(sameEntries, otherEntries...), asLeaving(leaving.ofVersion("v1")))...)
		for i := range 8 {
			Expect(gw.do(gw.requestWithID(fmt.Sprintf("r-%d", i), "POST", "/report/")).err).NotTo(HaveOccurred())
		}
		Expect(runs(others...)).To(Equal(8))
		Expect(runs(same...)).To(BeZero())
	})

	// Guards against a preference that leaves no engine when every version has leaving ones.
	It("begin at any version if targets of all leave", func() {
		same, sameEntries := startVersions("v1", 2)
		others, otherEntries := startVersions("v2", 2)
		gw := startGateway(sameEntries[0], asLeaving(sameEntries[1]), otherEntries[0], asLeaving(otherEntries[1]))
		Expect(gw.do(gw.request("POST", "/report/")).err).NotTo(HaveOccurred())
		Expect(runs(same[0], others[0])).To(Equal(1))
	})
})
