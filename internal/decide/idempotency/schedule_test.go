package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/failure"
)

// A schedule drives a few entries, a configuration service that can be
// restored, callers with wrong clocks and a target that counts. Everything
// stays within the bounds that the package states: wall clocks of entries
// differ by at most ClockError, the service answers with a state that was in
// force after the request was sent, a pause between the last check and the
// write is shorter than Margin, and opaque keys are used for OpaqueWindow.
var scheduleConfig = idempotency.Config{
	Freshness: 30 * time.Millisecond, Margin: 20 * time.Millisecond, ClockError: 6 * time.Millisecond,
	AheadLimit: 20 * time.Millisecond, OrderedLife: 400 * time.Millisecond,
	OpaqueWindow: 150 * time.Millisecond, MintedLife: 400 * time.Millisecond, MaxKeys: 64,
}

type attempt struct {
	key     int
	checked bool
	at      time.Duration // of the check
}

type simEntry struct {
	self    idempotency.Process
	started time.Duration
	skew    time.Duration
	reg     *idempotency.Registry
	tries   []attempt
	asked   bool // a confirmation is on its way
	answer  idempotency.HostList
}

type simKey struct {
	key   idempotency.Key
	first time.Duration // the caller's first try, for opaque keys
	used  bool
	runs  int
}

type listState struct {
	revision uint64
	live     []string
}

type world struct {
	now      time.Duration
	history  []listState
	entries  []*simEntry
	keys     []*simKey
	vouching bool // false: the naive version, which trusts the list it has
	// refused counts by reason the calls that one process with perfect
	// knowledge would have run or answered; wrong lists answers that it would
	// not have given.
	refused map[failure.Kind]int
	wrong   []string
}

func newWorld(vouching bool) *world {
	w := &world{now: time.Hour, vouching: vouching, refused: map[failure.Kind]int{}}
	var all []string
	for i := range 3 {
		all = append(all, fmt.Sprint("e", i))
		w.entries = append(w.entries, &simEntry{skew: time.Duration(i-1) * 3 * time.Millisecond})
		w.restart(i)
	}
	w.history = []listState{{revision: 1, live: all}}
	return w
}

func (w *world) restart(i int) {
	e := w.entries[i]
	cfg := scheduleConfig
	cfg.Self = idempotency.Process{Address: fmt.Sprint("e", i), Incarnation: e.self.Incarnation + 1}
	if !w.vouching {
		cfg.Freshness, cfg.Margin, cfg.AheadLimit, cfg.ClockError = time.Hour, -time.Hour-time.Second, 1, 1
	}
	*e = simEntry{self: cfg.Self, started: w.now, skew: e.skew, reg: idempotency.New(cfg)}
}

func (w *world) list() listState { return w.history[len(w.history)-1] }

// step performs one operation; a is its argument.
func (w *world) step(op, a byte) {
	i := int(a) % len(w.entries)
	e := w.entries[i]
	switch op % 16 {
	case 0, 1:
		w.now += time.Duration(a%48) * time.Millisecond
	case 2:
		w.change(a)
	case 3, 4, 5:
		e.asked = true
		e.answer = idempotency.HostList{Revision: w.list().revision, LiveHosts: w.list().live, ConfirmedAt: w.now - e.started}
	case 6, 7, 8:
		if e.asked {
			e.asked = false
			e.reg.ConfirmHosts(w.now-e.started, e.answer)
		}
	case 9, 10:
		w.use(e, int(a)/8)
	case 11:
		w.check(e, int(a)/4)
	case 12:
		w.write(e, int(a)/4, a)
	case 13:
		w.newKey(a)
	case 14:
		if a%4 == 0 {
			w.restart(i)
		}
	case 15:
		w.restore(a)
	}
}

func (w *world) change(a byte) {
	var live []string
	for i := range w.entries {
		if a>>i&1 == 1 {
			live = append(live, fmt.Sprint("e", i))
		}
	}
	w.history = append(w.history, listState{revision: w.list().revision + 1, live: live})
}

