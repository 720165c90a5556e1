package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/fleet"
	"filbertdeck/platform/standin"
)

const (
	crashHosts, crashEngines = 4, 14
	// crashPlayTime is the time in which callers send.
	crashPlayTime = 12 * time.Second
	// engineDownTime is the time from an engine's end to its return, entryTime that until
	// its entry is removed.
	engineDownTime, entryTime = 2 * time.Second, time.Second
	// crashDelay is the time from the arrival of a deadly request to its engine's end.
	crashDelay = 60 * time.Millisecond
	// soundPeriod is the time between two sound requests.
	soundPeriod = 60 * time.Millisecond
	// stableWindow is the time within which the hosts must know what crashes engines,
	// lateArrivals the number of arrivals at engines that is allowed after it.
	stableWindow = 3 * time.Second
	lateArrivals = 3
)

// request is what a caller sends: a body, and the parts of its prompt.
type crashRequest struct {
	body  string
	parts []string
}

// crashPlay is a fleet of hosts before engines that some requests crash.
type crashPlay struct {
	rng   *rand.Rand
	store *standin.Store
	// address is that of the store.
	address string
	hosts   []*host
	// kindOf returns the name of the kind of requests that crash engines to which a
	// request belongs; empty for a sound one.
	kindOf func(crashRequest) string

	// untouched holds the ids of the tries at hosts that had just started, which may know
	// less.
	untouched sync.Map

	mu       sync.Mutex
	started  int
	ends     map[string][]time.Time
	arrivals map[string][]time.Time
	engines  []*crashEngine

	sound, served, lateSound, lateServed atomic.Int64
}

// crashEngine is an engine that ends, with all its connections, when it runs a deadly
// request, and is back at its address after a while.
type crashEngine struct {
	play    *crashPlay
	address string

	mu     sync.Mutex
	id     string
	server *http.Server
}

func newCrashPlay(seed uint64, kindOf func(crashRequest) string) *crashPlay {
	return newCrashPlayOf(seed, crashEngines, kindOf)
}

// newCrashPlayOf returns a play with a number of engines.
func newCrashPlayOf(seed uint64, engines int, kindOf func(crashRequest) string) *crashPlay {
	p := &crashPlay{rng: rand.New(rand.NewPCG(seed, 50)), store: standin.New(), kindOf: kindOf, ends: map[string][]time.Time{}, arrivals: map[string][]time.Time{}}
	DeferCleanup(p.store.Close)
	p.store.PutRetriedStreamConfig(1, "llm", 2, "key-1")
	for range engines {
		address, err := fleet.FreeLoopbackAddress()
		Expect(err).NotTo(HaveOccurred())
		e := &crashEngine{play: p, address: address}
		e.start()
		p.engines = append(p.engines, e)
		DeferCleanup(e.stop)
	}
	p.address = serveStore(p.store)
	for range crashHosts {
		p.addHost(p.address)
	}
	return p
}

func (p *crashPlay) addHost(store string) {
	peers := make([]string, len(p.hosts))
	for i, h := range p.hosts {
		peers[i] = h.peerAddress
	}
	p.hosts = append(p.hosts, startHost(store, peers...))
	for _, h := range p.hosts {
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		Eventually(h.metricsText, stepTimeout).Should(MatchRegexp(`"gossip.hosts":\s*\{\s*"value":\s*%d\s*\}`, len(p.hosts)))
	}
}

func (e *crashEngine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return
	}
	e.play.mu.Lock()
	e.play.started++
	e.id = fmt.Sprintf("i-%d", e.play.started)
	e.play.mu.Unlock()
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.play.store.PutServer(e.id, "llm", e.address, "ready")
}

func (e *crashEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
	}
	e.server = nil
}

// crash ends the engine that has the given id, and has it start again later.
func (e *crashEngine) crash(id string) bool {
	e.mu.Lock()
	current := e.id == id && e.server != nil
	e.mu.Unlock()
	if !current {
		return false
	}
	e.stop()
	time.AfterFunc(entryTime, func() { e.play.store.RemoveServer(id) })
	time.AfterFunc(engineDownTime, e.start)
	return true
}

