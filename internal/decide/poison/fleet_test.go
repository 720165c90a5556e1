package poison_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/poison"
)

// Dimensions of the simulated fleet: hosts that exchange evidence, targets that are back
// after a while, callers of requests that crash targets and of sound ones.
const (
	playHosts, playTargets = 8, 14
	playTick               = 10 * time.Millisecond
	playDuration           = 30 * second
	// restartTime is the time from a target's end to its return.
	restartTime = 2 * second
	// crashAfter is the time from the start of a deadly request to the target's end,
	// verifyTime that from the end until a host is certain of it.
	crashAfter, verifyTime = 90 * time.Millisecond, 60 * time.Millisecond
	// tellTime is the time from a host's certainty until the others are told.
	tellTime = 100 * time.Millisecond
	// knownAfter is the time from a deadly request's third crash by which all hosts must
	// refuse it, lateAllowed the number of its arrivals at targets after that.
	knownAfter, lateAllowed = 3 * second, 3
	crashesToKnow           = 3
	// crashesToKnowPart is the same for a part of prompts.
	crashesToKnowPart = 5
	// playSeedsVariable names the environment variable with the number of seeds of a play.
	playSeedsVariable, defaultPlaySeeds = "FILBERT_PLAY_SEEDS", 6
)

// play is a load of deadly requests beside sound ones.
type play struct {
	name string
	// deadly is the number of requests that crash targets, each sent every deadlyPeriod.
	deadly       int
	deadlyPeriod time.Duration
	// deadlyFrom is when the first deadly request comes.
	deadlyFrom time.Duration
	// parts says that it is one part of a prompt that is deadly: no two requests with it are
	// alike, and sound ones share their other parts.
	parts bool
	// deaths is the time between two ends of targets for other reasons; 0 for none.
	deaths time.Duration
	// soundPeriod is the time between two sound requests, repeated the share of them that
	// has the content of an earlier one.
	soundPeriod time.Duration
	repeated    float64
	// joinAt is when one host starts without knowledge; 0 for never.
	joinAt time.Duration
	// settleTime is the time from that host's start until its arrivals count as late.
	settleTime time.Duration
	// lossRate is the share of the messages between hosts that is lost.
	lossRate float64
	// seeds is the number of seeds if it differs from the usual one.
	seeds uint64
	// hostCount and targets are the dimensions if they differ from the usual ones. A play
	// with targets of its own sends each request to the one with the fewest runs.
	hostCount, targets int
	// tick is the length of a step, duration that of the play, if they differ from the usual ones.
	tick, duration time.Duration
	// copies is the number of deadly requests that come at the same time; 0 for one.
	copies int
	// certaintySpread is how much later than verifyTime a host may be certain of an end.
	certaintySpread time.Duration
	// soundUntil is the time from which on what crashes targets does so; it completes before.
	soundUntil time.Duration
	// restart is the time from a target's end to its return if it differs from restartTime.
	restart time.Duration
	// rackAt is when the targets of a rack end, rackSize their number, rackSpread the time
	// in which they do. They end rackTimes, 0 for once, every rackPeriod.
	rackAt     time.Duration
	rackSize   int
	rackSpread time.Duration
	rackTimes  int
	rackPeriod time.Duration
	// askedAt is when a new sound content comes for the first time, askedCopies times at once,
	// then every askedPeriod.
	askedAt     time.Duration
	askedCopies int
	askedPeriod time.Duration
}

// weigher is a way of weighing crashes, one instance a host.
type weigher interface {
	// addCrash records at a time a crash whose connections broke at another.
	addCrash(now, endedAt time.Duration, id uint64, suspects []poison.Request)
	// addCompletion reports whether other hosts should be told.
	addCompletion(now time.Duration, r poison.Request) bool
	refuses(now time.Duration, r poison.Request) bool
	mergeFrom(now time.Duration, other weigher) bool
}

// detectorWeigher weighs with the detector.
type detectorWeigher struct{ *poison.Detector }

