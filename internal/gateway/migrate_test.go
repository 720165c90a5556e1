package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/platform/standin"
)

// event is the n-th event of every test's generation.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// wanted is the whole stream of so many events.
func wanted(events int) string {
	var all strings.Builder
	for n := 1; n <= events; n++ {
		all.WriteString(event(n))
	}
	return all.String()
}

// engine is a stand-in for a model engine that copies running generations.
type engine struct {
	*target
	events int
	// pace is the time between two events.
	pace time.Duration
	// made counts the events of the run, dropped is set once its caller closed
	// the connection.
	made, moves atomic.Int64
	dropped     atomic.Bool
	// refuseMoves makes it answer 503 to a move.
	refuseMoves atomic.Bool
	// refuseTo are the addresses that it can't copy to.
	refuseTo []string
	// ill makes it answer 503 when asked for its health, full says besides that
	// it has no place for the question.
	ill, full atomic.Bool
	// closes makes it close the connection of each answer, as it does when ill.
	closes atomic.Bool
	// reading is the time before a run's first sign, copying that of a move.
	reading, copying time.Duration
}

func startEngine(id string, events int, pace time.Duration) *engine {
	e := &engine{events: events, pace: pace}
	e.target = startTarget(id, e.serve)
	return e
}

func (e *engine) serve(conn net.Conn, r *http.Request) {
	switch r.URL.Path {
	case standin.PathMove:
		e.moves.Add(1)
		body, _ := io.ReadAll(r.Body)
		full := func(address string) bool { return strings.Contains(string(body), address) }
		if e.refuseMoves.Load() || slices.ContainsFunc(e.refuseTo, full) {
			say("HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n")(conn, r)
			return
		}
		time.Sleep(e.copying)
		answer := standin.MoveResponse("h-"+e.id, e.made.Load())
		say(fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n", len(answer)))(conn, r)
		_, _ = conn.Write(answer)
	case healthPath:
		e.health(conn, r)
	case standin.PathReport:
		say("HTTP/1.1 200 OK\nContent-Length: 2\n\n{}")(conn, r)
	default:
		e.generate(conn, r)
	}
}

func (e *engine) health(conn net.Conn, r *http.Request) {
	switch {
	case e.full.Load():
		say("HTTP/1.1 503 Service Unavailable\n"+standin.HeaderNotExecuted+": 1\nContent-Length: 0\n\n")(conn, r)
	case e.ill.Load():
		say("HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n")(conn, r)
	default:
		say("HTTP/1.1 200 OK\nContent-Length: 0\n\n")(conn, r)
	}
}

// generate makes the events behind Last-Event-Id until the caller leaves.
func (e *engine) generate(conn net.Conn, r *http.Request) {
	time.Sleep(e.reading)
	closing := ""
	if e.ill.Load() || e.closes.Load() {
		closing = "Connection: close\n"
	}
	say("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s-"+e.id+"\n"+closing+"Transfer-Encoding: chunked\n\n")(conn, r)
	from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		e.dropped.Store(true)
		close(gone)
	}()
	for n := from + 1; n <= e.events; n++ {
		select {
		case <-gone:
			return
		case <-time.After(e.pace):
		}
		text := event(n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		e.made.Store(int64(n))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

func leaving(t *directory.ObservedTarget) *directory.ObservedTarget {
	out := *t
	out.Leaving = true
	return &out
}

var _ = Describe("generations", func() {
	const events = 40

	// An engine is taken away with two seconds' notice while it makes a report
	// of half a minute. Without a move the technician's report breaks off; with
	// one that joins badly, a piece is missing or comes twice.
	It("go on at another engine when theirs leaves, with no event lost or doubled", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 5))
		d.publish(leaving(first.entry("llm", "dc-1")), second.entry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(wanted(events)))
		Expect(got.header.Get(seal)).To(Equal("s-i-1"))
		Expect(first.dropped.Load()).To(BeTrue())
		resumed := second.requests()[0]
		Expect(resumed.Header.Get(standin.HeaderKVFrom)).To(Equal(first.address + "/h-i-1"))
		Expect(resumed.Header.Get(requestID)).To(Equal("r-1"))
	})

	// The store is away, and an engine is taken away meanwhile. Nobody hears of
	// it but from the engine; reports would say so half a second late, and the
	// technician's report would die with the engine.
	It("go on elsewhere when their engine alone says that it leaves", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 2))
		d.publish(first.entry("llm", "dc-1"), second.entry("llm", "dc-1"))
		d.blind.Store(true)
		first.ill.Store(true)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(second.requests()).NotTo(BeEmpty())
	})

	// Guards against a notice that is heard only from the store: an engine that
	// leaves closes the connections of what it answers.
	It("go on elsewhere when another answer of their engine says that it may leave", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 2))
		first.ill.Store(true)
		other := d.request("POST", "/report/")
		other.Header.Set(requestID, "r-2")
		go d.do(other)
		Eventually(func() bool { return d.loads.Leaving("i-1") }, "5s").Should(BeTrue())
		d.publish(first.entry("llm", "dc-1"), second.entry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(second.requests()).NotTo(BeEmpty())
	})

	// Guards against engines that are taken for leaving by the connections that
	// any server closes now and then.
	It("stay at an engine that closes a connection and is well", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		first.closes.Store(true)
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 2))
		d.publish(first.entry("llm", "dc-1"), second.entry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(second.requests()).To(BeEmpty())
		Expect(first.requests()[0].Close).To(BeFalse(), "asked the engine to close the connection")
	})

	// An engine without a free place refuses the question as well. Taking that
	// for leaving would move all its reports at once, just as it is full.
	It("stay at an engine that has no place for the question", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		first.full.Store(true)
		d.blind.Store(true)
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 2))
		d.publish(first.entry("llm", "dc-1"), second.entry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(second.requests()).To(BeEmpty())
	})

	// The engine that the copy would go to is full. The next one takes it.
	It("go to the next engine when one has no room", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		first.refuseMoves.Store(true)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 5))
		third := startEngine("i-3", events, 5*time.Millisecond)
		d.publish(leaving(first.entry("llm", "dc-1")), second.entry("llm", "dc-1"), third.entry("llm", "dc-1"))
		Eventually(first.moves.Load).Should(BeNumerically(">", 0))
		first.refuseMoves.Store(false)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
	})

	// Guards against a notice spent on asking the same full engines again while
	// another data centre has room.
	It("go to another data centre when the engines of theirs have no room", func() {
		first := startEngine("i-0", 400, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		entries := []*directory.ObservedTarget{leaving(first.entry("llm", "dc-1"))}
		for i := range 8 {
			full := startEngine(fmt.Sprint("i-", i+1), 400, time.Millisecond)
			first.refuseTo = append(first.refuseTo, full.address)
			entries = append(entries, full.entry("llm", "dc-1"))
		}
		remote := startEngine("i-9", 400, time.Millisecond)
		entries = append(entries, remote.entry("llm", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 5))
		d.publish(entries...)
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(400)))
		Expect(remote.requests()).NotTo(BeEmpty())
	})

	// An engine leaves while it still reads a report's prompt, and its entry
	// changes once more while the copy is on its way. Two moves of one run
	// refuse each other, and the second one queues behind the copies of all
	// other runs until the engine is gone: the report breaks off.
	It("are copied once, also when the notice comes before their first event", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		first.reading, first.copying = 100*time.Millisecond, 100*time.Millisecond
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(func() int { return len(first.requests()) }).Should(Equal(1))
		for _, slots := range []int{6, 7, 8} {
			seen := second.entry("llm", "dc-1")
			seen.Slots = slots
			d.publish(leaving(first.entry("llm", "dc-1")), seen)
			time.Sleep(90 * time.Millisecond)
		}
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(first.moves.Load()).To(Equal(int64(1)))
	})

	// Other engines are full when the notice comes, and a moment later one has
	// room. A move that gives up after some refusals leaves the report to die
	// with its engine a second later.
	It("are offered again while the engine still runs", func() {
		first := startEngine("i-1", events, 25*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		first.refuseMoves.Store(true)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 2))
		d.publish(leaving(first.entry("llm", "dc-1")), second.entry("llm", "dc-1"))
		Eventually(first.moves.Load).Should(BeNumerically(">", 3))
		first.refuseMoves.Store(false)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(second.requests()).NotTo(BeEmpty())
	})

	// A route streams from a plain service, which knows no moves. Its target
	// leaves, and the process must not fall over for it.
	It("of targets that can't move them run on where they are", func() {
		first := startEngine("i-1", 10, 5*time.Millisecond)
		d := startDeck(first.entry("app", "dc-1"))
		d.cfg.Routes = append(d.cfg.Routes, directory.Route{
			Name: "feed", Host: "a.example", Prefix: "/feed/", Kind: directory.Generation, MaxAttempts: 1,
			Backends: []directory.Backend{{Service: "app", Weight: 1}},
		})
		d.publish(first.entry("app", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/feed/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 2))
		d.blind.Store(true)
		d.publish(leaving(first.entry("app", "dc-1")))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(10)))
	})

	// The engine dies in the middle of a report that may run only once. What
	// the technician has must not look like a whole report, and no second run
	// may be joined to it.
	It("that may run once break off openly when their engine dies", func() {
		dying := startTarget("i-1", say("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n5\nid: 1\n"))
		other := startEngine("i-2", events, time.Millisecond)
		d := startDeck(dying.entry("llm", "dc-1"))
		got := d.do(d.request("POST", "/report/"))
		Expect(got.err).To(HaveOccurred())
		Expect(other.requests()).To(BeEmpty())
	})
})