// restore puts the service back to an older state; later changes number on
// from there and use revisions a second time.
func (w *world) restore(a byte) {
	if back := int(a)%4 + 1; back < len(w.history) && a%8 < 4 {
		w.history = append(w.history, w.history[len(w.history)-1-back])
	}
}

func (w *world) newKey(a byte) {
	var key idempotency.Key
	n := len(w.keys)
	switch a % 3 {
	case 0: // the caller's clock is off by up to a tenth of a second
		stamp := epoch.Add(w.now + time.Duration(int(a)-128)*time.Millisecond)
		key, _ = idempotency.CallerKey(ordered(stamp, uint64(n)))
	case 1:
		key, _ = idempotency.CallerKey(fmt.Sprint("opaque-", n))
	default:
		e := w.entries[int(a)/3%len(w.entries)]
		key = idempotency.MintedKey(fmt.Sprint(n), e.self, w.now-e.started)
	}
	w.keys = append(w.keys, &simKey{key: key})
}

func (w *world) use(e *simEntry, n int) {
	if len(w.keys) == 0 {
		return
	}
	n = len(w.keys) - 1 - n%min(len(w.keys), 6)
	k := w.keys[n]
	if !k.used {
		k.used, k.first = true, w.now
	}
	if k.key.Kind == idempotency.KeyOpaque && w.now-k.first > scheduleConfig.OpaqueWindow {
		return
	}
	d := w.begin(e, k, idempotency.Call{})
	if d.Action == idempotency.Forward {
		for _, owner := range w.entries {
			if owner.self.Address != d.Owner.Address {
				continue
			}
			d = w.begin(owner, k, idempotency.Call{Forwarded: true, Incarnation: d.Owner.Incarnation})
			e = owner
			break
		}
	}
	if d.Action == idempotency.Run {
		e.tries = append(e.tries, attempt{key: n})
	}
	w.compare(k, d)
}

// compare sets a decision against that of a single process that never dies and
// knows all: it runs a new key, repeats an answer, and says no only of a key
// that did not run.
func (w *world) compare(k *simKey, d idempotency.Decision) {
	switch {
	case d.Action == idempotency.Replay && k.runs == 0:
		w.wrong = append(w.wrong, "an answer to a call that never ran: "+k.key.ID)
	case d.Action == idempotency.Refuse && d.Err.Executed == failure.ExecutedNo && k.runs > 0:
		w.wrong = append(w.wrong, "no to a call that ran: "+k.key.ID)
	case d.Action == idempotency.Refuse:
		w.refused[d.Err.Kind]++
	}
}

// explained are the reasons for which the fleet may refuse what a single
// process would not.
var explained = []failure.Kind{
	failure.KindKeyUnvouched, failure.KindOwnerLost, failure.KindInProgress, failure.KindOutcomeUnknown,
	failure.KindKeyExpired, failure.KindKeyInvalid, failure.KindOverloaded,
}

func (w *world) begin(e *simEntry, k *simKey, call idempotency.Call) idempotency.Decision {
	call.Account, call.Key, call.WallTime = "a", k.key, epoch.Add(w.now+e.skew)
	return e.reg.Begin(w.now-e.started, call)
}

func (w *world) check(e *simEntry, n int) {
	if len(e.tries) == 0 {
		return
	}
	t := &e.tries[n%len(e.tries)]
	if t.checked {
		return
	}
	if _, err := e.reg.Check(w.now-e.started, "a", w.keys[t.key].key); err != nil {
		e.reg.MarkNotRun("a", w.keys[t.key].key)
		e.tries = append(e.tries[:n%len(e.tries)], e.tries[n%len(e.tries)+1:]...)
		return
	}
	t.checked, t.at = true, w.now
}

