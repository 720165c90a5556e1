package faults_test

import (
	"fmt"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// records are what targets, callers and hosts were seen to do. The checks read
// nothing else.
type records struct {
	starts    []startRecord
	told      []toldRecord
	force     map[string][]forceRecord
	cutByStop int
	poisoned  int // targets that a poison request killed
	unknown   int
}

type startRecord struct {
	at             time.Duration
	target         *engine
	sending        uint64
	booking        string
	running, bears int
	young          bool // the target started lately
}

type toldRecord struct {
	sending  uint64
	call     *call
	executed failure.Executed
}

// forceRecord is a weight that was in force on a host from at until until.
type forceRecord struct {
	at, until time.Duration
	weight    string
}

func (r *records) start(e *engine, sending uint64, booking string) {
	young := !e.warm && (e.turned == 0 || e.w.now > e.turned+time.Second)
	r.starts = append(r.starts, startRecord{e.w.now, e, sending, booking, len(e.running) + 1, e.bears(), young})
}

func (r *records) tell(s *sending, err *failure.Error) {
	r.told = append(r.told, toldRecord{s.id, s.call, err.Executed})
	if err.Executed == failure.ExecutedUnknown {
		r.unknown++
	}
}

func (r *records) inForce(h *host) {
	if !h.ready {
		return
	}
	weight, log := h.row("weight"), r.force[h.name]
	if n := len(log); n == 0 || log[n-1].weight != weight {
		log = append(log, forceRecord{at: h.w.now, weight: weight})
	}
	log[len(log)-1].until = h.w.now
	r.force[h.name] = log
}

// aFew is "a few seconds" of the promises: 5 s also while the configuration
// service is stale for some readers.
const aFew = 5 * time.Second

// check is one promise of the brief.
type check struct {
	promise string
	broken  func(w *world, s script) []string
}

func report(out *[]string, broken bool, format string, args ...any) {
	if broken {
		*out = append(*out, fmt.Sprintf(format, args...))
	}
}

var checks = []check{
	{"tokens once, in order, from one generation", func(w *world, _ script) (out []string) {
		for _, c := range w.calls {
			for i, t := range c.received {
				report(&out, int(t.offset) != i || t.generation != c.received[0].generation, "%s: token %d is %d of %s", c.name, i, t.offset, t.generation)
			}
		}
		return out
	}},
	{"a started target gets no more than it bears", func(w *world, _ script) (out []string) {
		for _, s := range w.records.starts {
			report(&out, s.young && s.running > s.bears, "%v: %s ran %d, bears %d", s.at, s.target.name, s.running, s.bears)
		}
		return out
	}},
	{"a drained data centre gets no new work", func(w *world, sc script) (out []string) {
		for _, s := range w.records.starts {
			report(&out, s.target.centre == sc.drained && s.at > max(sc.drainAt, sc.dark)+aFew, "%v: start in %s", s.at, s.target.centre)
		}
		return out
	}},
	{"each gets its own whole answer or a typed end", func(w *world, _ script) (out []string) {
		for _, c := range w.calls {
			report(&out, !c.complete && c.ended == nil, "%s: no end", c.name)
			report(&out, c.complete && !c.kind.booking() && len(c.received) != c.length, "%s: %d of %d tokens", c.name, len(c.received), c.length)
			for _, t := range c.received {
				report(&out, !strings.HasPrefix(t.text, c.prompt+"/"), "%s: got %q", c.name, t.text)
			}
		}
		return out
	}},
	{"told that it did not run, it did not", func(w *world, _ script) (out []string) {
		ran := map[uint64]bool{}
		for _, s := range w.records.starts {
			ran[s.sending] = true
		}
		for _, t := range w.records.told {
			report(&out, t.executed == failure.ExecutedNo && ran[t.sending], "%s: sending %d ran", t.call.name, t.sending)
		}
		return out
	}},
	{"a booking runs at most once", func(w *world, _ script) (out []string) {
		runs := map[string]int{}
		for _, s := range w.records.starts {
			if runs[s.booking]++; s.booking != "" {
				report(&out, runs[s.booking] > 1, "%s ran again at %v", s.booking, s.at)
			}
		}
		return out
	}},
	{"a leaving target gets no new work", func(w *world, sc script) (out []string) {
		for _, s := range w.records.starts {
			leaving := s.target.leaving
			report(&out, leaving > 0 && s.at > max(leaving, sc.dark)+aFew, "%v: start on %s", s.at, s.target.name)
		}
		return out
	}},
	{"a planned stop cuts nothing", func(w *world, _ script) (out []string) {
		report(&out, w.records.cutByStop > 0, "%d requests cut", w.records.cutByStop)
		return out
	}},
	{"an accepted edit is in force everywhere soon and stays", func(w *world, sc script) (out []string) {
		for name, log := range w.records.force {
			last := ""
			for _, f := range log {
				report(&out, f.weight < last, "%s went back from %s to %s at %v", name, last, f.weight, f.at)
				late := f.until > max(sc.editAt, sc.dark)+aFew && f.weight < sc.weight
				report(&out, late, "%s still has %s at %v", name, f.weight, f.until)
				last = f.weight
			}
			h := w.host(name)
			report(&out, h.up && h.ready && log[len(log)-1].weight != sc.weight, "%s ends with %s", name, log[len(log)-1].weight)
		}
		return out
	}},
	{"a poison request alone costs three targets (not a promise of the brief)", func(w *world, _ script) (out []string) {
		report(&out, len(w.armed) == 1 && w.records.poisoned > 3, "%d targets died", w.records.poisoned)
		return out
	}},
}
