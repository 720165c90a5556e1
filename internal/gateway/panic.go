package gateway

import (
	"net/http"
	"runtime/debug"

	"filbertdeck/internal/call"
	"filbertdeck/internal/failure"
)

// logPanic, when it is deferred, logs and counts a panic of the request handler. net/http would
// write it to standard error as plain text, without the request's id. The connection is then
// closed, so that the caller cannot take the answer for a complete one. A handler that breaks
// an answer off panics with http.ErrAbortHandler. req is nil until the request is read.
func (g *Gateway) logPanic(req **call.Request) {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		id := ""
		if *req != nil {
			id = (*req).ID
		}
		err := failure.New(failure.KindInternal, "the request handler panicked: %v", value).WithExecutionUnknown()
		g.metrics.panics.Inc(1)
		g.cfg.Log.Error("request handler panicked", "request", id, "kind", err.Kind, "executed", err.Executed, "cause", err, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}