var _ = Describe("generations with a backup", func() {
	const events = 40

	// A leaving engine's link can't carry off all that it holds, so another one
	// keeps a copy of each report as it grows. When the engine leaves, the
	// report goes on there at once, and nothing has to be copied in the notice.
	It("go on there when their engine leaves", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"), second.entry("llm", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(func() int64 { return first.made.Load() + second.made.Load() }).Should(BeNumerically(">", 5))
		from, to := first, second
		if second.made.Load() > 0 {
			from, to = second, first
		}
		Expect(from.requests()[0].Header.Get(standin.HeaderBackup)).To(Equal(to.address))
		d.publish(leaving(from.entry("llm", "dc-1")), to.entry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(from.moves.Load()).To(BeZero())
		Expect(to.requests()[0].Header.Get(standin.HeaderKVFrom)).To(Equal(to.address + "/r-1"))
	})
})

var _ = Describe("generations whose engine dies", func() {
	// Engines of a data centre die without notice. Their reports may run only
	// once; with a copy elsewhere each goes on as the same run behind the last
	// whole event that the technician has.
	It("come back from their backup", func() {
		const events = 40
		second := startEngine("i-2", events, time.Millisecond)
		dying := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			say("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
			time.Sleep(50 * time.Millisecond)
		})
		d := startDeck(dying.entry("llm", "dc-1"), second.entry("llm", "dc-2"))
		got := d.do(d.request("POST", "/report/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(wanted(events)))
		Expect(second.requests()[0].Header.Get(standin.HeaderKVFrom)).To(Equal(second.address + "/r-1"))
	})
})

var _ = Describe("summaries that another run may go on with", func() {
	// The engine dies after a piece of a summary whose route lets another run
	// go on behind it. The clerk gets the rest from another engine, each piece
	// once.
	It("are resumed at another engine behind the last whole event", func() {
		const events = 10
		other := startEngine("i-2", events, time.Millisecond)
		half := event(1) + event(2) + "id: 3\nda"
		dying := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			say("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(half), half)
		})
		d := startDeck(dying.entry("llm", "dc-1"), other.entry("llm", "dc-2"))
		for range 20 {
			got := d.do(d.request("POST", "/brief/"))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(wanted(events)))
			if len(dying.requests()) > 0 {
				break
			}
		}
		Expect(dying.requests()).NotTo(BeEmpty())
	})
})

