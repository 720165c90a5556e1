// Package contention derives from a service's configuration how its generations share
// engines that have too little room for all of them.
//
// It covers services whose engines serve urgent generations beside others that have
// longer objectives. Urgent ones are late if they queue behind the prompts and the
// memory of the others, while the others have time to wait. Where all objectives are
// about the same, a generation that waits for another one is late itself.
//
// The functions are pure.
package contention

import "time"

// yieldFactor is the objective of a generation that waits for the most urgent ones, as a
// multiple of theirs: it is still in time after waiting for as long as an urgent one may
// take in all.
const yieldFactor = 2

// Route is what the policy takes from a route that carries generations.
type Route struct {
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Objective is the objective for the time to the first token; 0 if there is none.
	Objective time.Duration
}

// Policy is how the generations of a service share its engines. The zero value stands
// for a service whose configuration does not call for any sharing.
type Policy struct {
	// MostUrgentPriority is the priority of the most urgent routes.
	MostUrgentPriority int
	// MostUrgentObjective is the shortest objective among the most urgent routes; 0 if
	// they have none.
	MostUrgentObjective time.Duration
	// Active is set if less urgent generations can afford to wait for the most urgent
	// ones.
	Active bool
}

// PolicyOf returns the policy of a service whose generations arrive on the given routes.
func PolicyOf(routes []Route) Policy {
	var p Policy
	for i, r := range routes {
		switch {
		case i == 0 || r.Priority < p.MostUrgentPriority:
			p.MostUrgentPriority, p.MostUrgentObjective = r.Priority, r.Objective
		case r.Priority == p.MostUrgentPriority && r.Objective > 0:
			p.MostUrgentObjective = shorter(p.MostUrgentObjective, r.Objective)
		}
	}
	for _, r := range routes {
		p.Active = p.Active || p.Yields(r.Priority, r.Objective)
	}
	return p
}

// Yields reports whether a generation can afford to wait for the most urgent ones. An
// account may have a priority of its own, which takes the place of the route's.
func (p Policy) Yields(priority int, objective time.Duration) bool {
	return p.MostUrgentObjective > 0 && priority > p.MostUrgentPriority && objective >= yieldFactor*p.MostUrgentObjective
}

// shorter returns the shorter of two objectives, of which 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 {
		return b
	}
	return min(a, b)
}
