package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/directory"
)

// exchange is one caller's request on its way.
type exchange struct {
	*call.Request
	w       http.ResponseWriter
	view    *directory.View
	route   *directory.Route
	service *directory.Service
	account *directory.Account
	// deadline is when the caller gets its final answer at the latest.
	deadline time.Time
	// fingerprint names the request over its attempts.
	fingerprint uint64
}

// basis is what a target was chosen by.
type basis struct {
	// view is what was published as far as this host knew.
	view *directory.View
	// age is how long before the choice it was known that nothing newer had been
	// published; negative when it never was.
	age time.Duration
	at  time.Time
	// waited is the time from the choice until the first byte was sent.
	waited atomic.Int64
}

// basis gives what a target is chosen by now.
func (g *Gateway) basis() *basis { return &basis{view: g.view(), age: g.cfg.ViewAge(), at: time.Now()} }

// sent notes that the first byte is sent.
func (b *basis) sent() { b.waited.Store(int64(time.Since(b.at))) }

// LogValue gives what a log line says of the basis.
func (b *basis) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("revision", b.view.Revision), slog.Duration("age", b.age), slog.Duration("waited", time.Duration(b.waited.Load())),
	)
}

// send makes a sending of the request to a target.
func (x *exchange) send(target *directory.ObservedTarget) *call.Send {
	s := &call.Send{Request: x.Request, Target: target.Target, Left: time.Until(x.deadline), Priority: -1}
	if x.account != nil {
		s.Account = x.account.Name
	}
	if x.service.Engine != nil {
		s.Priority = x.priority()
	}
	return s
}

// priority is the account's where it has one, else the route's.
func (x *exchange) priority() int {
	p := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		p = *x.account.Priority
	}
	return min(max(p, 0), mostPriority)
}

// mostPriority is the least urgent rank that targets know.
const mostPriority = 9

// budgetKey names the service alone: the bound on sending again is a
// service's.
func (x *exchange) budgetKey() retrybudget.Key {
	return retrybudget.Key{Account: accountName(x.account), Service: x.service.Name}
}

func accountName(a *directory.Account) string {
	if a == nil {
		return "-"
	}
	return a.Name
}