func (e *crashEngine) currentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// ServeHTTP serves streams of a few events.
func (e *crashEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method != http.MethodPost {
		return
	}
	id := e.currentID()
	request := crashRequest{body: string(body), parts: strings.Split(r.Header.Get(standin.HeaderPromptPrefix), ",")}
	if kind := e.play.kindOf(request); kind != "" {
		if _, untouched := e.play.untouched.Load(r.Header.Get(standin.HeaderRequestID)); !untouched {
			e.play.record(e.play.arrivals, kind)
		}
		time.Sleep(crashDelay)
		if e.crash(id) {
			e.play.record(e.play.ends, kind)
		}
		return
	}
	w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	w.Header().Set(standin.HeaderSeal, "s-"+id)
	for n := 1; n <= 3; n++ {
		select {
		case <-time.After(40 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		w.(http.Flusher).Flush()
	}
}

func (p *crashPlay) record(at map[string][]time.Time, kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at[kind] = append(at[kind], time.Now())
}

// try sends a request to a host and reports whether it was served whole.
func (h *host) try(id string, request crashRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.clientAddress+"/s/x", strings.NewReader(request.body))
	if err != nil {
		return false
	}
	req.Host, req.Close = "a.example", true
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "5000")
	req.Header.Set(standin.HeaderTokenUsage, "10,10")
	if len(request.parts) > 0 {
		req.Header.Set(standin.HeaderPromptPrefix, strings.Join(request.parts, ","))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), "id: 3\n")
}

// call sends a request at a random host, and once more at another one if it fails.
func (p *crashPlay) call(id string, request crashRequest) (atFirst bool) {
	p.mu.Lock()
	hosts := slices.Clone(p.hosts)
	p.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	p.mu.Unlock()
	for i, h := range hosts[:2] {
		tryID := fmt.Sprintf("%s-%d", id, i)
		if time.Since(h.startedAt) < settleTime {
			p.untouched.Store(tryID, true)
		}
		if h.try(tryID, request) {
			return i == 0
		}
	}
	return false
}

// replaceHost kills a host and starts another one.
func (p *crashPlay) replaceHost() {
	p.mu.Lock()
	i := p.rng.IntN(len(p.hosts))
	victim := p.hosts[i]
	p.hosts = slices.Delete(slices.Clone(p.hosts), i, i+1)
	peers := []string{p.hosts[0].peerAddress, p.hosts[1].peerAddress}
	p.mu.Unlock()
	Expect(victim.cmd.Process.Kill()).To(Succeed())
	h := startHost(p.address, peers...)
	Eventually(h.isReady, stepTimeout).Should(BeTrue())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, h)
}

// every calls f in the background at intervals until the end of the play.
func (p *crashPlay) every(period time.Duration, calls *sync.WaitGroup, f func(n int)) {
	calls.Add(1)
	go func() {
		defer calls.Done()
		end := time.Now().Add(crashPlayTime)
		for n := 0; time.Now().Before(end); n++ {
			calls.Add(1)
			go func() { defer calls.Done(); f(n) }()
			time.Sleep(period)
		}
	}()
}

// sendSound sends sound requests, and counts those of the second half of the play apart.
func (p *crashPlay) sendSound(calls *sync.WaitGroup, make func(n int) crashRequest) {
	half := time.Now().Add(crashPlayTime / 2)
	p.every(soundPeriod, calls, func(n int) {
		late := time.Now().After(half)
		ok := p.call("sound-"+strconv.Itoa(n), make(n))
		for _, c := range []struct {
			counts bool
			n      *atomic.Int64
		}{{true, &p.sound}, {ok, &p.served}, {late, &p.lateSound}, {late && ok, &p.lateServed}} {
			if c.counts {
				c.n.Add(1)
			}
		}
	})
}

// late returns, for each kind, the arrivals later than stableWindow after the given crash.
func (p *crashPlay) late(crash int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := map[string]int{}
	for kind, ends := range p.ends {
		slices.SortFunc(ends, time.Time.Compare)
		for _, at := range p.arrivals[kind] {
			if len(ends) >= crash && at.After(ends[crash-1].Add(stableWindow)) {
				late[kind]++
			}
		}
	}
	return late
}

