package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

const (
	playEvents        = 60
	playEventInterval = 20 * time.Millisecond
	playCopyTime      = 100 * time.Millisecond
	// playCountVariable names the environment variable with the number of plays.
	playCountVariable = "FILBERT_SWITCH_PLAYS"
	defaultPlayCount  = 84
	playsAtOnce       = 21
)

// switchPlay is a generation that moves off an engine which stops, to one whose first answer is
// drawn at random.
type switchPlay struct {
	kind string
	// header and event are the times from the first request to go on until the header and the
	// first event of its answer; with end, that follows the header in place of an event.
	header, event time.Duration
	end           string
	// notice is the time that the leaving engine announces, and error how much later it stops.
	notice, error time.Duration

	gw       *fixture
	old, new *fakeTarget
	// sent counts the events that the leaving engine sent, resumes the requests to go on.
	sent, resumes atomic.Int64
	// stopsAt is the announced stop in Unix milliseconds, stopped is closed at the stop.
	stopsAt atomic.Int64
	stopped chan struct{}

	mu sync.Mutex
	// asked is when the first request to go on arrived, released when one of the two engines
	// no longer worked on the generation.
	asked, released time.Time
	// oldBroke is set if the leaving engine broke the stream off.
	oldBroke bool

	// body and err are the answer and its end, pause is the longest pause in it.
	body  string
	err   error
	pause time.Duration
}

func drawSwitchPlay(rng *rand.Rand) *switchPlay {
	between := func(low, high int) time.Duration { return time.Duration(low+rng.IntN(high-low)) * time.Millisecond }
	p := &switchPlay{notice: between(300, 1200), error: between(-100, 100), stopped: make(chan struct{})}
	switch rng.IntN(7) {
	case 0:
		p.kind, p.header = "prompt", between(5, 200)
		p.event = p.header
	case 1, 2:
		p.kind, p.header = "at the limit", gateway.SwitchTimeout+between(-8, 8)
		p.event = p.header
	case 3:
		p.kind, p.header = "late", gateway.SwitchTimeout+between(20, 300)
		p.event = p.header
	case 4:
		p.kind, p.header = "event after header", between(5, 150)
		p.event = p.header + between(5, 120)
	case 5:
		p.kind, p.header, p.end = "breaks off", between(5, 150), "break"
	default:
		p.kind, p.header, p.end = "silent", between(5, 150), "silence"
	}
	return p
}

// release records that one of the two engines no longer works on the generation.
func (p *switchPlay) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released.IsZero() && !p.asked.IsZero() {
		p.released = time.Now()
	}
}

// bothAtWork returns how long the two engines worked on the generation; 0 unless both did. The
// end of a connection may still be noticed after the play.
func (p *switchPlay) bothAtWork() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked.IsZero() || p.released.IsZero() {
		return 0
	}
	return p.released.Sub(p.asked)
}

// watchClose calls onClose and closes the channel when the peer has closed a connection.
func watchClose(conn net.Conn, onClose func()) chan struct{} {
	closed := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, conn); onClose(); close(closed) }()
	return closed
}

func writeEvent(conn net.Conn, n int) bool {
	text := event(n)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

var playHeader = respond("HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s-1\nTransfer-Encoding: chunked\n\n")

// serveOld is the leaving engine.
func (p *switchPlay) serveOld(conn net.Conn, r *http.Request) {
	switch r.URL.Path {
	case standin.PathMove:
		select {
		case <-p.stopped:
			return
		case <-time.After(playCopyTime):
		}
		answer := standin.MoveResponse("h-1", p.sent.Load())
		respond(fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(answer), answer))(conn, r)
	case healthPath:
		respond("HTTP/1.1 200 OK\nContent-Length: 0\n\n")(conn, r)
	case standin.PathReport:
		report := fmt.Sprintf(`{"born":0,"leaves_ms":%d}`, max(p.stopsAt.Load()-time.Now().UnixMilli(), 1))
		respond(fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(report), report))(conn, r)
	default:
		playHeader(conn, r)
		closed := watchClose(conn, p.release)
		for n := 1; n <= playEvents; n++ {
			select {
			case <-closed:
				return
			case <-p.stopped:
				p.release()
				p.mu.Lock()
				p.oldBroke = true
				p.mu.Unlock()
				return
			case <-time.After(playEventInterval):
			}
			if !writeEvent(conn, n) {
				return
			}
			p.sent.Store(int64(n))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		p.release()
	}
}

