package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
)

// changed returns a copy of a configuration with a change.
func changed(cfg *directory.Config, version uint64, change func(*directory.Config)) *directory.Config {
	next := *cfg
	next.Version = version
	next.Routes = append([]directory.Route(nil), cfg.Routes...)
	next.Services = nil
	for _, s := range cfg.Services {
		if s.Engine != nil {
			e := *s.Engine
			s.Engine = &e
		}
		next.Services = append(next.Services, s)
	}
	next.Accounts = append([]directory.Account(nil), cfg.Accounts...)
	change(&next)
	return &next
}

// publishConfig publishes a configuration with drained data centres and targets.
func (gw *fixture) publishConfig(cfg *directory.Config, drained []string, targets ...*directory.ObservedTarget) {
	byID := map[string]*directory.ObservedTarget{}
	for _, t := range targets {
		byID[t.ID] = t
	}
	gw.views.Publish(directory.NewView(1, cfg, byID, drained))
}

// configChanges are changes of everything in the configuration that a running generation uses.
var configChanges = []struct {
	name   string
	change func(*directory.Config)
}{
	{"all routes are dropped", func(c *directory.Config) { c.Routes = nil }},
	{"the routes' timeouts are shortened", func(c *directory.Config) {
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].MaxEventGap = time.Millisecond, time.Millisecond
		}
	}},
	{"the routes lead to another service", func(c *directory.Config) {
		for i := range c.Routes {
			c.Routes[i].Backends = []directory.Backend{{Service: "app", Weight: 1}, {Service: "llm", Weight: 0}}
		}
	}},
	{"the routes allow no attempt", func(c *directory.Config) {
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = 0
		}
	}},
	{"the routes have another kind", func(c *directory.Config) {
		for i := range c.Routes {
			c.Routes[i].Kind = directory.AtMostOnce
		}
	}},
	{"the key is taken away", func(c *directory.Config) { c.Accounts = []directory.Account{{Name: "other", Keys: []string{"key-9"}}} }},
	{"all accounts are dropped", func(c *directory.Config) { c.Accounts = []directory.Account{} }},
	{"the services are removed", func(c *directory.Config) { c.Services = nil }},
	{"the service has no engines any more", func(c *directory.Config) { c.Services[1].Engine = nil }},
	{"the engines no longer move generations", func(c *directory.Config) { c.Services[1].Engine.CanMigrate = false }},
	{"the engines no longer keep backups", func(c *directory.Config) { c.Services[1].Engine.KeepsBackups = false }},
	{"the engines keep copies for a short time", func(c *directory.Config) { c.Services[1].Engine.CopyTTL = time.Nanosecond }},
	{"the engines have no slots and no memory", func(c *directory.Config) {
		c.Services[1].Engine = &directory.Engine{CanMigrate: true, KeepsBackups: true}
	}},
	{"the limits are tiny", func(c *directory.Config) {
		c.Limits = directory.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond}
	}},
}

var _ = Describe("a generation during changes of the configuration", func() {
	const events = 30

	// Guards against streams that end because the configuration changes.
	It("goes on where it is", func() {
		first := startEngine("i-1", 2*events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		for i, c := range configChanges {
			Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2*i))
			gw.publishConfig(changed(gw.cfg, uint64(i+2), c.change), []string{"dc-1"}, first.directoryEntry("llm", "dc-1"))
		}
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(2 * events)))
	})

	// Guards against streams that are lost with their engine since the move uses the new
	// configuration.
	for _, c := range configChanges {
		It("moves when its engine leaves and "+c.name, func() {
			first, second := startEngine("i-1", events, 10*time.Millisecond), startEngine("i-2", events, time.Millisecond)
			gw := startGateway(first.directoryEntry("llm", "dc-1"))
			done := make(chan result, 1)
			go func() { done <- gw.do(gw.request("POST", "/report/")) }()
			Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
			gw.publishConfig(changed(gw.cfg, 2, c.change), nil, asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
			var got result
			Eventually(done, "5s").Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(eventStream(events)))
			Expect(second.generationRequests()).To(HaveLen(1))
		})
	}
})

// movePlay has generations run at engines of which some leave and come back all the time,
// while the configuration changes. The engines break nothing off.
type movePlay struct {
	gw      *fixture
	engines []*fakeEngine
	random  *rand.Rand
	version uint64
}

// playSlots is the number of slots of each engine in a play.
const playSlots = 100