// report writes what the play gave to the spec's output.
func (p *crashPlay) report(crash int) {
	ended := map[string]int{}
	for kind, ends := range p.ends {
		ended[kind] = len(ends)
	}
	AddReportEntry("play", fmt.Sprintf("ended %v, late %v, sound served at first %d of %d, in the second half %d of %d",
		ended, p.late(crash), p.served.Load(), p.sound.Load(), p.lateServed.Load(), p.lateSound.Load()))
	for _, h := range p.hosts {
		for line := range strings.Lines(h.logText()) {
			if strings.Contains(line, "crash") {
				GinkgoWriter.Print(line)
			}
		}
	}
}

// crashSoak plays a mix, drawn from a seed, of requests and parts that crash engines, ends of
// engines for other reasons and hosts that are replaced.
func crashSoak(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 51))
	p := newCrashPlay(seed, byBodyOrPart)
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	var calls sync.WaitGroup
	p.sendSound(&calls, soundWithParts)
	var kinds []string
	for i := range 1 + rng.IntN(3) {
		period := between(300*time.Millisecond, 900*time.Millisecond)
		deadly := func(int) crashRequest {
			return crashRequest{body: "deadly " + strconv.Itoa(i), parts: []string{"system:79", "template:300", "own:50"}}
		}
		if rng.IntN(2) == 0 {
			before := rng.IntN(3)
			deadly = func(n int) crashRequest {
				parts := slices.Insert([]string{"system:79", "template:300"}, before, deadlyParts[i])
				return crashRequest{body: fmt.Sprintf("request %d %d", i, n), parts: append(parts, ownPart("d"+strconv.Itoa(i), n))}
			}
		}
		kinds = append(kinds, p.kindOf(deadly(0)))
		p.every(period, &calls, func(n int) { p.call(fmt.Sprintf("deadly-%d-%d", i, n), deadly(n)) })
	}
	if rng.IntN(2) == 0 {
		p.every(between(500*time.Millisecond, 2*time.Second), &calls, func(int) { p.endSomeEngine() })
	}
	for range rng.IntN(3) {
		time.Sleep(between(time.Second, 4*time.Second))
		p.replaceHost()
	}
	calls.Wait()
	p.report(3)
	for _, kind := range kinds {
		crash := 3
		if !strings.HasPrefix(kind, "deadly") {
			crash = 5
		}
		Expect(p.late(crash)[kind]).To(BeNumerically("<=", lateArrivals), kind)
	}
	Expect(float64(p.lateServed.Load())).To(BeNumerically(">=", 0.5*float64(p.lateSound.Load())), "sound requests in the second half")
}

// endSomeEngine ends an engine for another reason than a request.
func (p *crashPlay) endSomeEngine() {
	p.mu.Lock()
	e := p.engines[p.rng.IntN(len(p.engines))]
	p.mu.Unlock()
	e.crash(e.currentID())
}

// expectRefusedInTime checks that requests were refused in time after a crash, and that sound ones
// were served at the first try.
func (p *crashPlay) expectRefusedInTime(crash int) {
	p.report(crash)
	for kind, late := range p.late(crash) {
		Expect(late).To(BeNumerically("<=", lateArrivals), kind)
	}
	Expect(float64(p.lateServed.Load())).To(BeNumerically(">=", 0.9*float64(p.lateSound.Load())), "sound requests in the second half")
}

// deadlyParts are the parts of prompts that crash engines.
var deadlyParts = []string{"dead0:200", "dead1:200", "dead2:200"}

// byBody returns the body of a request that crashes engines, whatever its parts.
func byBody(r crashRequest) string {
	if strings.HasPrefix(r.body, "deadly") {
		return r.body
	}
	return ""
}

func byBodyOrPart(r crashRequest) string { return cmp.Or(byBody(r), byPart(r)) }

// ownPart returns the last part of a prompt, which no other one has.
func ownPart(kind string, n int) string { return fmt.Sprintf("own-%s-%d:50", kind, n) }

