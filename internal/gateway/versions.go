package gateway

import (
	"log/slog"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/targetversions"
	"filbertdeck/internal/directory"
)

// serviceVersions holds the versions of software that this host has seen services
// serve with. It is safe for concurrent use.
type serviceVersions struct {
	now func() time.Duration
	log *slog.Logger

	mu       sync.Mutex
	history  *targetversions.History
	observed *directory.View
	// several is the number of services with more than one version.
	several int64
}

func newServiceVersions(now func() time.Duration, log *slog.Logger, reg gometrics.Registry) *serviceVersions {
	v := &serviceVersions{now: now, log: log, history: targetversions.New()}
	_ = reg.Register("gateway.services_with_versions", gometrics.NewFunctionalGauge(v.severalCount))
	return v
}

// observe records the versions in the newest view.
func (v *serviceVersions) observe(view *directory.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view == v.observed {
		return
	}
	v.observed, v.several = view, 0
	for service := range view.Services() {
		versions := view.ServiceVersions(service)
		if len(versions) > 1 {
			v.several++
		}
		if change, changed := v.history.Observe(v.now(), service, versions); changed {
			v.log.Info("service's versions changed", "service", service, "before", change.Before, "now", change.Now, "revision", view.Revision)
		}
	}
}

// within returns the only version that a service has had for a time, and whether it had
// several within it.
func (v *serviceVersions) within(service string, window time.Duration) (only string, one, several bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	only, one = v.history.Only(v.now(), service, window)
	return only, one, v.history.Several(v.now(), service, window)
}

func (v *serviceVersions) severalCount() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.several
}