func startMovePlay(seed uint64, engines, events int) *movePlay {
	p := &movePlay{gw: startGateway(), random: rand.New(rand.NewPCG(seed, 0)), version: 1}
	for i := range p.gw.cfg.Routes {
		p.gw.cfg.Routes[i].Timeout = time.Minute
	}
	p.gw.cfg.Services[1].Engine.Slots, p.gw.cfg.Services[1].Engine.MemoryTokens = playSlots, 1_000_000
	for i := range engines {
		e := startEngine(fmt.Sprint("i-", i), events, time.Duration(1+i%3)*time.Millisecond)
		e.copyDelay = time.Duration(p.random.IntN(10)) * time.Millisecond
		p.engines = append(p.engines, e)
	}
	p.publish(p.gw.cfg, nil, nil)
	return p
}

func (p *movePlay) publish(cfg *directory.Config, leaving map[int]bool, drained []string) {
	var entries []*directory.ObservedTarget
	for i, e := range p.engines {
		t := e.directoryEntry("llm", fmt.Sprint("dc-", i%2))
		t.Slots, t.Leaving = playSlots, leaving[i]
		entries = append(entries, t)
	}
	p.gw.publishConfig(cfg, drained, entries...)
}

// change has other engines leave, half of them, and often changes the configuration or drains
// a data centre.
func (p *movePlay) change() {
	leaving := map[int]bool{}
	for len(leaving) < len(p.engines)/2 {
		leaving[p.random.IntN(len(p.engines))] = true
	}
	cfg, drained := p.gw.cfg, []string(nil)
	if p.random.IntN(2) == 0 {
		p.version++
		cfg = changed(p.gw.cfg, p.version, configChanges[p.random.IntN(len(configChanges))].change)
	}
	if p.random.IntN(6) == 0 {
		drained = []string{"dc-1"}
	}
	p.publish(cfg, leaving, drained)
}

// changeUntil makes changes until a channel is closed.
func (p *movePlay) changeUntil(stop <-chan struct{}) {
	for {
		p.change()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(p.random.IntN(25)) * time.Millisecond):
		}
	}
}

// askUntilAccepted asks for a generation until it is accepted or its answer breaks off: some
// configurations have no route, no key or no engine for it.
func (p *movePlay) askUntilAccepted(id string) result {
	for {
		got := p.gw.do(p.gw.requestWithID(id, "POST", "/report/"))
		if got.err != nil || got.status == http.StatusOK {
			return got
		}
		time.Sleep(time.Millisecond)
	}
}

var _ = Describe("generations that move while the configuration changes", func() {
	// Guards against answers that break off, or that lose or repeat events, although no engine
	// has broken off a stream.
	DescribeTable("are answered whole", func(seed uint64) {
		const engines, callers, answers, events = 6, 24, 8, 30
		p := startMovePlay(seed, engines, events)
		results := make(chan result, callers*answers)
		var running sync.WaitGroup
		for caller := range callers {
			running.Go(func() {
				for n := range answers {
					results <- p.askUntilAccepted(fmt.Sprint("r-", caller, "-", n))
				}
			})
		}
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() { defer close(stopped); p.changeUntil(stop) }()
		running.Wait()
		close(stop)
		<-stopped
		close(results)
		for got := range results {
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(eventStream(events)))
		}
		p.publish(p.gw.cfg, nil, nil)
		for _, e := range p.engines {
			Eventually(func() int { return p.gw.loads.HostsUsing(e.id) }, "5s").Should(BeZero(), e.id)
		}
	}, Entry("with seed 3", uint64(3)), Entry("with seed 6", uint64(6)))

	// Guards against streams that are lost when an engine's switches are many and take long.
	It("are answered whole when an engine leaves that runs many", func() {
		const count, events = 30, 100
		p := startMovePlay(1, 4, events)
		only := map[int]bool{1: true, 2: true, 3: true}
		p.publish(p.gw.cfg, only, nil)
		done := make(chan result, count)
		for i := range count {
			go func() { done <- p.gw.do(p.gw.requestWithID(fmt.Sprint("r-", i), "POST", "/report/")) }()
		}
		Eventually(func() int { return len(p.engines[0].generationRequests()) }, "10s").Should(Equal(count))
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for n := 0; ; n++ {
				p.publish(changed(p.gw.cfg, uint64(n+2), configChanges[n%len(configChanges)].change), map[int]bool{0: true}, nil)
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		}()
		for range count {
			var got result
			Eventually(done, "20s").Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(eventStream(events)))
		}
		close(stop)
		<-stopped
	})
})
