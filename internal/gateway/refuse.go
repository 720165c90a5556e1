package gateway

import (
	"net/http"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/failure"
)

// deny gives a denial where it is certain. A host that the store turns away
// holds an old configuration while others serve a route or key that is new:
// its caller may try those instead of being told for good that there is none.
func (g *Gateway) deny(denial *failure.Error) error {
	if g.cfg.ViewCurrent() {
		return denial
	}
	return failure.Wrap(denial, failure.KindNotReady, "the configuration held here may be out of date").After(notReadyRetry)
}

// Refuse answers a request that was not begun, such as while the process
// stops.
func (g *Gateway) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	req, readErr := g.cfg.Dialect.ReadRequest(r, nil, time.Now())
	if readErr != nil {
		g.cfg.Log.Debug("refused request can't be read", "error", readErr)
	}
	g.refuse(w, req, err)
}

// refuse answers a request that the system itself ends. A status that promises
// that the request has not run is only given where that is certain.
func (g *Gateway) refuse(w http.ResponseWriter, req *call.Request, err error) {
	f := honest(failure.From(err))
	id := ""
	if req != nil {
		id = req.ID
		f.RetryAfter = withinPatience(f.RetryAfter, req)
	}
	g.meters.refused(f.Kind)
	g.cfg.Log.Info("request refused", "request", id, "kind", f.Kind, "executed", f.Executed, "retry_after", f.RetryAfter, "cause", f.Error())
	g.cfg.Dialect.WriteFailure(w, id, f)
}

// withinPatience shortens a time to come back to what the client's patience
// allows.
func withinPatience(retry time.Duration, req *call.Request) time.Duration {
	if req.Patience == 0 {
		return retry
	}
	return min(retry, max(req.Patience-time.Since(req.Arrived), 0)/patienceShare)
}

// honest gives a failure whose status says what is known: one that promises
// that the request has not run only where that is certain, and where it is
// certain, and the request itself is in order, one that says so: callers may
// come again after it, and after no other.
func honest(f *failure.Error) *failure.Error {
	switch {
	case promises(f.Status()) && f.Executed != failure.ExecutedNo:
		return failure.Wrap(f, failure.KindOutcomeUnknown, "the request may have run").Unknown()
	case !promises(f.Status()) && f.Executed == failure.ExecutedNo && !callersFault(f.Kind):
		return failure.Wrap(f, failure.KindNoTarget, "the request did not run").After(unreachedRetry)
	}
	return f
}

// callersFault tells whether a failure lies in the request itself: sent again,
// it fails again.
func callersFault(k failure.Kind) bool {
	switch k {
	case failure.KindBadRequest, failure.KindUnauthorized, failure.KindForbidden, failure.KindNotFound,
		failure.KindMethod, failure.KindBodyTooLarge, failure.KindHeadersTooLarge:
		return true
	}
	return false
}

// promises tells whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
