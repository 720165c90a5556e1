package experiment

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"filbertdeck/internal/standin/model"
)

// startArrivals schedules the first requests of a class.
func (sim *simulation) startArrivals(i int) {
	c := &sim.scenario.Classes[i]
	sim.scheduleAt(c.Start, func() {
		if c.Rate > 0 {
			sim.sendArrival(c, c.Start)
			return
		}
		sim.fillBacklog(c)
	})
}

func (c *RequestClass) activeAt(now time.Duration) bool {
	return now >= c.Start && (c.End == 0 || now < c.End)
}

// sendArrival sends a request of an open-loop class and schedules the next one.
// The gap counts from the time at which this request was due: counted from the
// tick, the rate could not exceed one arrival a millisecond.
func (sim *simulation) sendArrival(c *RequestClass, due time.Duration) {
	if !c.activeAt(sim.now) {
		return
	}
	sim.send(sim.newRequest(c))
	gap := time.Duration(sim.rngs[c].ExpFloat64() / c.Rate * float64(time.Second))
	sim.scheduleAt(due+gap, func() { sim.sendArrival(c, due+gap) })
}

// fillBacklog sends requests of a closed-loop class until its backlog is full.
func (sim *simulation) fillBacklog(c *RequestClass) {
	if c.Rate > 0 || !c.activeAt(sim.now) {
		return
	}
	for sim.openRequests[c] < c.Backlog {
		sim.send(sim.newRequest(c))
	}
}

// newRequest generates a request. Each class has its own random number
// generator, so that the n-th request of a class is the same under every policy.
func (sim *simulation) newRequest(c *RequestClass) *request {
	rng := sim.rngs[c]
	req := &request{class: c, promptTokens: c.Prompt.sample(rng), outputTokens: c.Output.sample(rng), avoidEngine: -1, fingerprint: rng.Uint64() | 1}
	req.promptTokens = min(req.promptTokens, sim.scenario.Engine.MemoryTokens/4)
	req.outputTokens = min(req.outputTokens, c.MaxTokens)
	if c.CrashesEngine {
		req.fingerprint = poisonFingerprint
	}
	if c.SharedPrefixes > 0 {
		req.prefix = sharedPrefix(rng.IntN(c.SharedPrefixes), req.promptTokens/2)
	}
	return req
}

// poisonFingerprint is the fingerprint of all requests that crash engines.
const poisonFingerprint = 666

// sharedPrefix returns the block hash chain of the shared prefix with this index
// and length in tokens.
func sharedPrefix(index, tokens int) []uint64 {
	chain := make([]uint64, tokens/model.BlockTokens)
	for i := range chain {
		chain[i] = uint64(index+1)<<32 | uint64(i)
	}
	return chain
}

// send sends a request, which reaches the allocator's host after one hop delay.
func (sim *simulation) send(req *request) {
	sim.lastID++
	req.id, req.arrivedAt = sim.lastID, sim.now
	sim.requests[req.id] = req
	sim.openRequests[req.class]++
	sim.result.recordSent(req, sim.now)
	sim.scheduleAfter(hopDelay, func() {
		if req.state == stateWaiting {
			sim.policy.Ask(sim.now, Ask{
				ID: req.id, Account: req.class.Account, PromptTokens: req.promptTokens, MaxTokens: req.class.MaxTokens,
				MaxWait: req.class.MaxWait, Fingerprint: req.fingerprint, Prefix: req.prefix, AvoidEngine: req.avoidEngine,
			})
		}
	})
	sim.scheduleAfter(req.class.MaxWait+2*hopDelay, func() { sim.handleTimeout(req) })
}

func sortByID(requests []*request) {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// eventQueue is a priority queue of events by due time; events due at the same
// time run in the order in which they were scheduled.
type eventQueue struct {
	events       []scheduledEvent
	lastSequence uint64
}

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	action   func()
}

func (q *eventQueue) schedule(at time.Duration, action func()) {
	q.lastSequence++
	heap.Push(q, scheduledEvent{at, q.lastSequence, action})
}

func (q *eventQueue) runDue(now time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= now {
		heap.Pop(q).(scheduledEvent).action()
	}
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	x, y := &q.events[i], &q.events[j]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	x := q.events[last]
	q.events[last] = scheduledEvent{}
	q.events = q.events[:last]
	return x
}
