package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/platform"
)

// Processes bounds the measurements with real processes.
type Processes struct {
	BinDir string
	// Over is how long each state is watched.
	Over time.Duration
	// EditsPerSecond is the pace of edits of one row while they are measured.
	EditsPerSecond int
}

// What is left to the processes after a change before they are watched: a plan
// of pools takes seconds of processor time at the target size, and two follow
// each other when the lists are published one by one.
const (
	settle          = 4 * time.Second
	settlePerTarget = 3 * time.Millisecond
)

// A Point is one state in which the processes of hosts are watched.
type Point struct {
	Name string
	// Hosts run with two processes each; Accounts stand in the table, Polled
	// targets answer, and OtherHosts and OtherTargets are published though
	// nothing listens there.
	Hosts, Accounts, Polled, OtherHosts, OtherTargets int
}

// Points vary one size at a time; the last has the target size of everything
// that is published.
var Points = []Point{
	{"accounts", 1, 10, 4, 0, 0}, {"accounts", 1, 100, 4, 0, 0}, {"accounts", 1, 1000, 4, 0, 0}, {"accounts", 1, TargetAccounts, 4, 0, 0},
	{"targets", 1, 10, 10, 0, 0}, {"targets", 1, 10, 100, 0, 0}, {"targets", 1, 10, 1000, 0, 0},
	{"fleet", 8, 10, 4, 0, 0}, {"fleet", 32, 10, 4, 0, 0},
	{"published", 1, 10, 4, 330, 1000}, {"all", 1, TargetAccounts, 4, TargetHosts - 1, TargetServers - 4},
}

// Run watches the processes at each point that is named (all without a name):
// first without a change, then under edits of one row.
func (p Processes) Run(ctx context.Context, out Printer, names []string) error {
	for _, at := range Points {
		if len(names) > 0 && !slices.Contains(names, at.Name) {
			continue
		}
		if err := p.point(ctx, out, at); err != nil {
			return err
		}
	}
	return nil
}

