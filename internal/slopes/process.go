package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// settle is left to the processes after a change before they are watched.
const settle = 4 * time.Second

// A point is one state in which a control process is watched.
type point struct {
	name string
	// accounts stand in the table, polled targets answer, and otherHosts and
	// otherTargets are published though nothing listens there.
	accounts, polled, otherHosts, otherTargets int
}

// controlPoints vary one size at a time; the last has the target size of
// everything that is published.
var controlPoints = []point{
	{"accounts", 10, 4, 0, 0}, {"accounts", 100, 4, 0, 0}, {"accounts", 1000, 4, 0, 0}, {"accounts", TargetAccounts, 4, 0, 0},
	{"polled targets", 10, 12, 0, 0}, {"polled targets", 10, 100, 0, 0}, {"polled targets", 10, 1000, 0, 0},
	{"published hosts", 10, 4, 330, 0}, {"published targets", 10, 4, 330, 1000},
	{"target size", TargetAccounts, 4, TargetHosts - 1, TargetServers - 4},
}

// Control watches a control process and the entry of its host at each point:
// first without a change, then under edits of one row.
func (r Report) Control(ctx context.Context, p Processes) error {
	for _, at := range controlPoints {
		if err := r.controlPoint(ctx, p, at); err != nil {
			return err
		}
	}
	return nil
}

func (r Report) controlPoint(ctx context.Context, p Processes, at point) error {
	f, err := fleet.Start(ctx, fleet.Spec{BinDir: p.BinDir, Table: string(tablePages(1, 0)[0]), Hosts: []string{centre(0)}})
	if err != nil {
		return err
	}
	defer f.Close()
	loads, err := serveLoads(at.polled)
	if err != nil {
		return err
	}
	defer loads.close()
	if err := publish(f, at, loads.targets); err != nil {
		return err
	}
	time.Sleep(settle)
	idle, err := watch(f, loads, func() error { time.Sleep(p.Over); return nil })
	if err != nil {
		return err
	}
	edits := 0
	busy, err := watch(f, loads, func() (err error) { edits, err = edit(f, at, p); return err })
	if err != nil {
		return err
	}
	r.line("control, %s: %d accounts, %d targets polled, %d hosts and %d targets published", at.name, at.accounts, at.polled, at.otherHosts+1, at.otherTargets+at.polled)
	r.line("  unchanged: control %.2f%% of a core, %.1f MB resident, %.1f MB heap; entry %.2f%%, %.1f MB; polls %.1f/s, %.0f payload bytes and %.1f segments a poll",
		share(idle.control.cpu, idle.over), megabytes(idle.control.resident), idle.heap, share(idle.entry.cpu, idle.over), megabytes(idle.entry.resident),
		idle.polls/idle.over.Seconds(), idle.payload/max(idle.polls, 1), idle.segments/max(idle.polls, 1))
	r.line("  %d edits in %v: control %.2f ms and entry %.2f ms processor time an edit above that; control %.1f MB, entry %.1f MB resident",
		edits, busy.over.Round(time.Second), perEdit(busy.control.cpu, idle.control.cpu, busy.over, idle.over, edits),
		perEdit(busy.entry.cpu, idle.entry.cpu, busy.over, idle.over, edits), megabytes(busy.control.resident), megabytes(busy.entry.resident))
	return nil
}

// perEdit is the processor time of an edit above the idle state's, in ms.
func perEdit(busy, idle, busyOver, idleOver time.Duration, edits int) float64 {
	above := busy.Seconds() - idle.Seconds()*busyOver.Seconds()/idleOver.Seconds()
	return 1000 * above / float64(max(edits, 1))
}

func publish(f *fleet.Fleet, at point, polled []platform.Target) error {
	h := f.Hosts[0]
	hosts := append(hostList(at.otherHosts), platform.Host{
		Name: h.Name, DataCentre: h.DataCentre, Entry: h.Peer, Control: h.Control, State: platform.StateLive,
	})
	if err := f.Put(platform.KeyHosts, jsonText(hostsDocument{2, hosts})); err != nil {
		return err
	}
	targets := append(targetList(at.otherTargets), polled...)
	if err := f.Put(platform.KeyTargets, jsonText(targetsDocument{2, targets})); err != nil {
		return err
	}
	for i, page := range tablePages(at.accounts, 0) {
		if err := f.Put(fmt.Sprintf("table/%04d", i+1), string(page)); err != nil {
			return err
		}
	}
	return nil
}

