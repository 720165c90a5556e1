package gateway

import (
	"net/http"
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

// send makes a sending of the request to a target.
func (x *exchange) send(target *directory.Seen) *call.Send {
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
