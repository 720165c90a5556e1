package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"filbertdeck/internal/directory"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is one difference between two versions of a configuration. Keys are
// secret: they are only counted.
type Difference struct {
	Change Change `json:"change"`
	// Subject is what changed, for example "objective of route X".
	Subject string `json:"subject"`
	// Old and New are empty unless a value changed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Text is the difference as one line.
	Text string `json:"text"`
}

// Diff returns the differences from old to next: routes, services, accounts and
// limits, each in the order of next with what was removed last. Routes, services
// and accounts are compared by name; their order has no effect in the product and
// is not compared.
func Diff(old, next *directory.Config) []Difference {
	d := &differ{}
	d.fields("", []field{{"version", fmt.Sprint(old.Version)}}, []field{{"version", fmt.Sprint(next.Version)}})
	compareByName(d, "route", old.Routes, next.Routes, func(r directory.Route) string { return r.Name }, d.route)
	compareByName(d, "service", old.Services, next.Services, func(s directory.Service) string { return s.Name }, d.service)
	d.fields("", accessFields(old), accessFields(next))
	compareByName(d, "account", old.Accounts, next.Accounts, func(a directory.Account) string { return a.Name }, d.account)
	d.fields("limits", limitFields(old.Limits), limitFields(next.Limits))
	return d.differences
}

// CheckSuccessor returns the findings on a version that is to replace old.
func CheckSuccessor(old, next *Document) []Finding {
	c := &checker{Document: next}
	switch before, after := old.Config.Version, next.Config.Version; {
	case after < before:
		c.errorf("version", "the version is below that of the other configuration, %d, so that hosts ignore it", before)
	case after == before && len(Diff(old.Config, next.Config)) > 0:
		c.warnf("version", "the version is the same as that of the other configuration, which differs")
	}
	return c.findings
}

type differ struct{ differences []Difference }

func (d *differ) add(change Change, subject, old, next, format string, args ...any) {
	d.differences = append(d.differences, Difference{change, subject, old, next, fmt.Sprintf(format, args...)})
}

// field is a field in an operator's words.
type field struct{ name, value string }

// fields compares fields that stand in the same order in both slices.
func (d *differ) fields(owner string, old, next []field) {
	for i, f := range next {
		if old[i].value == f.value {
			continue
		}
		subject := f.name
		if owner != "" {
			subject += " of " + owner
		}
		d.add(ChangeChanged, subject, old[i].value, f.value, "%s from %s to %s", subject, old[i].value, f.value)
	}
}

// compareByName reports added and removed items and compares those with the same
// name. Further items of a name are numbered.
func compareByName[T any](d *differ, kind string, old, next []T, nameOf func(T) string, compare func(subject string, old, next T)) {
	oldNames, oldItems := indexByName(old, nameOf)
	nextNames, nextItems := indexByName(next, nameOf)
	for _, name := range nextNames {
		subject := kind + " " + name
		if before, exists := oldItems[name]; exists {
			compare(subject, before, nextItems[name])
		} else {
			d.add(ChangeAdded, subject, "", "", "%s added", subject)
		}
	}
	for _, name := range oldNames {
		if _, exists := nextItems[name]; !exists {
			d.add(ChangeRemoved, kind+" "+name, "", "", "%s %s removed", kind, name)
		}
	}
}

func indexByName[T any](items []T, nameOf func(T) string) (names []string, byName map[string]T) {
	byName = map[string]T{}
	counts := map[string]int{}
	for _, item := range items {
		name := formatName(nameOf(item))
		counts[name]++
		if n := counts[name]; n > 1 {
			name = fmt.Sprintf("%s (%d)", name, n)
		}
		names, byName[name] = append(names, name), item
	}
	return names, byName
}

func (d *differ) route(subject string, old, next directory.Route) {
	d.fields(subject, routeFields(old), routeFields(next))
	before, after := weightsByService(old.Backends), weightsByService(next.Backends)
	for _, service := range slices.Sorted(maps.Keys(after)) {
		name := formatName(service)
		weight, existed := before[service]
		if !existed {
			d.add(ChangeAdded, "service "+name+" in "+subject, "", "", "service %s added to %s with weight %d", name, subject, after[service])
			continue
		}
		label := "weight of service " + name + " in " + subject
		d.fields("", []field{{label, strconv.Itoa(weight)}}, []field{{label, strconv.Itoa(after[service])}})
	}
	for _, service := range slices.Sorted(maps.Keys(before)) {
		if _, exists := after[service]; !exists {
			d.add(ChangeRemoved, "service "+formatName(service)+" in "+subject, "", "", "service %s removed from %s", formatName(service), subject)
		}
	}
}