func (w *world) write(e *simEntry, n int, a byte) {
	if len(e.tries) == 0 || !e.tries[n%len(e.tries)].checked {
		return
	}
	n %= len(e.tries)
	t := e.tries[n]
	e.tries = append(e.tries[:n], e.tries[n+1:]...)
	key := w.keys[t.key]
	if w.now-t.at >= scheduleConfig.Margin {
		e.reg.MarkLost("a", key.key)
		return
	}
	switch a % 4 {
	case 0:
		e.reg.MarkNotRun("a", key.key) // the target said so, and ran nothing
	case 1:
		key.runs++
		e.reg.MarkLost("a", key.key)
	default:
		key.runs++
		e.reg.MarkFinished("a", key.key, &idempotency.Answer{Status: 200})
	}
}

// twice gives a key that ran more than once.
func (w *world) twice() *simKey {
	for _, k := range w.keys {
		if k.runs > 1 {
			return k
		}
	}
	return nil
}

// runs counts the keys that ran, by kind, so that a register which refuses all
// does not pass for a safe one.
func (w *world) ran(into map[idempotency.KeyKind]int) {
	for _, k := range w.keys {
		if k.runs > 0 {
			into[k.key.Kind]++
		}
	}
}

// randomSchedule makes a schedule in which lists are mostly confirmed in time
// and calls mostly go on to their end, with everything else in between.
func randomSchedule(seed uint64, length int) []byte {
	r := rand.New(rand.NewPCG(seed, 17))
	var ops []byte
	add := func(percent int, op byte, arg int) {
		if r.IntN(100) < percent {
			ops = append(ops, op, byte(arg))
		}
	}
	for len(ops) < 2*length {
		for e := range 3 {
			add(85, 3, e)
			add(85, 6, e)
		}
		entry := r.IntN(3)
		add(20, 13, r.IntN(256))
		add(60, 9, entry+3*r.IntN(80))
		add(5, 0, r.IntN(40))
		add(80, 11, entry+3*r.IntN(80))
		add(5, 0, r.IntN(40))
		add(80, 12, entry+3*r.IntN(80))
		add(60, 0, r.IntN(20))
		add(2, 2, r.IntN(256))
		add(1, 14, r.IntN(256))
		add(1, 15, r.IntN(256))
		add(5, byte(r.IntN(16)), r.IntN(256))
	}
	return ops
}

func runSchedule(ops []byte, vouching bool) *world {
	w := newWorld(vouching)
	for i := 0; i+1 < len(ops); i += 2 {
		w.step(ops[i], ops[i+1])
	}
	return w
}

// FuzzSchedule: no key ever runs twice, whatever happens in whatever order.
func FuzzSchedule(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(randomSchedule(seed, 200))
	}
	f.Fuzz(func(t *testing.T, ops []byte) {
		w := runSchedule(ops, true)
		if k := w.twice(); k != nil {
			t.Fatalf("%+v ran %d times", k.key, k.runs)
		}
		if len(w.wrong) > 0 {
			t.Fatal(w.wrong)
		}
	})
}

var _ = Describe("schedules of pauses, list changes, restores and restarts", func() {
	// Entries that trust the list they happen to have each run the booking
	// that reaches them. The same schedules must show that, or they could not
	// show anything.
	It("run each key at most once, where the naive version runs some twice", func() {
		ran := map[idempotency.KeyKind]int{}
		naive := 0
		refused := map[failure.Kind]int{}
		for seed := range uint64(1000) {
			ops := randomSchedule(seed, 600)
			w := runSchedule(ops, true)
			Expect(w.twice()).To(BeNil(), "seed %d", seed)
			Expect(w.wrong).To(BeEmpty(), "seed %d", seed)
			for kind, n := range w.refused {
				Expect(explained).To(ContainElement(kind))
				refused[kind] += n
			}
			w.ran(ran)
			if runSchedule(ops, false).twice() != nil {
				naive++
			}
		}
		Expect(naive).To(BeNumerically(">", 100))
		for _, kind := range []idempotency.KeyKind{idempotency.KeyMinted, idempotency.KeyOrdered, idempotency.KeyOpaque} {
			Expect(ran[kind]).To(BeNumerically(">", 100), "kind %d", kind)
		}
		AddReportEntry("schedules", fmt.Sprintf("ran %v, naive broke %d of 1000, refused %v", ran, naive, refused))
	})
})
