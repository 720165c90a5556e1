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

// scheduleConfig is for schedules that drive a few entries, a configuration
// service that can be restored, callers with wrong clocks, and a target that
// counts executions. All stay within the limits that the package states: the
// wall clocks of entries differ by at most the maximum clock skew, the service
// answers with a state that was in force after the request was sent, a pause
// between the last check and the write is shorter than the maximum write delay,
// and opaque keys are used no longer than configured.
var scheduleConfig = idempotency.Config{
	MaxConfirmationAge: 30 * time.Millisecond, MaxWriteDelay: 20 * time.Millisecond, MaxClockSkew: 6 * time.Millisecond,
	MaxFutureTimestamp: 20 * time.Millisecond, TimeOrderedTTL: 400 * time.Millisecond,
	OpaqueTTL: 150 * time.Millisecond, MintedTTL: 400 * time.Millisecond, MaxKeys: 64,
}

type attempt struct {
	key       int
	checked   bool
	checkedAt time.Duration // when Check succeeded
}

type simEntry struct {
	self                idempotency.Process
	startedAt           time.Duration
	skew                time.Duration
	registry            *idempotency.Registry
	attempts            []attempt
	confirmationPending bool // a confirmation is in flight
	pendingList         idempotency.HostList
}

type simKey struct {
	key      idempotency.Key
	firstUse time.Duration // the caller's first attempt, for opaque keys
	used     bool
	runs     int
}

type listState struct {
	revision uint64
	live     []string
}

type simulation struct {
	now             time.Duration
	history         []listState
	entries         []*simEntry
	keys            []*simKey
	verifyOwnership bool // false: entries trust whatever list they have
	// refusals counts, by reason, the calls that were refused though a single
	// process with complete knowledge would have run or answered them.
	// violations lists decisions that such a process would not have made.
	refusals   map[failure.Kind]int
	violations []string
}

func newSimulation(verifyOwnership bool) *simulation {
	s := &simulation{now: time.Hour, verifyOwnership: verifyOwnership, refusals: map[failure.Kind]int{}}
	var all []string
	for i := range 3 {
		all = append(all, fmt.Sprint("e", i))
		s.entries = append(s.entries, &simEntry{skew: time.Duration(i-1) * 3 * time.Millisecond})
		s.restart(i)
	}
	s.history = []listState{{revision: 1, live: all}}
	return s
}

func (s *simulation) restart(i int) {
	e := s.entries[i]
	cfg := scheduleConfig
	cfg.Self = idempotency.Process{Address: fmt.Sprint("e", i), Incarnation: e.self.Incarnation + 1}
	if !s.verifyOwnership {
		cfg.MaxConfirmationAge, cfg.MaxWriteDelay, cfg.MaxFutureTimestamp, cfg.MaxClockSkew = time.Hour, -time.Hour-time.Second, 1, 1
	}
	*e = simEntry{self: cfg.Self, startedAt: s.now, skew: e.skew, registry: idempotency.New(cfg)}
}

func (s *simulation) currentList() listState { return s.history[len(s.history)-1] }

// step performs the operation op with the argument arg.
func (s *simulation) step(op, arg byte) {
	i := int(arg) % len(s.entries)
	e := s.entries[i]
	switch op % 16 {
	case 0, 1:
		s.now += time.Duration(arg%48) * time.Millisecond
	case 2:
		s.changeHosts(arg)
	case 3, 4, 5:
		e.confirmationPending = true
		e.pendingList = idempotency.HostList{Revision: s.currentList().revision, LiveHosts: s.currentList().live, ConfirmedAt: s.now - e.startedAt}
	case 6, 7, 8:
		if e.confirmationPending {
			e.confirmationPending = false
			e.registry.ConfirmHosts(s.now-e.startedAt, e.pendingList)
		}
	case 9, 10:
		s.submit(e, int(arg)/8)
	case 11:
		s.check(e, int(arg)/4)
	case 12:
		s.write(e, int(arg)/4, arg)
	case 13:
		s.addKey(arg)
	case 14:
		if arg%4 == 0 {
			s.restart(i)
		}
	case 15:
		s.restoreOlderList(arg)
	}
}