// edit changes one row again and again until the time is over.
func edit(f *fleet.Fleet, at point, p Processes) (int, error) {
	count := int(p.Over.Seconds()) * p.EditsPerSecond
	ticker := time.NewTicker(time.Second / time.Duration(p.EditsPerSecond))
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		if err := f.Put("table/0001", string(tablePages(at.accounts, i+1)[0])); err != nil {
			return i, err
		}
	}
	time.Sleep(time.Second)
	return count, nil
}

// seen is what a host's processes used over a span.
type seen struct {
	over                     time.Duration
	control, entry           usage
	heap                     float64
	polls, payload, segments float64
}

// watch runs during and gives what was used meanwhile; memory is as it is
// at the end.
func watch(f *fleet.Fleet, loads *loadServers, during func() error) (seen, error) {
	h := f.Hosts[0]
	begun := time.Now()
	controlBefore, entryBefore, err := usages(h)
	if err != nil {
		return seen{}, err
	}
	payload, segments := loads.wire.sample()
	polls := loads.polls.Load()
	if err := during(); err != nil {
		return seen{}, err
	}
	control, entry, err := usages(h)
	if err != nil {
		return seen{}, err
	}
	control.cpu -= controlBefore.cpu
	entry.cpu -= entryBefore.cpu
	endPayload, endSegments := loads.wire.sample()
	s := seen{over: time.Since(begun), control: control, entry: entry, polls: float64(loads.polls.Load() - polls),
		payload: float64(endPayload - payload), segments: float64(endSegments - segments)}
	counters, err := readCounters(f, h)
	s.heap = counters.value("runtime.MemStats.HeapAlloc") / (1 << 20)
	return s, err
}

func usages(h *fleet.Host) (control, entry usage, err error) {
	if control, err = usageOf(h.ControlProcess.Pid()); err != nil {
		return control, entry, err
	}
	entry, err = usageOf(h.Entry.Pid())
	return control, entry, err
}

// counters are a process's metrics as its administration interface shows them.
type counters map[string]struct {
	Count float64 `json:"count"`
	Value float64 `json:"value"`
}

func (c counters) value(name string) float64 { return c[name].Value + c[name].Count }

func readCounters(f *fleet.Fleet, h *fleet.Host) (counters, error) {
	var c counters
	err := f.GetJSON("http://"+h.ControlAdmin+"/metrics", &c)
	return c, err
}

// Fleet watches fleets of real processes of several sizes on this machine.
func (r Report) Fleet(ctx context.Context, p Processes, sizes []int) error {
	for _, size := range sizes {
		if err := r.fleetOf(ctx, p, size); err != nil {
			return err
		}
	}
	return nil
}

func (r Report) fleetOf(ctx context.Context, p Processes, size int) error {
	hosts := make([]string, size)
	for i := range hosts {
		hosts[i] = centre(i)
	}
	f, err := fleet.Start(ctx, fleet.Spec{BinDir: p.BinDir, Table: string(tablePages(10, 0)[0]), Hosts: hosts})
	if err != nil {
		return err
	}
	defer f.Close()
	time.Sleep(settle)
	before, err := total(f)
	if err != nil {
		return err
	}
	time.Sleep(p.Over)
	after, err := total(f)
	if err != nil {
		return err
	}
	n, span := float64(size), p.Over.Seconds()
	r.line("fleet: %d hosts: control %.2f%% of a core, %.1f MB resident; gossip %.0f bytes/s sent and received; entry %.2f%%, %.1f MB; all readers together %.1f calls/s",
		size, share(after.control.cpu-before.control.cpu, p.Over)/n, megabytes(after.control.resident)/n, (after.gossip-before.gossip)/n/span,
		share(after.entry.cpu-before.entry.cpu, p.Over)/n, megabytes(after.entry.resident)/n, (after.calls-before.calls)/span)
	return nil
}

// sum adds up a fleet's processes.
type sum struct {
	control, entry usage
	gossip, calls  float64
}

func total(f *fleet.Fleet) (sum, error) {
	var s sum
	for _, h := range f.Hosts {
		control, entry, err := usages(h)
		if err != nil {
			return s, err
		}
		c, err := readCounters(f, h)
		if err != nil {
			return s, err
		}
		s.control = usage{s.control.cpu + control.cpu, s.control.resident + control.resident}
		s.entry = usage{s.entry.cpu + entry.cpu, s.entry.resident + entry.resident}
		s.gossip += c.value("gossip.bytes_sent") + c.value("gossip.bytes_received")
		s.calls += c.value("configwatch.calls")
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