func (w detectorWeigher) addCrash(_, endedAt time.Duration, id uint64, suspects []poison.Request) {
	w.AddCrash(endedAt, id, suspects)
}
func (w detectorWeigher) addCompletion(now time.Duration, r poison.Request) bool {
	return w.AddCompletion(now, r)
}
func (w detectorWeigher) refuses(now time.Duration, r poison.Request) bool {
	a := w.Assess(now, r)
	if a.TestRun {
		w.TakeTestRun(now, r)
	}
	return a.Verdict == poison.Blocked && !a.TestRun
}
func (w detectorWeigher) mergeFrom(now time.Duration, other weigher) bool {
	from := other.(detectorWeigher)
	crashes := w.Merge(now, from.Export(now, 32))
	return w.MergeCompletions(now, from.ExportCompletions(now, 64)) || crashes
}

func features(r poison.Request) []uint64 { return append([]uint64{r.Fingerprint}, r.Parts...) }

// countingWeigher refuses what has crashed three targets and not completed at this host.
type countingWeigher struct {
	crashes   map[uint64][]uint64
	completed map[uint64]bool
}

func newCountingWeigher() countingWeigher {
	return countingWeigher{map[uint64][]uint64{}, map[uint64]bool{}}
}
func (w countingWeigher) addCrash(_, _ time.Duration, id uint64, suspects []poison.Request) {
	for _, r := range suspects {
		w.crashes[id] = slices.Concat(w.crashes[id], features(r))
	}
}
func (w countingWeigher) addCompletion(_ time.Duration, r poison.Request) bool {
	for _, f := range features(r) {
		w.completed[f] = true
	}
	return false
}
func (w countingWeigher) refuses(_ time.Duration, r poison.Request) bool {
	return slices.ContainsFunc(features(r), func(f uint64) bool {
		n := 0
		for _, suspects := range w.crashes {
			if slices.Contains(suspects, f) {
				n++
			}
		}
		return n >= crashesToKnow && !w.completed[f]
	})
}
func (w countingWeigher) mergeFrom(_ time.Duration, other weigher) bool {
	changed := false
	for id, suspects := range other.(countingWeigher).crashes {
		if _, known := w.crashes[id]; !known {
			w.crashes[id], changed = suspects, true
		}
	}
	return changed
}

// run is a request in progress at a target, sent by a host.
type run struct {
	request poison.Request
	// kind is the number of the deadly request or part; 0 for a sound request.
	kind         int
	host, target int
	endsAt       time.Duration
	// number differs between runs.
	number int
	// triesLeft is the number of tries that its caller still makes.
	triesLeft int
}

// playResult is what a play gave, over all its deadly and sound requests.
type playResult struct {
	// ended and late are the most targets that one deadly request ended, and its arrivals
	// at targets after knownAfter.
	ended, late int
	// sound and refused count the sound requests and those of them that were refused,
	// afterwards and refusedAfterwards those later than 2 x knownAfter.
	sound, refused, afterwards, refusedAfterwards int
	// asked and askedRefused count the requests for the new sound content, askedUntil is the
	// longest time from its first request to the last one that was refused.
	asked, askedRefused int
	askedUntil          time.Duration
}

func (r *playResult) add(o playResult) {
	r.ended, r.late = max(r.ended, o.ended), max(r.late, o.late)
	r.sound, r.refused = r.sound+o.sound, r.refused+o.refused
	r.afterwards, r.refusedAfterwards = r.afterwards+o.afterwards, r.refusedAfterwards+o.refusedAfterwards
	r.asked, r.askedRefused, r.askedUntil = r.asked+o.asked, r.askedRefused+o.askedRefused, max(r.askedUntil, o.askedUntil)
}

// theatre is the state of one play.
type theatre struct {
	play
	*rand.Rand
	now     time.Duration
	newHost func(spread float64) weigher
	hosts   []weigher
	upAgain []time.Duration
	// rackEnds are the times at which the targets of the rack end, 0 for the others.
	rackEnds []time.Duration
	runs     []run
	started  int
	reports  []report
	crashes  uint64
	next     uint64
	crashed  map[int][]time.Duration
	arrivals map[int][]time.Duration
	result   playResult
}

