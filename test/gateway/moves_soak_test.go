package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

const (
	movesHosts = 4
	// movesEngines is the number of engines of each service, movesKept that of those that stay.
	movesEngines, movesKept = 6, 3
	// movesDuration is how long streams begin.
	movesDuration = 15 * time.Second
	// Mean times between two streams, departures, changes of the configuration and signals.
	streamInterval, departureInterval, changeInterval, signalInterval = 30 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second
	// maxBothWork is how long two engines may work on a generation.
	maxBothWork = 400 * time.Millisecond
	// deadlineMargin is how much earlier than its timeout the gateway ends a request.
	deadlineMargin = 10 * time.Millisecond
)

var movesServices = []string{"chat", "code"}

// movesRoutes are the routes with their shortest timeouts.
var movesRoutes = []standin.EngineRoute{
	{Prefix: "/s/", Timeout: 25 * time.Second, MaxAttempts: 1},
	{Prefix: "/r/", Timeout: 25 * time.Second, MaxAttempts: 3, Resumable: true},
	{Prefix: "/t/", Timeout: 1500 * time.Millisecond, MaxAttempts: 1},
}

// movesSoak has generations moved off engines that leave beside changes of the configuration.
type movesSoak struct {
	fleet   *movingFleet
	store   *standin.Store
	hosts   []*host
	client  *http.Client
	version int
	streams []*movedStream
	tasks   sync.WaitGroup

	mu sync.Mutex
	// staying holds the engines of each service that have not announced that they leave.
	staying map[string][]*movingEngine
	started int
}

// later runs a task after d.
func (s *movesSoak) later(d time.Duration, task func()) {
	s.tasks.Add(1)
	time.AfterFunc(d, func() {
		defer s.tasks.Done()
		defer GinkgoRecover()
		task()
	})
}

// repeat runs a task at random times while streams begin.
func (s *movesSoak) repeat(name string, mean time.Duration, task func(*rand.Rand)) {
	rng, begun := s.fleet.draw(name), time.Now()
	s.later(0, func() {
		for time.Since(begun) < movesDuration {
			time.Sleep(time.Duration(rng.Float64() * 2 * float64(mean)))
			task(rng)
		}
	})
}

func (s *movesSoak) addEngine(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	e := s.fleet.start(fmt.Sprintf("i-%d", s.started), service)
	s.staying[service] = append(s.staying[service], e)
	s.publish(e, "ready")
}

func (s *movesSoak) publish(e *movingEngine, state string) {
	s.store.PutServerVersion(e.id, e.service, hostPort(e.Server), state, "v1", e.born)
}

// depart has an engine of a service, or now and then a third of them, leave and be replaced.
func (s *movesSoak) depart(rng *rand.Rand) {
	service, count := movesServices[rng.IntN(len(movesServices))], 1
	if rng.IntN(8) == 0 {
		count = movesEngines / 3
	}
	for range count {
		i, silent := rng.IntN(movesEngines), rng.IntN(3) == 0
		notice, replaced := time.Duration(1500+rng.IntN(1000))*time.Millisecond, time.Duration(rng.IntN(800))*time.Millisecond
		e := s.takeEngine(service, i)
		if e == nil {
			return
		}
		e.announce(notice)
		if silent {
			s.store.RemoveServer(e.id)
		} else {
			s.publish(e, "draining")
		}
		s.later(notice, func() { e.stop(); s.store.RemoveServer(e.id) })
		s.later(replaced, func() { s.addEngine(service) })
	}
}

// takeEngine returns an engine that is going to leave; nil when too few are left.
func (s *movesSoak) takeEngine(service string, i int) *movingEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	staying := s.staying[service]
	if len(staying) <= movesKept {
		return nil
	}
	i %= len(staying)
	s.staying[service] = append(staying[:i:i], staying[i+1:]...)
	return staying[i]
}

