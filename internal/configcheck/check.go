// Package configcheck checks a configuration before operators publish it and
// compares it with another version. It reads no files and changes nothing.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/directory"
)

// Severity tells errors from warnings.
type Severity string

// The severities. An error is something that the product can't serve as written
// or that contradicts itself; a warning is something that has no effect or that
// is probably not intended.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the path of the field in the document, for example
	// routes[2].prefix.
	Place string `json:"place"`
	// Line and Column are those of the value, or of the closest enclosing value
	// if the field is missing.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: line %d, column %d: %s: %s", f.Severity, f.Line, f.Column, f.Place, f.Message)
}

// Check returns all findings in the order of the document.
func Check(d *Document) []Finding {
	c := &checker{Document: d, findings: slices.Clone(d.structural), services: map[string]*directory.Service{}}
	c.checkServices()
	c.checkRoutes()
	c.checkUnusedServices()
	c.checkAccounts()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.findings
}

type checker struct {
	*Document
	findings []Finding
	// services holds the first service of each name.
	services map[string]*directory.Service
}

func (c *checker) errorf(place, format string, args ...any) {
	c.report(SeverityError, place, format, args...)
}

func (c *checker) warnf(place, format string, args ...any) {
	c.report(SeverityWarning, place, format, args...)
}

func (c *checker) report(severity Severity, place, format string, args ...any) {
	line, column := c.lineColumn(c.offset(place))
	c.findings = append(c.findings, Finding{Severity: severity, Place: place, Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

// offset returns the offset of a place, or of the closest enclosing value if the
// document lacks the field.
func (d *Document) offset(place string) int {
	for {
		if offset, found := d.offsets[place]; found || place == "" {
			return offset
		}
		place = place[:max(strings.LastIndexAny(place, ".["), 0)]
	}
}

// checkName reports a missing name and returns whether there is one.
func (c *checker) checkName(place, name string) bool {
	if name == "" {
		c.errorf(place+".name", "the name is missing")
	}
	return name != ""
}

// number is a number type of the configuration's fields.
type number interface {
	~int | ~int64 | ~float64
}

// checkNotNegative reports a number below 0.
func checkNotNegative[T number](c *checker, place string, value T) {
	if value < 0 {
		c.errorf(place, "the value must be at least 0")
	}
}

// checkUnique reports a name that an earlier entry has, and records a new one in places. It
// returns whether the name is new.
func (c *checker) checkUnique(report func(place, format string, args ...any), places map[string]string, place, name string) bool {
	first, exists := places[name]
	if exists {
		report(place+".name", "%s is also named %q", first, name)
		return false
	}
	places[name] = place
	return true
}

func (c *checker) checkServices() {
	places := map[string]string{}
	for i := range c.Config.Services {
		s, place := &c.Config.Services[i], fmt.Sprintf("services[%d]", i)
		if c.checkName(place, s.Name) {
			if c.checkUnique(c.errorf, places, place, s.Name) {
				c.services[s.Name] = s
			}
		}
		checkNotNegative(c, place+".max_connections", s.MaxConnections)
		checkNotNegative(c, place+".cold_rate", s.ColdRequestsPerSecond)
		if s.Engine != nil {
			c.checkEngine(place+".engine", s.Engine)
		}
	}
}

func (c *checker) checkEngine(place string, e *directory.Engine) {
	if e.MemoryTokens < 1 {
		c.errorf(place+".memory_tokens", "the memory must be at least 1 token; with 0, generations are placed without regard to it")
	}
	// Targets report their own slots; those of the configuration may be 0.
	checkNotNegative(c, place+".slots", e.Slots)
	if e.TokensPerEvent < 1 {
		c.errorf(place+".tokens_per_event", "the value must be at least 1")
	}
	checkNotNegative(c, place+".bytes_per_token", e.BytesPerToken)
	checkNotNegative(c, place+".link_mbps", e.LinkMbps)
	checkNotNegative(c, place+".copy_kept", e.CopyTTL)
	checkNotNegative(c, place+".hold_limit", e.MaxReservationTime)
}

func (c *checker) checkUnusedServices() {
	used := map[string]bool{}
	for _, r := range c.Config.Routes {
		for _, b := range r.Backends {
			used[b.Service] = true
		}
	}
	for i, s := range c.Config.Services {
		if s.Name != "" && !used[s.Name] {
			c.warnf(fmt.Sprintf("services[%d]", i), "no route uses service %q", s.Name)
		}
	}
}

func (c *checker) checkRoutes() {
	if len(c.Config.Routes) == 0 {
		c.warnf("routes", "there is no route, so that every request is refused")
	}
	type match struct{ host, prefix string }
	placeByMatch, placeByName := map[match]string{}, map[string]string{}
	for i := range c.Config.Routes {
		r, place := &c.Config.Routes[i], fmt.Sprintf("routes[%d]", i)
		if c.checkName(place, r.Name) {
			c.checkUnique(c.warnf, placeByName, place, r.Name)
		}
		if r.Host == "" {
			c.errorf(place+".host", "the host is missing")
		}
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			c.errorf(place+".prefix", "the prefix does not begin with /, so that no request matches")
		}
		m := match{r.Host, r.Prefix}
		if first, exists := placeByMatch[m]; exists {
			c.errorf(place+".prefix", "%s has the same host and prefix, so that this route never matches", first)
		} else {
			placeByMatch[m] = place
		}
		c.checkRouteLimits(place, r)
		c.checkBackends(place, r)
	}
}

func (c *checker) checkRouteLimits(place string, r *directory.Route) {
	generation := r.Kind == directory.Generation
	if r.Kind.String() == "" {
		c.errorf(place+".kind", "the kind is missing or unknown; allowed: %d (%v), %d (%v), %d (%v)",
			directory.AtMostOnce, directory.AtMostOnce, directory.Repeatable, directory.Repeatable, directory.Generation, directory.Generation)
	}
	checkNotNegative(c, place+".timeout", r.Timeout)
	checkNotNegative(c, place+".priority", r.Priority)
	c.checkObjective(place+".objective", "objective", r.LatencyObjective, r.Timeout)
	c.checkObjective(place+".pause_objective", "objective for pauses", r.PauseObjective, r.Timeout)
	if r.PauseObjective > 0 && !generation {
		c.warnf(place+".pause_objective", "the objective for pauses has no effect, because the route is not for generations")
	}
	if r.MaxAttempts < 1 {
		c.errorf(place+".attempts", "a request needs at least 1 attempt")
	}
	switch {
	case r.Resumable && !generation:
		c.warnf(place+".resumable", "the route is resumable but not for generations")
	case r.Resumable && r.MaxAttempts == 1:
		c.warnf(place+".resumable", "the route is resumable, but its single attempt leaves none to resume with")
	}
}

// checkObjective reports an objective that can't be met. A route without a
// timeout has that of the gateway, which is not part of the configuration.
func (c *checker) checkObjective(place, name string, objective, timeout time.Duration) {
	checkNotNegative(c, place, objective)
	if timeout > 0 && objective > timeout {
		c.errorf(place, "the %s of %s is above the timeout of %s", name, formatDuration(objective), formatDuration(timeout))
	}
}

func (c *checker) checkBackends(place string, r *directory.Route) {
	if len(r.Backends) == 0 {
		c.errorf(place+".backends", "the route has no backend")
		return
	}
	positive, negative := false, false
	firstPlace := map[string]string{}
	for i, b := range r.Backends {
		backend := fmt.Sprintf("%s.backends[%d]", place, i)
		positive, negative = positive || b.Weight > 0, negative || b.Weight < 0
		checkNotNegative(c, backend+".weight", b.Weight)
		if first, exists := firstPlace[b.Service]; exists {
			c.warnf(backend+".service", "%s also names service %q", first, b.Service)
			continue
		}
		firstPlace[b.Service] = backend
		c.checkBackendService(backend+".service", r, b.Service)
	}
	if !positive && !negative {
		c.errorf(place+".backends", "all weights are 0")
	}
}

func (c *checker) checkBackendService(place string, r *directory.Route, name string) {
	s, known := c.services[name]
	switch {
	case name == "":
		c.errorf(place, "the service is missing")
	case !known:
		c.errorf(place, "there is no service %q", name)
	case r.Kind == directory.Generation && s.Engine == nil:
		c.errorf(place, "the route is for generations, but service %q has no engine", name)
	case r.Kind != directory.Generation && r.Kind.String() != "" && s.Engine != nil:
		c.errorf(place, "the route is not for generations, but service %q has an engine", name)
	}
}

func (c *checker) checkAccounts() {
	type keyOwner struct {
		account int
		place   string
	}
	ownerByKey, placeByName := map[string]keyOwner{}, map[string]string{}
	for i, a := range c.Config.Accounts {
		place := fmt.Sprintf("accounts[%d]", i)
		if c.checkName(place, a.Name) {
			c.checkUnique(c.errorf, placeByName, place, a.Name)
		}
		if len(a.Keys) == 0 {
			c.warnf(place+".keys", "account %q has no key, so that no request can be its", a.Name)
		}
		if a.Priority != nil {
			checkNotNegative(c, place+".priority", *a.Priority)
		}
		for k, key := range a.Keys {
			keyPlace := fmt.Sprintf("%s.keys[%d]", place, k)
			owner, exists := ownerByKey[key]
			switch {
			case key == "":
				c.errorf(keyPlace, "the key is empty")
			case !exists:
				ownerByKey[key] = keyOwner{i, keyPlace}
			case owner.account == i:
				c.warnf(keyPlace, "the key is the same as %s", owner.place)
			default:
				c.errorf(keyPlace, "the key is the same as %s of account %q", owner.place, c.Config.Accounts[owner.account].Name)
			}
		}
	}
	private := slices.ContainsFunc(c.Config.Routes, func(r directory.Route) bool { return !r.Public })
	if c.Config.Accounts != nil && len(c.Config.Accounts) == 0 && private {
		c.warnf("accounts", "the list is empty, so that routes that are not public refuse every request; null means that no request needs a key")
	}
}

func (c *checker) checkLimits() {
	if c.Config.Version == 0 {
		c.errorf("version", "the version is missing; allowed: a whole number above 0")
	}
	l := c.Config.Limits
	checkNotNegative(c, "limits.header_bytes", l.HeaderBytes)
	checkNotNegative(c, "limits.body_bytes", l.BodyBytes)
	checkNotNegative(c, "limits.header_timeout", l.HeaderTimeout)
	checkNotNegative(c, "limits.idle_timeout", l.IdleTimeout)
}