// report is a crash that a host becomes certain of, or a completion that it tells.
type report struct {
	at time.Duration
	// endedAt is when the connections of the crashed target broke.
	endedAt  time.Duration
	host     int
	id       uint64
	suspects []poison.Request
}

func playOnce(p play, seed uint64, newHost func(spread float64) weigher) playResult {
	return playTheatre(p, seed, newHost).result
}

func playTheatre(p play, seed uint64, newHost func(spread float64) weigher) *theatre {
	t := &theatre{play: p, Rand: rand.New(rand.NewPCG(seed, 50)), newHost: newHost, next: 1000, crashed: map[int][]time.Duration{}, arrivals: map[int][]time.Duration{}}
	t.upAgain = make([]time.Duration, cmp.Or(p.targets, playTargets))
	t.rackEnds = make([]time.Duration, len(t.upAgain))
	hosts := cmp.Or(p.hostCount, playHosts)
	for i := range hosts {
		t.hosts = append(t.hosts, newHost(float64(i)/float64(hosts)))
	}
	if p.rackSize > 0 {
		for _, target := range t.Perm(len(t.upAgain))[:p.rackSize] {
			t.rackEnds[target] = p.rackAt + time.Duration(t.Int64N(int64(p.rackSpread)+1)).Truncate(cmp.Or(p.tick, playTick))
		}
	}
	for ; t.now < cmp.Or(p.duration, playDuration); t.now += cmp.Or(p.tick, playTick) {
		t.step()
	}
	needed := crashesToKnow
	if p.parts {
		needed = crashesToKnowPart
	}
	for kind, at := range t.crashed {
		t.result.ended = max(t.result.ended, len(at))
		if len(at) < needed {
			continue
		}
		late := 0
		for _, arrival := range t.arrivals[kind] {
			if arrival > at[needed-1]+knownAfter {
				late++
			}
		}
		t.result.late = max(t.result.late, late)
	}
	return t
}

func due(now, period time.Duration) bool { return period > 0 && now%period == 0 }

func (t *theatre) step() {
	if t.joinAt > 0 && t.now == t.joinAt {
		t.hosts[0] = t.newHost(0)
	}
	t.endRuns()
	if due(t.now, t.deaths) {
		t.end(t.IntN(len(t.upAgain)))
	}
	for target, at := range t.rackEnds {
		if at > 0 && t.now >= at && (t.now == at || t.now < at+time.Duration(t.rackTimes)*t.rackPeriod && due(t.now-at, t.rackPeriod)) {
			t.end(target)
		}
	}
	t.deliverReports()
	if t.now%second == 0 {
		for i := range t.hosts {
			t.exchange(i, t.IntN(len(t.hosts)))
		}
	}
	for i := range t.deadly {
		if phase := t.deadlyFrom + (t.deadlyPeriod / time.Duration(t.deadly) * time.Duration(i)).Truncate(playTick); t.now >= phase && due(t.now-phase, t.deadlyPeriod) {
			for range max(t.copies, 1) {
				t.send(run{request: t.deadlyRequest(1 + i), kind: 1 + i, triesLeft: 2})
			}
		}
	}
	if t.askedCopies > 0 && t.now == t.askedAt {
		for range t.askedCopies {
			t.send(run{request: askedRequest, triesLeft: 2})
		}
	}
	if t.askedCopies > 0 && t.now > t.askedAt && due(t.now-t.askedAt, t.askedPeriod) {
		t.send(run{request: askedRequest, triesLeft: 2})
	}
	if due(t.now, t.soundPeriod) {
		t.send(run{request: t.soundRequest(), triesLeft: 2})
	}
}

// Parts of the prompts: one that all share, and some of which each has one.
const systemPart, firstTemplate, templates = 10_001, 10_002, 4

