package faults_test

import (
	"fmt"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// records holds the observed actions of targets, callers and hosts. The checks
// rely on these, on the calls and on the final state of the hosts.
type records struct {
	starts          []startRecord
	outcomes        []outcomeRecord
	weights         map[string][]weightRecord
	abortedByStop   int
	poisonCrashes   int // target crashes caused by the poison request
	unknownOutcomes int
}

type startRecord struct {
	at                time.Duration
	target            *engine
	attemptID         uint64
	booking           string
	running, capacity int
	rampingUp         bool // the target started recently and is not warm yet
}

type outcomeRecord struct {
	attemptID uint64
	call      *call
	executed  failure.Executed
}

// weightRecord is a table weight that was in force on a host between the times
// at and until.
type weightRecord struct {
	at, until time.Duration
	weight    string
}

func (r *records) recordStart(e *engine, attemptID uint64, booking string) {
	rampingUp := !e.warm && (e.coldSince == 0 || e.sim.now > e.coldSince+time.Second)
	r.starts = append(r.starts, startRecord{e.sim.now, e, attemptID, booking, len(e.running) + 1, e.capacity(), rampingUp})
}

func (r *records) recordOutcome(att *attempt, err *failure.Error) {
	r.outcomes = append(r.outcomes, outcomeRecord{att.id, att.call, err.Executed})
	if err.Executed == failure.ExecutedUnknown {
		r.unknownOutcomes++
	}
}

func (r *records) recordWeight(h *host) {
	if !h.ready {
		return
	}
	weight, weights := h.rowText("weight"), r.weights[h.name]
	if n := len(weights); n == 0 || weights[n-1].weight != weight {
		weights = append(weights, weightRecord{at: h.sim.now, weight: weight})
	}
	weights[len(weights)-1].until = h.sim.now
	r.weights[h.name] = weights
}

// propagationLimit is the "few seconds" within which a published change must
// take effect on every host. The 5 s also hold while the configuration service
// serves stale data to some readers.
const propagationLimit = 5 * time.Second

// check verifies one guarantee of the requirements and returns its violations.
type check struct {
	guarantee  string
	violations func(sim *simulation, s scenario) []string
}

func appendIf(out *[]string, violated bool, format string, args ...any) {
	if violated {
		*out = append(*out, fmt.Sprintf(format, args...))
	}
}

var checks = []check{
	{"tokens once, in order, from one generation", func(sim *simulation, _ scenario) (out []string) {
		for _, c := range sim.calls {
			for i, t := range c.received {
				appendIf(&out, int(t.offset) != i || t.generation != c.received[0].generation, "%s: token %d has offset %d of generation %s", c.name, i, t.offset, t.generation)
			}
		}
		return out
	}},
	{"a started target gets no more requests than its capacity", func(sim *simulation, _ scenario) (out []string) {
		for _, s := range sim.records.starts {
			appendIf(&out, s.rampingUp && s.running > s.capacity, "%v: %s ran %d requests, capacity %d", s.at, s.target.name, s.running, s.capacity)
		}
		return out
	}},
	{"a drained data centre gets no new work", func(sim *simulation, scenario scenario) (out []string) {
		for _, s := range sim.records.starts {
			appendIf(&out, s.target.dataCentre == scenario.drainedCentre && s.at > max(scenario.drainAt, scenario.staleUntil)+propagationLimit, "%v: request started in drained data centre %s", s.at, s.target.dataCentre)
		}
		return out
	}},
	{"each caller gets its own complete response or a typed error", func(sim *simulation, _ scenario) (out []string) {
		for _, c := range sim.calls {
			appendIf(&out, !c.completed && c.finalError == nil, "%s: neither a response nor an error", c.name)
			appendIf(&out, c.completed && !c.kind.isBooking() && len(c.received) != c.length, "%s: received %d of %d tokens", c.name, len(c.received), c.length)
			for _, t := range c.received {
				appendIf(&out, !strings.HasPrefix(t.text, c.prompt+"/"), "%s: received a foreign token %q", c.name, t.text)
			}
		}
		return out
	}},
	{"a request reported as not executed was not executed", func(sim *simulation, _ scenario) (out []string) {
		ran := map[uint64]bool{}
		for _, s := range sim.records.starts {
			ran[s.attemptID] = true
		}
		for _, t := range sim.records.outcomes {
			appendIf(&out, t.executed == failure.ExecutedNo && ran[t.attemptID], "%s: attempt %d was executed", t.call.name, t.attemptID)
		}
		return out
	}},
	{"a booking runs at most once", func(sim *simulation, _ scenario) (out []string) {
		runs := map[string]int{}
		for _, s := range sim.records.starts {
			if runs[s.booking]++; s.booking != "" {
				appendIf(&out, runs[s.booking] > 1, "%s was executed again at %v", s.booking, s.at)
			}
		}
		return out
	}},
	{"a leaving target gets no new work", func(sim *simulation, scenario scenario) (out []string) {
		for _, s := range sim.records.starts {
			leaving := s.target.leavingAt
			appendIf(&out, leaving > 0 && s.at > max(leaving, scenario.staleUntil)+propagationLimit, "%v: request started on leaving target %s", s.at, s.target.name)
		}
		return out
	}},
	{"a planned stop aborts no request", func(sim *simulation, _ scenario) (out []string) {
		appendIf(&out, sim.records.abortedByStop > 0, "%d requests aborted", sim.records.abortedByStop)
		return out
	}},
	{"an accepted edit takes effect on every host in time and is not reverted", func(sim *simulation, scenario scenario) (out []string) {
		for name, weights := range sim.records.weights {
			last := ""
			for _, record := range weights {
				appendIf(&out, record.weight < last, "%s reverted from weight %s to %s at %v", name, last, record.weight, record.at)
				late := record.until > max(scenario.editAt, scenario.staleUntil)+propagationLimit && record.weight < scenario.lastWeight
				appendIf(&out, late, "%s still has weight %s at %v", name, record.weight, record.until)
				last = record.weight
			}
			h := sim.hostByName(name)
			appendIf(&out, h.up && h.ready && weights[len(weights)-1].weight != scenario.lastWeight, "%s has weight %s at the end", name, weights[len(weights)-1].weight)
		}
		return out
	}},
	{"a poison request without other faults crashes at most three targets (not a required guarantee)", func(sim *simulation, _ scenario) (out []string) {
		appendIf(&out, len(sim.triggers) == 1 && sim.records.poisonCrashes > 3, "%d targets crashed", sim.records.poisonCrashes)
		return out
	}},
}