// change publishes a configuration with other weights, timeouts, idle limits and keys, and
// without one of the routes now and then.
func (s *movesSoak) change(rng *rand.Rand) {
	s.version++
	c := standin.EngineConfig{
		Version: s.version, Services: map[string]bool{"chat": false, "code": true}, Keys: []string{"key-0", "key-1"}[:1+rng.IntN(2)],
		IdleTimeout: time.Duration(2+rng.IntN(10)) * time.Second,
	}
	dropped := rng.IntN(2 * len(movesRoutes))
	for i, route := range movesRoutes {
		route.Weights = map[string]int{"chat": 1 + rng.IntN(3), "code": 1 + rng.IntN(3)}
		route.Timeout *= time.Duration(1 + rng.IntN(2))
		if i != dropped || s.version == 1 {
			c.Routes = append(c.Routes, route)
		}
	}
	s.store.PutEngineConfig(c)
}

// signal tells a host that its settings may have changed.
func (s *movesSoak) signal(rng *rand.Rand) {
	Expect(s.hosts[rng.IntN(len(s.hosts))].cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
}

// movedStream is what a caller got of one stream.
type movedStream struct {
	id                        string
	route                     standin.EngineRoute
	host                      *host
	status, events, maxEvents int
	err                       error
	took                      time.Duration
	// disorder describes the first event out of order, "" if there is none.
	disorder string
}

// begin begins a stream: four of six on the first route, one of eight with the key that changes
// add and take away.
func (s *movesSoak) begin(rng *rand.Rand) {
	t := &movedStream{id: fmt.Sprintf("g-%d", len(s.streams)), host: s.hosts[rng.IntN(len(s.hosts))], maxEvents: 40 + rng.IntN(120)}
	t.route = movesRoutes[max(rng.IntN(6)-3, 0)]
	key, prompt := fmt.Sprintf("key-%d", rng.IntN(8)/7), 200+rng.IntN(2500)
	s.streams = append(s.streams, t)
	s.later(0, func() { t.play(s.client, key, prompt) })
}

// play sends the request and reads the answer to its end.
func (t *movedStream) play(client *http.Client, key string, prompt int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+t.host.clientAddress+t.route.Prefix+"x", strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(standin.HeaderRequestID, t.id)
	req.Header.Set(standin.HeaderDeadline, "60000")
	req.Header.Set(standin.HeaderTokenUsage, fmt.Sprintf("%d,%d", prompt, t.maxEvents))
	begun := time.Now()
	defer func() { t.took = time.Since(begun) }()
	resp, err := client.Do(req)
	if t.err = err; err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		id, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		if t.events++; id != strconv.Itoa(t.events) && t.disorder == "" {
			t.disorder = fmt.Sprintf("event %s in place %d", id, t.events)
		}
	}
	t.err = lines.Err()
	if t.err == nil && t.status == http.StatusOK && t.events != t.maxEvents && t.disorder == "" {
		t.disorder = "complete without its last event"
	}
}

// describe returns what is known of a stream, with the log lines of its host.
func (t *movedStream) describe(what string, runs []*movingRun) string {
	text := fmt.Sprintf("%s: %s%s, status %d, %d of %d events in %s, %v\n", what, t.route.Prefix, t.id, t.status, t.events, t.maxEvents, t.took, t.err)
	for _, r := range runs {
		text += "  " + r.String() + "\n"
	}
	for line := range strings.Lines(t.host.logText()) {
		if strings.Contains(line, `"request":"`+t.id+`"`) {
			text += "  " + line
		}
	}
	return text
}

// movesVerdict is what a run has shown.
type movesVerdict struct {
	statuses                              map[int]int
	whole, brokenByEngine, timedOut, lost int
	longestBoth                           time.Duration
	// violations describe the streams that broke a rule.
	violations []string
}

func (s *movesSoak) judge() *movesVerdict {
	v := &movesVerdict{statuses: map[int]int{}}
	for _, t := range s.streams {
		v.statuses[t.status]++
		v.addAnswer(t, s.fleet.runs[t.id])
		v.addRuns(t, s.fleet.runs[t.id])
	}
	for handle, engines := range s.fleet.offers {
		if len(engines) > 1 {
			v.violations = append(v.violations, fmt.Sprintf("copy %s was offered to %d engines", handle, len(engines)))
		}
	}
	return v
}