// askedRequest is the new sound content that many ask for.
var askedRequest = poison.Request{Fingerprint: 90, Parts: []uint64{systemPart, firstTemplate}}

// deadlyRequest returns a request of a kind that crashes targets.
func (t *theatre) deadlyRequest(kind int) poison.Request {
	if !t.parts {
		return poison.Request{Fingerprint: uint64(kind), Parts: []uint64{systemPart, firstTemplate}}
	}
	t.next++
	return poison.Request{Fingerprint: t.next, Parts: []uint64{systemPart, firstTemplate, uint64(kind)}}
}

// soundRequest returns a new request, or one with the content of an earlier one.
func (t *theatre) soundRequest() poison.Request {
	if t.Float64() < t.repeated {
		return poison.Request{Fingerprint: 100 + t.Uint64N(5)}
	}
	t.next++
	return poison.Request{Fingerprint: t.next, Parts: []uint64{systemPart, firstTemplate + t.Uint64N(templates)}}
}

// send sends a request to some host, which sends it to some target.
func (t *theatre) send(r run) {
	r.host = t.IntN(len(t.hosts))
	r.triesLeft--
	first := r.kind == 0 && r.triesLeft == 1
	if first {
		t.result.sound++
		if t.now > 2*knownAfter {
			t.result.afterwards++
		}
	}
	asked := first && r.request.Fingerprint == askedRequest.Fingerprint
	if asked {
		t.result.asked++
	}
	if t.hosts[r.host].refuses(t.now, r.request) {
		if asked {
			t.result.askedRefused++
			t.result.askedUntil = t.now - t.askedAt
		}
		if first {
			t.result.refused++
			if t.now > 2*knownAfter {
				t.result.refusedAfterwards++
			}
		}
		return
	}
	var up []int
	for i, at := range t.upAgain {
		if at <= t.now {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	r.target = up[t.IntN(len(up))]
	if t.targets > 0 {
		r.target = t.leastLoaded(up)
	}
	r.endsAt = t.now + crashAfter
	if t.now < t.soundUntil {
		r.kind = 0
	}
	if r.kind == 0 {
		r.endsAt = t.now + 200*time.Millisecond + time.Duration(t.Int64N(int64(800*time.Millisecond)))
	} else {
		if r.host > 0 || t.now < t.joinAt || t.now >= t.joinAt+t.settleTime {
			t.arrivals[r.kind] = append(t.arrivals[r.kind], t.now)
		}
	}
	t.started++
	r.number = t.started
	t.runs = append(t.runs, r)
}

// leastLoaded returns one of some targets with the fewest runs.
func (t *theatre) leastLoaded(targets []int) int {
	runs := map[int]int{}
	for _, r := range t.runs {
		runs[r.target]++
	}
	t.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return slices.MinFunc(targets, func(a, b int) int { return cmp.Compare(runs[a], runs[b]) })
}

// endRuns ends the runs that are complete, and the targets whose deadly runs begin.
func (t *theatre) endRuns() {
	for _, r := range slices.Clone(t.runs) {
		i := slices.IndexFunc(t.runs, func(o run) bool { return o.number == r.number })
		if i < 0 || r.endsAt > t.now {
			continue
		}
		if r.kind > 0 {
			t.crashed[r.kind] = append(t.crashed[r.kind], t.now)
			t.end(r.target)
			continue
		}
		t.runs = slices.Delete(t.runs, i, i+1)
		if t.hosts[r.host].addCompletion(t.now, r.request) {
			t.reports = append(t.reports, report{at: t.now, host: r.host})
		}
	}
}

// end ends a target: its hosts report it, its callers try again.
func (t *theatre) end(target int) {
	if t.upAgain[target] > t.now {
		return
	}
	t.crashes++
	t.upAgain[target] = t.now + cmp.Or(t.restart, restartTime)
	suspects := map[int][]poison.Request{}
	var lost []run
	t.runs = slices.DeleteFunc(t.runs, func(r run) bool {
		if r.target != target {
			return false
		}
		suspects[r.host] = append(suspects[r.host], r.request)
		lost = append(lost, r)
		return true
	})
	for host := range t.hosts {
		if s := suspects[host]; len(s) > 0 {
			var late time.Duration
			if t.certaintySpread > 0 {
				late = time.Duration(t.Int64N(int64(t.certaintySpread))).Truncate(cmp.Or(t.tick, playTick))
			}
			t.reports = append(t.reports, report{at: t.now + verifyTime + late, endedAt: t.now, host: host, id: t.crashes, suspects: s})
		}
	}
	for _, r := range lost {
		if r.triesLeft > 0 {
			t.send(r)
		}
	}
}

func (t *theatre) deliverReports() {
	for _, r := range t.reports {
		if r.at == t.now && len(r.suspects) > 0 {
			t.hosts[r.host].addCrash(t.now, r.endedAt, r.id, r.suspects)
		}
		if r.at+tellTime != t.now {
			continue
		}
		for i := range t.hosts {
			t.exchange(r.host, i)
		}
	}
	t.reports = slices.DeleteFunc(t.reports, func(r report) bool { return r.at+tellTime <= t.now })
}

// exchange brings a host's evidence to another, which passes on what is new.
func (t *theatre) exchange(from, to int) {
	if from == to || t.Float64() < t.lossRate || !t.hosts[to].mergeFrom(t.now, t.hosts[from]) {
		return
	}
	for i := range t.hosts {
		t.exchange(to, i)
	}
}

// plays are the loads over which ways of weighing are compared.
var plays = []play{
	{name: "one request", deadly: 1, deadlyPeriod: 400 * time.Millisecond},
	{name: "two requests in turn", deadly: 2, deadlyPeriod: 700 * time.Millisecond},
	{name: "three requests in turn", deadly: 3, deadlyPeriod: 700 * time.Millisecond},
	{name: "three requests in turn, more slowly", deadly: 3, deadlyPeriod: 2100 * time.Millisecond},
	{name: "four requests in turn", deadly: 4, deadlyPeriod: 2 * second},
	{name: "one request, and targets that end for other reasons", deadly: 1, deadlyPeriod: 300 * time.Millisecond, deaths: 500 * time.Millisecond},
	{name: "one request, and a host that starts later", deadly: 1, deadlyPeriod: 400 * time.Millisecond, joinAt: 10 * second},
	{name: "three requests, and two fifths of the messages lost", deadly: 3, deadlyPeriod: 700 * time.Millisecond, lossRate: 0.4},
	{name: "one part", deadly: 1, deadlyPeriod: 500 * time.Millisecond, parts: true},
	{name: "one part from the seventh second on", deadly: 1, deadlyPeriod: 500 * time.Millisecond, deadlyFrom: 7 * second, parts: true},
	{name: "two parts", deadly: 2, deadlyPeriod: 500 * time.Millisecond, parts: true},
	{name: "one part, and targets that end for other reasons", deadly: 1, deadlyPeriod: 500 * time.Millisecond, deaths: 500 * time.Millisecond, parts: true},
	{name: "two parts, and two fifths of the messages lost", deadly: 2, deadlyPeriod: 500 * time.Millisecond, lossRate: 0.4, parts: true},
	{name: "one part, and a host that starts later", deadly: 1, deadlyPeriod: 500 * time.Millisecond, joinAt: 10 * second, parts: true},
	{name: "no such request, and targets that end for other reasons", deaths: 250 * time.Millisecond},
}

func (p play) seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(playSeedsVariable), 10, 64); err == nil {
		return n
	}
	return cmp.Or(p.seeds, defaultPlaySeeds)
}

