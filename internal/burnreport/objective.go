package burnreport

import (
	"sort"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/adminapi"
)

// Objective is one service-level objective.
type Objective struct {
	Name string `json:"name"`
	// Meaning describes a good event.
	Meaning string `json:"meaning"`
	// Target is the fraction of events that must be good.
	Target float64 `json:"target"`
	events func(adminapi.AccountingRow) accounting.Ratio
}

// Objectives lists the objectives of each service. The first two come from the
// users' requirements (95 percent); the others are defaults until the users
// specify values.
var Objectives = []Objective{
	{"first token", "within 550 ms", 0.95, func(r adminapi.AccountingRow) accounting.Ratio { return r.FirstToken }},
	{"between tokens", "within 61 ms", 0.95, func(r adminapi.AccountingRow) accounting.Ratio { return r.TokenGap }},
	{"no stall", "a gap between tokens below 1 s", 0.999, func(r adminapi.AccountingRow) accounting.Ratio { return r.NoStall }},
	{"whole answers", "a generation that ended whole", 0.999, func(r adminapi.AccountingRow) accounting.Ratio { return r.Complete }},
	{"lookups", "within 250 ms", 0.99, func(r adminapi.AccountingRow) accounting.Ratio { return r.Lookup }},
	{"known outcomes", "a request whose outcome is known", 0.9999, knownOutcomes},
}

func knownOutcomes(r adminapi.AccountingRow) accounting.Ratio {
	ended := r.Refused + r.Ran + r.Unknown
	return accounting.Ratio{Good: r.Refused + r.Ran, Total: ended}
}

// Window is the burn rate over the most recent part of the report period.
type Window struct {
	Length time.Duration    `json:"length_ns"`
	Events accounting.Ratio `json:"events"`
	// BurnRate is -1 if there were no events.
	BurnRate float64 `json:"burn"`
}

// ServiceObjective is the result of one objective for one service.
type ServiceObjective struct {
	Service    string `json:"service"`
	Objective  `json:"objective"`
	SinceStart Window   `json:"since_start"`
	Windows    []Window `json:"windows"`
	// Series holds the burn rate between consecutive samples, for the plot; -1
	// where there were no events.
	Series []float64 `json:"series"`
}

// noEventsBurnRate is the burn rate reported when there were no events.
const noEventsBurnRate = -1

// burnRate returns the fraction of bad events divided by the fraction that target
// allows.
func burnRate(events accounting.Ratio, target float64) float64 {
	if events.Total == 0 {
		return noEventsBurnRate
	}
	badFraction := float64(events.Total-events.Good) / float64(events.Total)
	return badFraction / (1 - target)
}

// editsObjective counts hosts per sample instead of requests: a good event is a
// host that holds the newest table version seen so far.
var editsObjective = Objective{Name: "edits in force", Meaning: "a host, at a sample, with the newest table", Target: 0.99}

// allHosts is the service name in the report for objectives that apply to no
// particular service.
const allHosts = "(all hosts)"

// snapshot is the state of all accounting rows at one time.
type snapshot struct {
	time time.Time
	rows map[accountService]adminapi.AccountingRow
	// editsInForce accumulates over the samples. A host that could not be read
	// counts as a bad event.
	editsInForce accounting.Ratio
}

// serviceEvents sums the events of an objective over the rows of a service.
func (s snapshot) serviceEvents(service string, events func(adminapi.AccountingRow) accounting.Ratio) accounting.Ratio {
	var total accounting.Ratio
	for key, row := range s.rows {
		if key.service == service {
			total = addRatios(total, events(row))
		}
	}
	return total
}

// evaluateObjectives calculates the burn rates. The snapshots are in
// chronological order.
func evaluateObjectives(snapshots []snapshot, windows []time.Duration) []ServiceObjective {
	if len(snapshots) == 0 {
		return nil
	}
	last := snapshots[len(snapshots)-1]
	var results []ServiceObjective
	editsResult := evaluateObjective(snapshots, windows, allHosts, editsObjective, func(s snapshot) accounting.Ratio { return s.editsInForce })
	results = append(results, editsResult)
	for _, service := range serviceNames(last) {
		for _, o := range Objectives {
			result := evaluateObjective(snapshots, windows, service, o, func(s snapshot) accounting.Ratio { return s.serviceEvents(service, o.events) })
			if result.SinceStart.Events.Total > 0 {
				results = append(results, result)
			}
		}
	}
	return results
}

func evaluateObjective(
	snapshots []snapshot, windows []time.Duration, service string, o Objective, events func(snapshot) accounting.Ratio,
) ServiceObjective {
	last := snapshots[len(snapshots)-1]
	current := events(last)
	result := ServiceObjective{Service: service, Objective: o}
	result.SinceStart = Window{Events: current, BurnRate: burnRate(current, o.Target)}
	for _, length := range windows {
		start := snapshotBefore(snapshots, last.time.Add(-length))
		if start == nil {
			continue
		}
		delta := subtractRatios(current, events(*start))
		result.Windows = append(result.Windows, Window{Length: length, Events: delta, BurnRate: burnRate(delta, o.Target)})
	}
	for i := 1; i < len(snapshots); i++ {
		delta := subtractRatios(events(snapshots[i]), events(snapshots[i-1]))
		result.Series = append(result.Series, burnRate(delta, o.Target))
	}
	return result
}

// snapshotBefore returns the last snapshot at or before t, or nil if the report
// does not reach back that far.
func snapshotBefore(snapshots []snapshot, t time.Time) *snapshot {
	for i := len(snapshots) - 1; i >= 0; i-- {
		if !snapshots[i].time.After(t) {
			return &snapshots[i]
		}
	}
	return nil
}

func serviceNames(s snapshot) []string {
	seen := map[string]bool{}
	var names []string
	for key := range s.rows {
		if !seen[key.service] {
			seen[key.service] = true
			names = append(names, key.service)
		}
	}
	sort.Strings(names)
	return names
}