func (s *simulation) changeHosts(arg byte) {
	var live []string
	for i := range s.entries {
		if arg>>i&1 == 1 {
			live = append(live, fmt.Sprint("e", i))
		}
	}
	s.history = append(s.history, listState{revision: s.currentList().revision + 1, live: live})
}

// restoreOlderList restores the service to an older state. Later changes count
// revisions on from there and so use some revisions a second time.
func (s *simulation) restoreOlderList(arg byte) {
	if revisionsBack := int(arg)%4 + 1; revisionsBack < len(s.history) && arg%8 < 4 {
		s.history = append(s.history, s.history[len(s.history)-1-revisionsBack])
	}
}

func (s *simulation) addKey(arg byte) {
	var key idempotency.Key
	n := len(s.keys)
	switch arg % 3 {
	case 0: // the caller's clock is wrong by up to 128 ms
		timestamp := epoch.Add(s.now + time.Duration(int(arg)-128)*time.Millisecond)
		key, _ = idempotency.CallerKey(uuidV7(timestamp, uint64(n)))
	case 1:
		key, _ = idempotency.CallerKey(fmt.Sprint("opaque-", n))
	default:
		e := s.entries[int(arg)/3%len(s.entries)]
		key = idempotency.MintedKey(fmt.Sprint(n), e.self, s.now-e.startedAt)
	}
	s.keys = append(s.keys, &simKey{key: key})
}

func (s *simulation) submit(e *simEntry, n int) {
	if len(s.keys) == 0 {
		return
	}
	n = len(s.keys) - 1 - n%min(len(s.keys), 6)
	k := s.keys[n]
	if !k.used {
		k.used, k.firstUse = true, s.now
	}
	if k.key.Kind == idempotency.KeyOpaque && s.now-k.firstUse > scheduleConfig.OpaqueTTL {
		return
	}
	d := s.begin(e, k, idempotency.Call{})
	if d.Action == idempotency.Forward {
		for _, owner := range s.entries {
			if owner.self.Address != d.Owner.Address {
				continue
			}
			d = s.begin(owner, k, idempotency.Call{Forwarded: true, Incarnation: d.Owner.Incarnation})
			e = owner
			break
		}
	}
	if d.Action == idempotency.Run {
		e.attempts = append(e.attempts, attempt{key: n})
	}
	s.checkDecision(k, d)
}

// checkDecision compares a decision with that of a single process that never
// fails and has complete knowledge. It runs a new key, replays an answer, and
// reports that a call did not run only if that is true.
func (s *simulation) checkDecision(k *simKey, d idempotency.Decision) {
	switch {
	case d.Action == idempotency.Replay && k.runs == 0:
		s.violations = append(s.violations, "replayed an answer to a call that never ran: "+k.key.ID)
	case d.Action == idempotency.Refuse && d.Err.Executed == failure.ExecutedNo && k.runs > 0:
		s.violations = append(s.violations, "reported as not run a call that ran: "+k.key.ID)
	case d.Action == idempotency.Refuse:
		s.refusals[d.Err.Kind]++
	}
}

// expectedRefusals are the reasons for which the fleet may refuse calls that a
// single process would not refuse.
var expectedRefusals = []failure.Kind{
	failure.KindKeyUnvouched, failure.KindOwnerLost, failure.KindInProgress, failure.KindOutcomeUnknown,
	failure.KindKeyExpired, failure.KindKeyInvalid, failure.KindOverloaded,
}

func (s *simulation) begin(e *simEntry, k *simKey, call idempotency.Call) idempotency.Decision {
	call.Account, call.Key, call.WallTime = "a", k.key, epoch.Add(s.now+e.skew)
	return e.registry.Begin(s.now-e.startedAt, call)
}