// together are the loads in which targets end at about the same time.
var together = []play{
	{name: "one request on all three targets", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3},
	{name: "one request, many copies at once", deadly: 1, deadlyPeriod: 400 * time.Millisecond, copies: 8, targets: 3},
	{name: "one request on both targets", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 2},
	{name: "one request, one target", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 1},
	{name: "one request on three of 24 targets", deadly: 1, deadlyPeriod: 400 * time.Millisecond, copies: 3, targets: 24},
	{name: "two requests, three targets", deadly: 2, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 3},
	{name: "one request, three targets, a third of the messages lost", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3, lossRate: 0.33},
	{name: "one request, three targets, a host that starts later", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3, joinAt: 10 * second, settleTime: knownAfter},
	{name: "one request that completed before", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3, soundUntil: 5 * second},
	{name: "one request that completed before, targets that are back later", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3, soundUntil: 5 * second, restart: 3300 * time.Millisecond},
	{name: "one request, 84 hosts, 24 targets", deadly: 1, deadlyPeriod: 400 * time.Millisecond, copies: 6, hostCount: 84, targets: 24},
	{name: "one request, 84 hosts, all three targets", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, hostCount: 84, targets: 3},
	{name: "one request, 400 targets", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 6, targets: 400},
	{name: "one request beside the loss of a rack", deadly: 1, deadlyPeriod: 400 * time.Millisecond, deadlyFrom: 5 * second, copies: 2, targets: 12, rackAt: 5400 * time.Millisecond, rackSize: 6, rackSpread: 10 * time.Millisecond},
}

