package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/directory"
)

// exchange is one caller's request and the state of relaying it.
type exchange struct {
	*call.Request
	w http.ResponseWriter
	// conn is the connection of the caller; nil for one without limits.
	conn    *callerconn.Conn
	view    *directory.View
	route   *directory.Route
	service *directory.Service
	account *directory.Account
	// origin is where the stream began that the request takes up; nil for a new one.
	origin *streamorigin.Origin
	// deadline is the time by which the caller gets its final answer.
	deadline time.Time
	// identity identifies the request across attempts, and the parts of its prompt.
	identity poison.Request
	// testRun is set while a request that is known to crash targets may still be sent once.
	testRun atomic.Bool
	// sentAt is when the request was last sent to a target; nil before.
	sentAt atomic.Pointer[time.Time]
}

// checkVerdict returns an error if a request must not be sent since it is known to crash
// targets.
func (g *Gateway) checkVerdict(x *exchange) error {
	if x.testRun.Load() {
		return nil
	}
	return g.cfg.CrashEvidence.check(x.identity)
}

// selectionState records the state from which a target was selected, for the
// logs.
type selectionState struct {
	// view is the newest published state known to this host.
	view *directory.View
	// viewAge is the time from the last confirmation that view was the newest
	// published state to the selection; negative when it was never confirmed.
	viewAge    time.Duration
	selectedAt time.Time
	// exchange is the request.
	exchange *exchange
	// starts is set when the send starts the request and does not continue a generation.
	starts bool
	// run is the request's run at the target.
	run *targetRun
	// lastResort is set when the request can be served by no other target.
	lastResort bool
	// sendDelayNanos is the time in nanoseconds from the selection until the
	// first byte was sent.
	sendDelayNanos atomic.Int64
}

// selectionState returns the state from which a target is selected now.
func (g *Gateway) selectionState(x *exchange) *selectionState {
	return &selectionState{exchange: x, view: g.view(), viewAge: g.cfg.ViewAge(), selectedAt: time.Now()}
}

// recordSend records that the first byte is sent.
func (s *selectionState) recordSend() {
	now := time.Now()
	s.sendDelayNanos.Store(int64(now.Sub(s.selectedAt)))
	s.exchange.sentAt.Store(&now)
}

// LogValue returns the attributes for a log line.
func (s *selectionState) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("revision", s.view.Revision), slog.Duration("age", s.viewAge), slog.Duration("waited", time.Duration(s.sendDelayNanos.Load())),
	)
}

// newSend returns a send of the request to a target.
func (x *exchange) newSend(target *directory.ObservedTarget) *call.Attempt {
	s := &call.Attempt{TestRun: x.testRun.Swap(false), Request: x.Request, Target: target.Target, TimeRemaining: time.Until(x.deadline), Priority: -1, Fingerprint: x.identity.Fingerprint, PromptParts: x.identity.Parts}
	if x.account != nil {
		s.Account = x.account.Name
	}
	if x.service.Engine != nil {
		s.Priority = x.priority()
	}
	return s
}

// priority returns the account's priority if it has one, else the route's.
func (x *exchange) priority() int {
	p := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		p = *x.account.Priority
	}
	return min(max(p, 0), lowestPriority)
}

// lowestPriority is the least urgent priority that targets support; 0 is the
// most urgent.
const lowestPriority = 9

// budgetKey returns the key of the retry budget, which limits the retries to a
// service.
func (x *exchange) budgetKey() retrybudget.Key {
	return retrybudget.Key{Account: accountName(x.account), Service: x.service.Name}
}

func accountName(a *directory.Account) string {
	if a == nil {
		return "-"
	}
	return a.Name
}
