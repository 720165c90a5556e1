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
	// Meaning says what a good event is.
	Meaning string `json:"meaning"`
	// Target is the part of events that must be good.
	Target float64 `json:"target"`
	count  func(adminapi.AccountingRow) accounting.Ratio
}

// Objectives lists the objectives. The first two are the users' figures (95 in
// 100); the others are this project's until the users name theirs.
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

// Window is a burn rate over the last part of the report.
type Window struct {
	Length time.Duration    `json:"length_ns"`
	Events accounting.Ratio `json:"events"`
	// Burn is -1 when there were no events.
	Burn float64 `json:"burn"`
}

// ServiceObjective is one objective of one service.
type ServiceObjective struct {
	Service   string `json:"service"`
	Objective `json:"objective"`
	Since     Window   `json:"since_start"`
	Windows   []Window `json:"windows"`
	// Series is the burn rate between each two samples, for the plot; -1 where
	// there were no events.
	Series []float64 `json:"series"`
}

// noEvents stands for a burn rate of no events.
const noEvents = -1

func burnOf(events accounting.Ratio, target float64) float64 {
	if events.Total == 0 {
		return noEvents
	}
	bad := float64(events.Total-events.Good) / float64(events.Total)
	return bad / (1 - target)
}

// editsInForce is judged by samples, not by requests: a good event is a host
// that holds the newest table seen so far.
var editsInForce = Objective{Name: "edits in force", Meaning: "a host, at a sample, with the newest table", Target: 0.99}

// fleetWide stands in the report for what belongs to no service.
const fleetWide = "(all hosts)"

// point is the state of all rows at one time.
type point struct {
	at   time.Time
	rows map[key]adminapi.AccountingRow
	// inForce counts up from sample to sample; a host that was not read is no
	// good event.
	inForce accounting.Ratio
}

// ofService adds an objective's events of a service's rows.
func (p point) ofService(service string, count func(adminapi.AccountingRow) accounting.Ratio) accounting.Ratio {
	var total accounting.Ratio
	for k, row := range p.rows {
		if k.service == service {
			total = sum(total, count(row))
		}
	}
	return total
}

// objectives works the burn rates out; points are in the order of time.
func objectives(points []point, windows []time.Duration) []ServiceObjective {
	if len(points) == 0 {
		return nil
	}
	last := points[len(points)-1]
	var out []ServiceObjective
	edits := serviceObjective(points, windows, fleetWide, editsInForce, func(p point) accounting.Ratio { return p.inForce })
	out = append(out, edits)
	for _, service := range services(last) {
		for _, o := range Objectives {
			so := serviceObjective(points, windows, service, o, func(p point) accounting.Ratio { return p.ofService(service, o.count) })
			if so.Since.Events.Total > 0 {
				out = append(out, so)
			}
		}
	}
	return out
}

func serviceObjective(
	points []point, windows []time.Duration, service string, o Objective, events func(point) accounting.Ratio,
) ServiceObjective {
	last := points[len(points)-1]
	now := events(last)
	so := ServiceObjective{Service: service, Objective: o}
	so.Since = Window{Events: now, Burn: burnOf(now, o.Target)}
	for _, length := range windows {
		begin := before(points, last.at.Add(-length))
		if begin == nil {
			continue
		}
		part := minus(now, events(*begin))
		so.Windows = append(so.Windows, Window{Length: length, Events: part, Burn: burnOf(part, o.Target)})
	}
	for i := 1; i < len(points); i++ {
		part := minus(events(points[i]), events(points[i-1]))
		so.Series = append(so.Series, burnOf(part, o.Target))
	}
	return so
}

// before gives the last point not after at, nil when the report does not reach
// back so far.
func before(points []point, at time.Time) *point {
	for i := len(points) - 1; i >= 0; i-- {
		if !points[i].at.After(at) {
			return &points[i]
		}
	}
	return nil
}

func services(p point) []string {
	seen := map[string]bool{}
	var out []string
	for k := range p.rows {
		if !seen[k.service] {
			seen[k.service] = true
			out = append(out, k.service)
		}
	}
	sort.Strings(out)
	return out
}