// togetherLater are such loads in a fleet that has served for a while, so that what is sound is known.
var togetherLater = []play{
	{name: "one request on all three targets", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3},
	{name: "two requests, three targets", deadly: 2, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 3},
	{name: "three requests, three targets", deadly: 3, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 3},
	{name: "three requests, three targets, more slowly", deadly: 3, deadlyPeriod: 400 * time.Millisecond, copies: 2, targets: 3},
	{name: "four requests, six targets", deadly: 4, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 6},
	{name: "four requests, six targets, more slowly", deadly: 4, deadlyPeriod: 400 * time.Millisecond, copies: 2, targets: 6},
	{name: "four requests, 24 targets, more slowly", deadly: 4, deadlyPeriod: 400 * time.Millisecond, copies: 3, targets: 24},
	{name: "one request, one target", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 2, targets: 1},
	{name: "one request beside the loss of a rack", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 12, rackAt: 5040 * time.Millisecond, rackSize: 6, rackSpread: 10 * time.Millisecond},
	{name: "one part on all three targets", deadly: 1, deadlyPeriod: 80 * time.Millisecond, copies: 3, targets: 3, parts: true},
}

// racks are the losses of a rack while a sound content is new and many ask for it.
var racks = []play{
	{name: "six of twelve, three with the new content", targets: 12, rackSize: 6, askedCopies: 6},
	{name: "six of twelve, all with the new content", targets: 12, rackSize: 6, askedCopies: 12},
	{name: "three of twelve, all with the new content", targets: 12, rackSize: 3, askedCopies: 12},
	{name: "all three targets, all with the new content", targets: 3, rackSize: 3, askedCopies: 3},
	{name: "all three targets, hosts certain within 25 ms", targets: 3, rackSize: 3, askedCopies: 3, certaintySpread: 25 * time.Millisecond},
}

// known are the losses of all targets while a frequent sound content runs there.
var known = []play{
	{name: "once", targets: 3, rackSize: 3},
	{name: "three times, each time back for 1.7 s", targets: 3, rackSize: 3, rackTimes: 3, rackPeriod: 3700 * time.Millisecond},
	{name: "three times, each time back for 0.2 s", targets: 3, rackSize: 3, rackTimes: 3, rackPeriod: 2200 * time.Millisecond},
	{name: "six of twelve, three times", targets: 12, rackSize: 6, rackTimes: 3, rackPeriod: 2200 * time.Millisecond},
}

const (
	// togetherTick resolves ends that are milliseconds apart.
	togetherTick = 2 * time.Millisecond
	// rackDuration is the length of the plays with a rack, wronglyRefused how long a sound content
	// may be refused that ran on all targets which ended: until each host may have tested it.
	rackDuration, wronglyRefused = 80 * second, 60 * second
	// rackSeeds is the number of seeds of these plays, which are long.
	rackSeeds = 2
)