func (p Processes) point(ctx context.Context, out Printer, at Point) error {
	hosts := make([]string, at.Hosts)
	for i := range hosts {
		hosts[i] = centre(0)
	}
	f, err := fleet.Start(ctx, fleet.Spec{
		BinDir: p.BinDir, Table: string(tablePages(1, 0)[0]), Hosts: hosts,
		Engines: hosts[:1], EngineServices: []string{service},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	loads, err := serveLoads(at.Polled)
	if err != nil {
		return err
	}
	defer loads.close()
	if err := publish(f, at, loads.targets); err != nil {
		return err
	}
	time.Sleep(settle + time.Duration(at.OtherTargets)*settlePerTarget)
	idle, err := watch(f, loads, func() error { time.Sleep(p.Over); return nil })
	if err != nil {
		return err
	}
	edits := int(p.Over.Seconds()) * p.EditsPerSecond
	busy, err := watch(f, loads, func() error { return edit(f, at, edits, p.EditsPerSecond) })
	if err != nil {
		return err
	}
	out.states(at, edits, idle, busy)
	return nil
}

// states prints what a host used on average.
func (out Printer) states(at Point, edits int, idle, busy seen) {
	n, span := float64(at.Hosts), idle.over.Seconds()
	out.line("%s: %d hosts run, %d accounts, %d targets polled, %d hosts and %d targets published",
		at.Name, at.Hosts, at.Accounts, at.Polled, at.OtherHosts+at.Hosts, at.OtherTargets+at.Polled)
	out.line("  unchanged: control %.2f%% of a core, %.1f MB resident, %.1f MB heap; entry %.2f%%, %.1f MB resident",
		share(idle.control.cpu, idle.over)/n, megabytes(idle.control.resident)/n, idle.counters["runtime.MemStats.HeapAlloc"]/n/(1<<20),
		share(idle.entry.cpu, idle.over)/n, megabytes(idle.entry.resident)/n)
	out.line("  gossip %.0f bytes/s a host, sent and received; configuration %.1f calls/s in all; %.1f polls/s in all, %.0f payload bytes and %.1f segments a poll",
		(idle.counters["gossip.bytes_sent"]+idle.counters["gossip.bytes_received"])/n/span, idle.counters["configwatch.calls"]/span,
		idle.polls/span, idle.payload/max(idle.polls, 1), idle.segments/max(idle.polls, 1))
	above := func(busy, idle time.Duration, over float64) float64 {
		return 1000 * (busy.Seconds() - idle.Seconds()*over/span) / float64(edits) / n
	}
	over := busy.over.Seconds()
	out.line("  %d edits in %.1fs: control %.2f ms and entry %.2f ms processor time an edit and host above that (control %.1f%% of a core); %.1f and %.1f MB resident; gossip %.0f bytes/s a host",
		edits, over, above(busy.control.cpu, idle.control.cpu, over), above(busy.entry.cpu, idle.entry.cpu, over), share(busy.control.cpu, busy.over)/n,
		megabytes(busy.control.resident)/n, megabytes(busy.entry.resident)/n,
		(busy.counters["gossip.bytes_sent"]+busy.counters["gossip.bytes_received"])/n/over)
}

func publish(f *fleet.Fleet, at Point, polled []platform.Target) error {
	hosts := hostList(at.OtherHosts)
	for _, h := range f.Hosts {
		hosts = append(hosts, platform.Host{
			Name: h.Name, DataCentre: h.DataCentre, Entry: h.Peer, Control: h.Control, State: platform.StateLive,
		})
	}
	if err := f.Put(platform.KeyHosts, jsonText(hostsDocument{2, hosts})); err != nil {
		return err
	}
	targets := append(targetList(at.OtherTargets), polled...)
	if err := f.Put(platform.KeyTargets, jsonText(targetsDocument{2, targets})); err != nil {
		return err
	}
	for i, page := range tablePages(at.Accounts, 0) {
		if err := f.Put(fmt.Sprintf("table/%04d", i+1), string(page)); err != nil {
			return err
		}
	}
	return nil
}

// edit changes one row count times at a steady pace.
func edit(f *fleet.Fleet, at Point, count, rate int) error {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		if err := f.Put("table/0001", string(tablePages(at.Accounts, i+1)[0])); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// seen is what the processes of all hosts used over a span.
type seen struct {
	over                     time.Duration
	control, entry           usage
	polls, payload, segments float64
	// counters are the control processes' together: counts as they rose, other
	// values as they stood at the end.
	counters map[string]float64
}

// watch runs during and gives what was used meanwhile; memory is as it is
// at the end.
func watch(f *fleet.Fleet, loads *loadServers, during func() error) (seen, error) {
	before, err := total(f, loads)
	if err != nil {
		return seen{}, err
	}
	begun := time.Now()
	if err := during(); err != nil {
		return seen{}, err
	}
	s, err := total(f, loads)
	if err != nil {
		return seen{}, err
	}
	s.over = time.Since(begun)
	s.control.cpu -= before.control.cpu
	s.entry.cpu -= before.entry.cpu
	s.polls -= before.polls
	s.payload -= before.payload
	s.segments -= before.segments
	for _, name := range []string{"gossip.bytes_sent", "gossip.bytes_received", "configwatch.calls"} {
		s.counters[name] -= before.counters[name]
	}
	return s, nil
}

func total(f *fleet.Fleet, loads *loadServers) (seen, error) {
	payload, segments := loads.wire.sample()
	s := seen{
		counters: map[string]float64{}, polls: float64(loads.polls.Load()),
		payload: float64(payload), segments: float64(segments),
	}
	for _, h := range f.Hosts {
		if err := s.control.add(h.ControlProcess.Pid()); err != nil {
			return s, err
		}
		if err := s.entry.add(h.Entry.Pid()); err != nil {
			return s, err
		}
		var metrics map[string]struct{ Count, Value float64 }
		if err := f.GetJSON("http://"+h.ControlAdmin+"/metrics", &metrics); err != nil {
			return s, err
		}
		for name, m := range metrics {
			s.counters[name] += m.Count + m.Value
		}
	}
	return s, nil
}

// loadServers answer the reading of a target's load, and of its cache events.
type loadServers struct {
	wire      wire
	polls     atomic.Int64
	targets   []platform.Target
	listeners []net.Listener
	server    *http.Server
}

// loadReport is a busy engine's report as docs/protocols.md has it.
const loadReport = `{"incarnation":1800000000000,"age_ms":250,"memory_tokens":4000000,"used_tokens":3600000,"running":220,"waiting":0,` +
	`"preemptions":12,"bears":256,"step_us":48000,"stopping":false}`

// cacheReport has eight blocks cached and eight evicted.
var cacheReport = `{"sequence":123456,"gap":false,"cached":[` + hashes() + `],"evicted":[` + hashes() + `]}`

func hashes() string { return strings.TrimSuffix(strings.Repeat(`"12345678901234567890",`, 8), ",") }

func serveLoads(count int) (*loadServers, error) {
	s := &loadServers{}
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(s.answer)}
	for range count {
		l, err := s.wire.listen()
		if err != nil {
			s.close()
			return nil, failure.Wrap(err, failure.KindInternal, "no free port")
		}
		s.listeners = append(s.listeners, l)
		s.targets = append(s.targets, platform.Target{
			Service: service, Address: l.Addr().String(), DataCentre: centre(0), State: platform.StateLive,
		})
		go func() { _ = s.server.Serve(l) }()
	}
	return s, nil
}

func (s *loadServers) answer(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Path != "/v1/load" {
		_, _ = w.Write([]byte(cacheReport))
		return
	}
	s.polls.Add(1)
	_, _ = w.Write([]byte(loadReport))
}

func (s *loadServers) close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	_ = s.server.Close()
}
