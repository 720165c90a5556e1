package gateway

import (
	"net/http"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/failure"
)

// denyIfCurrent returns a denial when this host's configuration is current,
// else a retryable failure. A host that the configuration store refuses to serve
// holds an old configuration while other hosts serve a new route or key. Its
// caller may try those, and must not get a final answer that there is none.
func (g *Gateway) denyIfCurrent(denial *failure.Error) error {
	if g.cfg.ViewCurrent() {
		return denial
	}
	return failure.Wrap(denial, failure.KindNotReady, "the configuration of this host may be out of date").WithRetryAfter(notReadyRetryAfter)
}

// Refuse answers a request that was not admitted, for example during shutdown.
func (g *Gateway) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	req, readErr := g.cfg.Dialect.ParseRequest(r, nil, time.Now())
	if readErr != nil {
		g.cfg.Log.Debug("cannot parse the refused request", "error", readErr)
	}
	g.refuse(w, req, err)
}

// refuse answers a request with a failure of the gateway's own. A status that
// means that the request has not run is only sent where that is certain.
func (g *Gateway) refuse(w http.ResponseWriter, req *call.Request, err error) {
	f := withExecutedStatus(failure.FromError(err))
	id := ""
	if req != nil {
		id = req.ID
		f.RetryAfter = capRetryAfter(f.RetryAfter, req)
	}
	g.metrics.countRefused(f.Kind)
	g.cfg.Log.Info("request refused", "request", id, "kind", f.Kind, "executed", f.Executed, "retry_after", f.RetryAfter, "cause", f.Error())
	g.cfg.Dialect.WriteError(w, id, f)
}

// capRetryAfter shortens a retry delay so that the client has time for another
// try.
func capRetryAfter(retry time.Duration, req *call.Request) time.Duration {
	if req.ClientTimeout == 0 {
		return retry
	}
	return min(retry, max(req.ClientTimeout-time.Since(req.ArrivedAt), 0)/maxRetryAfterDivisor)
}

// withExecutedStatus returns a failure whose status agrees with what is known
// of the request's execution. A status that means "not executed" is only used
// where that is certain. Where it is certain, and the request itself is valid,
// such a status is always used, since callers retry only after one.
func withExecutedStatus(f *failure.Error) *failure.Error {
	switch {
	case f.Kind == failure.KindPoison && f.Executed == failure.ExecutedNo:
		return failure.Wrap(f, failure.KindOverloaded, "the request is not sent to targets").WithRetryAfter(f.RetryAfter)
	case impliesNotExecuted(f.Status()) && f.Executed != failure.ExecutedNo:
		return failure.Wrap(f, failure.KindOutcomeUnknown, "the request may have run").WithExecutionUnknown()
	case !impliesNotExecuted(f.Status()) && f.Executed == failure.ExecutedNo && !isClientError(f.Kind):
		return failure.Wrap(f, failure.KindNoTarget, "the request did not run").WithRetryAfter(unreachedRetryAfter)
	}
	return f
}

// isClientError reports whether the request itself is at fault, so that it
// would fail again.
func isClientError(k failure.Kind) bool {
	switch k {
	case failure.KindBadRequest, failure.KindUnauthorized, failure.KindForbidden, failure.KindNotFound,
		failure.KindMethod, failure.KindBodyTooLarge, failure.KindHeadersTooLarge, failure.KindNotResumable:
		return true
	}
	return false
}

// impliesNotExecuted reports whether a status tells callers that the request
// has not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// WriteError answers a request whose head was not read to its end.
func (g *Gateway) WriteError(w http.ResponseWriter, err error) {
	f := failure.FromError(err)
	g.metrics.countRefused(f.Kind)
	g.cfg.Dialect.WriteError(w, "", f)
}