// serveNew is the engine that goes on.
func (p *switchPlay) serveNew(conn net.Conn, r *http.Request) {
	if r.Header.Get(standin.HeaderKVFrom) == "" {
		respond("HTTP/1.1 200 OK\nContent-Length: 0\n\n")(conn, r)
		return
	}
	arrived, header, first, end, released := time.Now(), 10*time.Millisecond, 10*time.Millisecond, "", func() {}
	if p.resumes.Add(1) == 1 {
		p.mu.Lock()
		p.asked = arrived
		p.mu.Unlock()
		header, first, end, released = p.header, p.event, p.end, p.release
	}
	closed := watchClose(conn, released)
	wait := func(until time.Duration) bool {
		select {
		case <-closed:
			return false
		case <-time.After(time.Until(arrived.Add(until))):
			return true
		}
	}
	if !wait(header) {
		return
	}
	playHeader(conn, r)
	switch end {
	case "break":
		released()
		return
	case "silence":
		<-closed
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
	if !wait(first) {
		return
	}
	for n := from + 1; n <= playEvents; n++ {
		if !writeEvent(conn, n) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// prepare starts the engines and the gateway.
func (p *switchPlay) prepare() {
	p.old, p.new = startTarget("i-1", p.serveOld), startTarget("i-2", p.serveNew)
	p.gw = startGateway(p.old.directoryEntry("llm", "dc-1"))
}

// run plays the generation.
func (p *switchPlay) run() {
	done := make(chan struct{})
	go func() { defer close(done); p.err = p.read() }()
	for p.sent.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	p.stopsAt.Store(time.Now().Add(p.notice).UnixMilli())
	time.AfterFunc(p.notice+p.error, func() { p.old.close(); close(p.stopped) })
	p.gw.publish(asLeaving(p.old.directoryEntry("llm", "dc-1")), p.new.directoryEntry("llm", "dc-1"))
	<-done
}

// read reads the answer and returns why it broke off.
func (p *switchPlay) read() error {
	resp, err := p.gw.client.Do(p.gw.request("POST", "/report/"))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 4<<10)
	for last := time.Now(); ; last = time.Now() {
		n, err := resp.Body.Read(buf)
		if p.body != "" && n > 0 {
			p.pause = max(p.pause, time.Since(last))
		}
		p.body += string(buf[:n])
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

func (p *switchPlay) whole() bool { return p.err == nil && p.body == eventStream(playEvents) }

// switchOutcome counts the plays of one kind.
type switchOutcome struct {
	count, lost int
	pauses      []time.Duration
	bothAtWork  time.Duration
}

func (o *switchOutcome) add(p *switchPlay) {
	o.count++
	if !p.whole() {
		o.lost++
	}
	o.pauses = append(o.pauses, p.pause)
	o.bothAtWork = max(o.bothAtWork, p.bothAtWork())
}

func (o *switchOutcome) String() string {
	slices.Sort(o.pauses)
	at := func(percent int) time.Duration {
		return o.pauses[(len(o.pauses)-1)*percent/100].Round(time.Millisecond)
	}
	return fmt.Sprintf("lost %d of %d, longest pause median %s, 95 in 100 %s, both at work at most %s", o.lost, o.count, at(50), at(95), o.bothAtWork.Round(time.Millisecond))
}

// runSwitchPlays plays moves, some at the same time.
func runSwitchPlays(seed uint64, count int) []*switchPlay {
	rng := rand.New(rand.NewPCG(seed, 0))
	plays := make([]*switchPlay, count)
	for i := range plays {
		plays[i] = drawSwitchPlay(rng)
		plays[i].prepare()
	}
	slots := make(chan struct{}, playsAtOnce)
	var running sync.WaitGroup
	for _, p := range plays {
		slots <- struct{}{}
		running.Go(func() { p.run(); <-slots })
	}
	running.Wait()
	return plays
}

var _ = Describe("moves off engines that stop, to engines that answer in all ways", func() {
	// Guards against answers that are cut off by this host, or that end as if complete.
	It("lose an answer only if an engine breaks it off, or its time is over", func() {
		outcomes := map[string]*switchOutcome{}
		for i, p := range runSwitchPlays(1, playCount()) {
			if outcomes[p.kind] == nil {
				outcomes[p.kind] = &switchOutcome{}
			}
			outcomes[p.kind].add(p)
			if !p.whole() {
				Expect(p.err).To(HaveOccurred(), "play %d, %s: an incomplete answer looks complete", i, p.kind)
				Expect(p.oldBroke || p.end == "silence").To(BeTrue(), "play %d, %s: lost", i, p.kind)
			}
		}
		for kind, outcome := range outcomes {
			AddReportEntry(kind, outcome.String())
		}
	})
})

// playCount returns the number of plays.
func playCount() int {
	if text, set := os.LookupEnv(playCountVariable); set {
		count, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred())
		return count
	}
	return defaultPlayCount
}