var _ = Describe("summaries that break at each engine", func() {
	// Each engine breaks the summary off after a piece. The route allows two
	// engines; going on from one to the next would take every engine's time,
	// and what breaks them would break them all.
	It("end after the engines that the route allows", func() {
		var asked atomic.Int64
		breaking := func(conn net.Conn, r *http.Request) {
			asked.Add(1)
			from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
			say("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(from+1)), event(from+1))
		}
		var targets []*directory.ObservedTarget
		for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
			targets = append(targets, startTarget(id, breaking).entry("llm", "dc-1"))
		}
		d := startDeck(targets...)
		got := d.do(d.request("POST", "/brief/"))
		Expect(got.err).To(HaveOccurred())
		Expect(asked.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("moves that come as a generation ends", func() {
	// An engine leaves just as its reports end, many times over. A place that
	// stayed counted each time would make engines look full that are empty, to
	// this host and, by gossip, to all others.
	It("leave nothing counted at any engine", func() {
		first := startEngine("i-1", 3, time.Millisecond)
		second := startEngine("i-2", 3, time.Millisecond)
		d := startDeck()
		for i := range 60 {
			d.publish(first.entry("llm", "dc-1"), second.entry("llm", "dc-2"))
			done := make(chan result, 1)
			go func() { done <- d.do(d.request("POST", "/report/")) }()
			time.Sleep(time.Duration(i%12) * 500 * time.Microsecond)
			d.publish(leaving(first.entry("llm", "dc-1")), second.entry("llm", "dc-2"))
			var got result
			Eventually(done, "5s").Should(Receive(&got))
			Expect(got.body).To(Equal(wanted(3)))
		}
		for _, id := range []string{"i-1", "i-2"} {
			Eventually(func() int { return d.loads.Hosts(id) }, "5s").Should(BeZero())
		}
	})
})