var _ = Describe("targets that end at the same time", func() {
	detect := func(spread float64) weigher { return detectorWeigher{poison.New(poison.Config{TestSpread: spread})} }
	for _, p := range together {
		p.tick, p.certaintySpread = togetherTick, 24*time.Millisecond
		// Guards against a request that ends all targets of a service together, again and again.
		It("have ended by the request that ran on each: "+p.name, func() {
			got := playAll(p, detect)
			AddReportEntry("with the detector", fmt.Sprintf("%+v", got))
			Expect(got.late).To(BeNumerically("<=", lateAllowed))
		})
	}
	for _, p := range togetherLater {
		p.tick, p.certaintySpread, p.deadlyFrom = togetherTick, 24*time.Millisecond, 5*second
		// Guards against sound content that is refused since it was in the company of such a request.
		It("in a fleet that has served for a while, have ended by what is refused, and no sound one is: "+p.name, func() {
			got := playAll(p, detect)
			AddReportEntry("with the detector", fmt.Sprintf("%+v", got))
			Expect(got.late).To(BeNumerically("<=", lateAllowed))
			Expect(got.refusedAfterwards).To(BeNumerically("<=", got.afterwards/100), "sound requests refused")
		})
	}
	for _, p := range racks {
		p.tick, p.duration, p.seeds, p.rackAt, p.rackSpread = togetherTick, rackDuration, rackSeeds, 5*second, 10*time.Millisecond
		p.askedAt, p.askedPeriod = p.rackAt-100*time.Millisecond, 100*time.Millisecond
		// Guards against sound content that is refused since a rack lost power while it ran there.
		It("have ended by another cause: "+p.name, func() {
			got := playAll(p, detect)
			AddReportEntry("with the detector", fmt.Sprintf("%+v", got))
			Expect(got.askedUntil).To(BeNumerically("<=", wronglyRefused))
		})
	}
})

var _ = Describe("frequent content that ran on all targets as they ended by another cause", func() {
	for _, p := range known {
		p.tick, p.duration, p.seeds, p.certaintySpread = togetherTick, rackDuration, rackSeeds, 24*time.Millisecond
		p.rackAt, p.rackSpread, p.askedAt, p.askedCopies, p.askedPeriod = 5*second, 10*time.Millisecond, second, 3, 100*time.Millisecond
		// Guards against frequent sound content that is refused since its targets ended again and again.
		It("is served again soon: "+p.name, func() {
			got := playAll(p, func(spread float64) weigher { return detectorWeigher{poison.New(poison.Config{TestSpread: spread})} })
			AddReportEntry("with the detector", fmt.Sprintf("%+v", got))
			Expect(got.askedUntil).To(BeNumerically("<=", p.rackAt-p.askedAt+wronglyRefused))
		})
	}
})

// playAll plays a load over many seeds.
func playAll(p play, newHost func(spread float64) weigher) playResult {
	p.soundPeriod, p.repeated = 30*time.Millisecond, 0.3
	var total playResult
	for seed := range p.seedCount() {
		total.add(playOnce(p, seed, newHost))
	}
	return total
}

var _ = Describe("a fleet of hosts with requests that crash targets", func() {
	for _, p := range plays {
		// Guards against a detector that takes the crashes of a request for those of another cause, or of sound ones.
		It("refuses each of them in time and next to no sound one: "+p.name, func() {
			got := playAll(p, func(spread float64) weigher { return detectorWeigher{poison.New(poison.Config{TestSpread: spread})} })
			counting := playAll(p, func(float64) weigher { return newCountingWeigher() })
			AddReportEntry("with the detector, and by counting alone", fmt.Sprintf("%+v, %+v", got, counting))
			Expect(got.late).To(BeNumerically("<=", lateAllowed))
			Expect(got.refusedAfterwards).To(BeNumerically("<=", got.afterwards/100), "sound requests refused")
		})
	}
})