// soundWithParts returns a sound request that shares its other parts with those that have a
// deadly one.
func soundWithParts(n int) crashRequest {
	return crashRequest{body: "sound " + strconv.Itoa(n), parts: []string{"system:79", "template:300", ownPart("s", n)}}
}

// byPart returns the first deadly part of a request's prompt, its last part aside.
func byPart(r crashRequest) string {
	for _, part := range r.parts[:max(len(r.parts)-1, 0)] {
		if slices.Contains(deadlyParts, part) {
			return part
		}
	}
	return ""
}

var _ = Describe("gateway processes before engines that parts of prompts crash", func() {
	// Guards against requests with one deadly part, no two alike, that each crash engines of their own.
	DescribeTable("refuse the requests with them, and no sound ones that share the other parts", func(seed int, prompts ...[]string) {
		p := newCrashPlay(uint64(seed), byPart)
		var calls sync.WaitGroup
		p.sendSound(&calls, soundWithParts)
		for i, prompt := range prompts {
			p.every(500*time.Millisecond, &calls, func(n int) {
				parts := slices.Concat(prompt, []string{ownPart("d"+strconv.Itoa(i), n)})
				p.call(fmt.Sprintf("deadly-%d-%d", i, n), crashRequest{body: fmt.Sprintf("request %d %d", i, n), parts: parts})
			})
		}
		calls.Wait()
		p.expectRefusedInTime(5)
	},
		Entry("the first part", 3, []string{deadlyParts[0], "template:300"}),
		Entry("the second part", 4, []string{"system:79", deadlyParts[0]}),
		Entry("the second part of three", 5, []string{"system:79", deadlyParts[0], "template:300"}),
		Entry("two parts at the same time", 6, []string{"system:79", deadlyParts[0]}, []string{"system:79", deadlyParts[1]}),
	)
})

var _ = Describe("gateway processes before engines that requests crash", func() {
	soundBody := func(n int) crashRequest { return crashRequest{body: "sound " + strconv.Itoa(n)} }

	// Guards against requests that hide behind each other's crashes.
	It("refuse each of several requests that crash engines at the same time", func() {
		p := newCrashPlay(1, byBody)
		var calls sync.WaitGroup
		for i := range 3 {
			p.every(700*time.Millisecond, &calls, func(n int) {
				p.call(fmt.Sprintf("deadly-%d-%d", i, n), crashRequest{body: "deadly " + strconv.Itoa(i)})
			})
		}
		p.sendSound(&calls, soundBody)
		calls.Wait()
		p.expectRefusedInTime(3)
	})

	// Guards against a request that ends all engines of a small service together, each time that they are back.
	It("refuse a request that several callers send at once to a service of three engines", func() {
		p := newCrashPlayOf(3, 3, byBody)
		var calls sync.WaitGroup
		p.every(200*time.Millisecond, &calls, func(n int) {
			for caller := range 4 {
				calls.Go(func() { p.call(fmt.Sprintf("deadly-%d-%d", n, caller), crashRequest{body: "deadly"}) })
			}
		})
		calls.Wait()
		p.report(3)
		Expect(p.late(3)["deadly"]).To(BeNumerically("<=", lateArrivals))
	})

	// Guards against a request that hides behind the ends of engines for other reasons.
	It("refuse a request that crashes engines while others end for other reasons", func() {
		p := newCrashPlay(2, byBody)
		var calls sync.WaitGroup
		p.every(400*time.Millisecond, &calls, func(n int) {
			p.call(fmt.Sprintf("deadly-%d", n), crashRequest{body: "deadly"})
		})
		p.every(700*time.Millisecond, &calls, func(int) { p.endSomeEngine() })
		p.sendSound(&calls, soundBody)
		calls.Wait()
		p.expectRefusedInTime(3)
	})
})

var _ = Describe("gateway processes in a mix of requests that crash engines and kills", func() {
	for _, seed := range soakSeeds() {
		// Guards against evidence that is lost, late or false when requests, parts, other ends and replaced hosts come together.
		It(fmt.Sprintf("refuse what crashes engines and nothing else, seed %d", seed), func() { crashSoak(seed) })
	}
})