func (s *simulation) check(e *simEntry, n int) {
	if len(e.attempts) == 0 {
		return
	}
	a := &e.attempts[n%len(e.attempts)]
	if a.checked {
		return
	}
	if _, err := e.registry.Check(s.now-e.startedAt, "a", s.keys[a.key].key); err != nil {
		e.registry.MarkNotRun("a", s.keys[a.key].key)
		e.attempts = append(e.attempts[:n%len(e.attempts)], e.attempts[n%len(e.attempts)+1:]...)
		return
	}
	a.checked, a.checkedAt = true, s.now
}

func (s *simulation) write(e *simEntry, n int, arg byte) {
	if len(e.attempts) == 0 || !e.attempts[n%len(e.attempts)].checked {
		return
	}
	n %= len(e.attempts)
	a := e.attempts[n]
	e.attempts = append(e.attempts[:n], e.attempts[n+1:]...)
	key := s.keys[a.key]
	if s.now-a.checkedAt >= scheduleConfig.MaxWriteDelay {
		e.registry.MarkLost("a", key.key)
		return
	}
	switch arg % 4 {
	case 0:
		e.registry.MarkNotRun("a", key.key) // the target reported that it did not run the call
	case 1:
		key.runs++
		e.registry.MarkLost("a", key.key)
	default:
		key.runs++
		e.registry.MarkFinished("a", key.key, &idempotency.Answer{Status: 200})
	}
}

// findDuplicateRun returns a key that ran more than once, or nil.
func (s *simulation) findDuplicateRun() *simKey {
	for _, k := range s.keys {
		if k.runs > 1 {
			return k
		}
	}
	return nil
}

// countRunKeys counts the keys that ran, by kind. Without it a registry that
// refuses every call would pass the test.
func (s *simulation) countRunKeys(counts map[idempotency.KeyKind]int) {
	for _, k := range s.keys {
		if k.runs > 0 {
			counts[k.key.Kind]++
		}
	}
}

// randomSchedule returns a schedule in which most lists are confirmed in time
// and most calls complete, with every other operation mixed in.
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

func simulateSchedule(ops []byte, verifyOwnership bool) *simulation {
	s := newSimulation(verifyOwnership)
	for i := 0; i+1 < len(ops); i += 2 {
		s.step(ops[i], ops[i+1])
	}
	return s
}

// FuzzSchedule checks that no key runs twice in any order of operations.
func FuzzSchedule(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(randomSchedule(seed, 200))
	}
	f.Fuzz(func(t *testing.T, ops []byte) {
		s := simulateSchedule(ops, true)
		if k := s.findDuplicateRun(); k != nil {
			t.Fatalf("%+v ran %d times", k.key, k.runs)
		}
		if len(s.violations) > 0 {
			t.Fatal(s.violations)
		}
	})
}

var _ = Describe("schedules of pauses, list changes, restores and restarts", func() {
	// Entries that trust whatever list they have run each booking that reaches
	// them, so some bookings run twice. The same schedules must show that
	// failure, or they would not show that the check prevents it.
	It("run each key at most once, where entries without the check run some twice", func() {
		runKeys := map[idempotency.KeyKind]int{}
		baselineFailures := 0
		refusals := map[failure.Kind]int{}
		for seed := range uint64(1000) {
			ops := randomSchedule(seed, 600)
			w := simulateSchedule(ops, true)
			Expect(w.findDuplicateRun()).To(BeNil(), "seed %d", seed)
			Expect(w.violations).To(BeEmpty(), "seed %d", seed)
			for kind, n := range w.refusals {
				Expect(expectedRefusals).To(ContainElement(kind))
				refusals[kind] += n
			}
			w.countRunKeys(runKeys)
			if simulateSchedule(ops, false).findDuplicateRun() != nil {
				baselineFailures++
			}
		}
		Expect(baselineFailures).To(BeNumerically(">", 100))
		for _, kind := range []idempotency.KeyKind{idempotency.KeyMinted, idempotency.KeyTimeOrdered, idempotency.KeyOpaque} {
			Expect(runKeys[kind]).To(BeNumerically(">", 100), "kind %d", kind)
		}
		AddReportEntry("schedules", fmt.Sprintf("ran %v, without the check %d of 1000 ran a key twice, refused %v", runKeys, baselineFailures, refusals))
	})
})