func weightsByService(backends []directory.Backend) map[string]int {
	weights := map[string]int{}
	for _, b := range backends {
		weights[b.Service] += b.Weight
	}
	return weights
}

func routeFields(r directory.Route) []field {
	return []field{
		{"host", formatName(r.Host)},
		{"prefix", formatName(r.Prefix)},
		{"kind", formatKind(r.Kind)},
		{"timeout", formatDuration(r.Timeout)},
		{"objective", formatDuration(r.LatencyObjective)},
		{"objective for pauses", formatDuration(r.PauseObjective)},
		{"gap after which callers leave", formatDuration(r.MaxEventGap)},
		{"attempts", strconv.Itoa(r.MaxAttempts)},
		{"priority", strconv.Itoa(r.Priority)},
		{"public", formatBool(r.Public)},
		{"resumable", formatBool(r.Resumable)},
	}
}

func (d *differ) service(subject string, old, next directory.Service) {
	d.fields(subject, serviceFields(old), serviceFields(next))
	switch {
	case old.Engine == nil && next.Engine != nil:
		d.add(ChangeAdded, "engine of "+subject, "", "", "engine added to %s", subject)
	case old.Engine != nil && next.Engine == nil:
		d.add(ChangeRemoved, "engine of "+subject, "", "", "engine removed from %s", subject)
	case next.Engine != nil:
		d.fields("the engine of "+subject, engineFields(*old.Engine), engineFields(*next.Engine))
	}
}

func serviceFields(s directory.Service) []field {
	return []field{
		{"health path", formatName(s.HealthPath)},
		{"connections", strconv.Itoa(s.MaxConnections)},
		{"requests per second while cold", formatNumber(s.ColdRequestsPerSecond)},
	}
}

func engineFields(e directory.Engine) []field {
	return []field{
		{"slots", strconv.Itoa(e.Slots)},
		{"memory in tokens", strconv.Itoa(e.MemoryTokens)},
		{"moves", formatBool(e.CanMigrate)},
		{"backups", formatBool(e.KeepsBackups)},
		{"tokens per event", strconv.Itoa(e.TokensPerEvent)},
		{"bytes per token", formatNumber(e.BytesPerToken)},
		{"link in Mbit/s", formatNumber(e.LinkMbps)},
		{"time for which copies are kept", formatDuration(e.CopyTTL)},
		{"limit of reservations", formatDuration(e.MaxReservationTime)},
	}
}

func (d *differ) account(subject string, old, next directory.Account) {
	d.fields(subject, []field{{"priority", formatPriority(old.Priority)}}, []field{{"priority", formatPriority(next.Priority)}})
	if n := countMissing(next.Keys, old.Keys); n > 0 {
		d.add(ChangeAdded, "keys of "+subject, "", "", "%s added to %s", formatKeyCount(n), subject)
	}
	if n := countMissing(old.Keys, next.Keys); n > 0 {
		d.add(ChangeRemoved, "keys of "+subject, "", "", "%s removed from %s", formatKeyCount(n), subject)
	}
}

// countMissing returns how many different keys are not among others.
func countMissing(keys, others []string) int {
	missing := map[string]bool{}
	for _, k := range keys {
		if !slices.Contains(others, k) {
			missing[k] = true
		}
	}
	return len(missing)
}

// accessFields tells a configuration without accounts, in which no request needs a
// key, from one with an empty list.
func accessFields(c *directory.Config) []field {
	return []field{{"keys needed on routes that are not public", formatBool(c.Accounts != nil)}}
}

func limitFields(l directory.Limits) []field {
	return []field{
		{"header size in bytes", strconv.Itoa(l.HeaderBytes)},
		{"body size in bytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"timeout for headers", formatDuration(l.HeaderTimeout)},
		{"timeout of idle connections", formatDuration(l.IdleTimeout)},
	}
}

func formatKeyCount(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

// formatName returns a text of the document. Texts with unusual characters are
// quoted, because they may hold line breaks or terminal control sequences.
func formatName(s string) string {
	if q := strconv.Quote(s); s == "" || q != `"`+s+`"` {
		return q
	}
	return s
}

func formatKind(k directory.RequestKind) string {
	if name := k.String(); name != "" {
		return name
	}
	return strconv.Itoa(int(k))
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

func formatPriority(p *int) string {
	if p == nil {
		return "that of the route"
	}
	return strconv.Itoa(*p)
}

// formatDuration returns a duration in milliseconds if it is below a second and in
// seconds otherwise.
func formatDuration(d time.Duration) string {
	if d.Abs() < time.Second && d != 0 {
		return formatNumber(float64(d)/float64(time.Millisecond)) + " ms"
	}
	return formatNumber(d.Seconds()) + " s"
}
