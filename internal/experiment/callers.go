package experiment

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"filbertdeck/internal/standin/model"
)

// startClass begins a class's arrivals.
func (w *world) startClass(i int) {
	c := &w.s.Classes[i]
	w.at(c.From, func() {
		if c.Rate > 0 {
			w.arrive(c, c.From)
			return
		}
		w.refill(c)
	})
}

func (c *Class) sends(now time.Duration) bool {
	return now >= c.From && (c.To == 0 || now < c.To)
}

// arrive sends a request of an open class and books the next, counted from the
// time at which this one was due: counted from the tick, arrivals would be held
// to one a millisecond.
func (w *world) arrive(c *Class, due time.Duration) {
	if !c.sends(w.now) {
		return
	}
	w.send(w.draw(c))
	gap := time.Duration(w.streams[c].ExpFloat64() / c.Rate * float64(time.Second))
	w.at(due+gap, func() { w.arrive(c, due+gap) })
}

// refill keeps a closed class at its backlog.
func (w *world) refill(c *Class) {
	if c.Rate > 0 || !c.sends(w.now) {
		return
	}
	for w.open[c] < c.Backlog {
		w.send(w.draw(c))
	}
}

// draw makes a request. The draws come from a stream of the class's own, so
// that the n-th request of a class is the same under every policy.
func (w *world) draw(c *Class) *request {
	r := w.streams[c]
	q := &request{class: c, prompt: c.Prompt.draw(r), length: c.Output.draw(r), avoid: -1, print: r.Uint64() | 1}
	q.prompt = min(q.prompt, w.s.Engine.MemoryTokens/4)
	q.length = min(q.length, c.MaxTokens)
	if c.Crash {
		q.print = poisonPrint
	}
	if c.Prefixes > 0 {
		q.prefix = prefixOf(r.IntN(c.Prefixes), q.prompt/2)
	}
	return q
}

const poisonPrint = 666

// prefixOf is the hash chain of a shared prefix of so many tokens.
func prefixOf(which, tokens int) []uint64 {
	chain := make([]uint64, tokens/model.BlockTokens)
	for i := range chain {
		chain[i] = uint64(which+1)<<32 | uint64(i)
	}
	return chain
}

// send puts a request on its way: one hop to the allocator's host.
func (w *world) send(r *request) {
	w.lastID++
	r.id, r.arrived = w.lastID, w.now
	w.requests[r.id] = r
	w.open[r.class]++
	w.result.sent(r, w.now)
	w.after(hop, func() {
		if r.state == waiting {
			w.policy.Ask(w.now, Ask{
				ID: r.id, Account: r.class.Account, Prompt: r.prompt, Max: r.class.MaxTokens,
				MaxWait: r.class.MaxWait, Fingerprint: r.print, Prefix: r.prefix, Avoid: r.avoid,
			})
		}
	})
	w.after(r.class.MaxWait+2*hop, func() { w.timedOut(r) })
}

func sortByID(rs []*request) {
	slices.SortFunc(rs, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// agenda holds what is due, in order; equal times in the order of booking.
type agenda struct {
	items []due
	count uint64
}

type due struct {
	at    time.Duration
	order uint64
	do    func()
}

func (a *agenda) add(at time.Duration, do func()) {
	a.count++
	heap.Push(a, due{at, a.count, do})
}

func (a *agenda) run(now time.Duration) {
	for len(a.items) > 0 && a.items[0].at <= now {
		heap.Pop(a).(due).do()
	}
}

// Len implements heap.Interface.
func (a *agenda) Len() int { return len(a.items) }

// Less implements heap.Interface.
func (a *agenda) Less(i, j int) bool {
	x, y := &a.items[i], &a.items[j]
	return x.at < y.at || x.at == y.at && x.order < y.order
}

// Swap implements heap.Interface.
func (a *agenda) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.items = append(a.items, x.(due)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(a.items) - 1
	x := a.items[last]
	a.items[last] = due{}
	a.items = a.items[:last]
	return x
}