// addAnswer judges what a caller got.
func (v *movesVerdict) addAnswer(t *movedStream, runs []*movingRun) {
	last := &movingRun{}
	for _, r := range runs {
		if r.ended.After(last.ended) {
			last = r
		}
	}
	switch {
	case t.disorder != "":
		v.violations = append(v.violations, t.describe(t.disorder, runs))
	case t.status != http.StatusOK:
	case t.err == nil:
		v.whole++
	case t.took >= t.route.Timeout-deadlineMargin:
		v.timedOut++
	case last.end == runExited:
		v.brokenByEngine++
		GinkgoWriter.Println(t.describe("broken off by its engine", runs))
	default:
		v.lost++
		v.violations = append(v.violations, t.describe("broken off by the gateway", runs))
	}
}

// addRuns judges what the engines did.
func (v *movesVerdict) addRuns(t *movedStream, runs []*movingRun) {
	begun := 0
	for i, r := range runs {
		if r.from == "" && r.events > 0 {
			begun++
		}
		for _, other := range runs[:i] {
			both := min(r.ended.Sub(other.started), other.ended.Sub(r.started), r.ended.Sub(r.started), other.ended.Sub(other.started))
			v.longestBoth = max(v.longestBoth, both)
			if both > maxBothWork {
				v.violations = append(v.violations, t.describe("at two engines for "+both.String(), runs))
			}
		}
	}
	if begun > 1 && !t.route.Resumable {
		v.violations = append(v.violations, t.describe("begun twice", runs))
	}
}

// report prints the figures of a run.
func (s *movesSoak) report(v *movesVerdict) {
	GinkgoWriter.Printf("seed %d: %d streams, statuses %v, %d whole, %d broken off by engines, %d by timeouts, %d lost; %d moves asked, %d changes, %d engines, longest at two engines %s\n",
		s.fleet.seed, len(s.streams), v.statuses, v.whole, v.brokenByEngine, v.timedOut, v.lost, s.fleet.asked, s.version, s.started, v.longestBoth)
	for i, h := range s.hosts {
		var m map[string]map[string]float64
		Expect(json.Unmarshal([]byte(h.metricsText()), &m)).To(Succeed())
		header, event := m["gateway.switch_header_us"], m["gateway.switch_first_event_us"]
		GinkgoWriter.Printf("  host %d: switched %v to a copy, %v to a backup, %v after a loss; %v switches failed, %v timed out; header median %v longest %v us, first event %v and %v us\n",
			i, m["gateway.moved.copy"]["count"], m["gateway.moved.backup"]["count"], m["gateway.moved.after_loss"]["count"],
			m["gateway.switches_failed"]["count"], m["gateway.switches_timed_out"]["count"], header["median"], header["max"], event["median"], event["max"])
	}
	GinkgoWriter.Println(strings.Join(v.violations, "\n"))
}

func startMovesSoak(seed uint64) *movesSoak {
	s := &movesSoak{store: standin.New(), staying: map[string][]*movingEngine{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	s.fleet = &movingFleet{seed: seed, engines: map[string]*movingEngine{}, runs: map[string][]*movingRun{}, offers: map[string]map[string]bool{}}
	DeferCleanup(func() {
		s.store.Close()
		for _, e := range s.fleet.engines {
			e.stop()
		}
	})
	s.change(s.fleet.draw("first change"))
	for range movesEngines {
		for _, service := range movesServices {
			s.addEngine(service)
		}
	}
	address, peers := serveStore(s.store), []string(nil)
	for range movesHosts {
		h := startHost(address, peers...)
		s.hosts, peers = append(s.hosts, h), append(peers, h.peerAddress)
	}
	for _, h := range s.hosts {
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
	}
	return s
}

var _ = Describe("gateway processes that move generations beside changes of the configuration", func() {
	for _, seed := range soakSeeds() {
		// Guards against accepted streams that end without their engine having broken them off,
		// events out of order, and generations at two engines, when engines leave while the
		// configuration changes.
		It(fmt.Sprintf("end no accepted stream that its engine has not broken off, seed %d", seed), func() {
			s := startMovesSoak(seed)
			s.repeat("streams", streamInterval, s.begin)
			s.repeat("departures", departureInterval, s.depart)
			s.repeat("changes", changeInterval, s.change)
			s.repeat("signals", signalInterval, s.signal)
			s.tasks.Wait()
			Eventually(s.fleet.isIdle, stepTimeout).Should(BeTrue())
			v := s.judge()
			s.report(v)
			Expect(v.violations).To(BeEmpty())
			Expect(v.whole).To(BeNumerically(">", len(s.streams)/3))
		})
	}
})
