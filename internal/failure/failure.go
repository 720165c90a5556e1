// Package failure defines the typed errors of the system.
//
// An error carries what a caller needs to react to it: its kind, whether the
// request was executed at a target, and when a retry makes sense. Callers
// receive it as an RFC 9457 problem document.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies an error. Its value is the last part of the problem
// document's type URI and never changes once published.
type Kind string

// The error kinds that callers and operators can receive.
const (
	KindBadRequest       Kind = "bad-request"
	KindUnauthorized     Kind = "unauthorized"
	KindForbidden        Kind = "forbidden"
	KindUnknownService   Kind = "unknown-service"
	KindNotFound         Kind = "not-found"
	KindMethod           Kind = "method-not-allowed"
	KindBodyTooLarge     Kind = "body-too-large"
	KindHeadersTooLarge  Kind = "headers-too-large"
	KindOverloaded       Kind = "overloaded"
	KindAccountLimit     Kind = "account-limit"
	KindNoTarget         Kind = "no-target"
	KindDeadline         Kind = "deadline"
	KindPoison           Kind = "poison-request"
	KindTooLarge         Kind = "request-too-large-for-service"
	KindTargetFailed     Kind = "target-failed"
	KindTargetLost       Kind = "target-lost"
	KindTargetTimeout    Kind = "target-timeout"
	KindTargetLeft       Kind = "target-left"
	KindTargetResting    Kind = "target-resting"
	KindFrameOutOfPlace  Kind = "frame-out-of-place"
	KindControlLost      Kind = "control-unreachable"
	KindStopping         Kind = "stopping"
	KindNotReady         Kind = "not-ready"
	KindHandleInvalid    Kind = "resume-handle-invalid"
	KindHandleExpired    Kind = "resume-handle-expired"
	KindGenerationGone   Kind = "generation-gone"
	KindNotResumable     Kind = "not-resumable"
	KindStreamUnknown    Kind = "stream-unknown"
	KindKeyInvalid       Kind = "idempotency-key-invalid"
	KindKeyExpired       Kind = "idempotency-key-expired"
	KindKeyReused        Kind = "idempotency-key-reused"
	KindKeyRequired      Kind = "idempotency-key-required"
	KindKeyUnvouched     Kind = "idempotency-key-unvouched"
	KindOwnerLost        Kind = "idempotency-owner-lost"
	KindInProgress       Kind = "in-progress"
	KindOutcomeUnknown   Kind = "outcome-unknown"
	KindLeaseLost        Kind = "lease-lost"
	KindFenced           Kind = "fenced"
	KindTableInvalid     Kind = "table-invalid"
	KindSettingInvalid   Kind = "setting-invalid"
	KindConfigUnreadable Kind = "configuration-unreadable"
	// KindHistoryGone means that the configuration service no longer has the
	// requested changes; the reader must fetch the full configuration.
	KindHistoryGone Kind = "history-gone"
	KindInternal    Kind = "internal"
)

// Executed says whether a request was executed at a target.
type Executed string

// The possible states of execution. ExecutedNo is used only where it is
// certain that the request was not executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// Error is an error with a kind.
type Error struct {
	Kind     Kind
	Executed Executed
	// RetryAfter is zero when a retry makes no sense.
	RetryAfter time.Duration
	// Detail is for human readers; it never contains secrets or bodies.
	Detail string
	// DeliveredTokens is the number of tokens that the caller received before the
	// error.
	DeliveredTokens int
	cause           error
}

// New returns an error for a request that was not executed.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Executed: ExecutedNo, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error that was caused by err and keeps err's stack trace. It
// is for a request that was not executed.
func Wrap(err error, kind Kind, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.cause = eris.Wrap(err, e.Detail)
	return e
}

// WithExecutionUnknown marks the request as possibly executed.
func (e *Error) WithExecutionUnknown() *Error { e.Executed = ExecutedUnknown; return e }

// WithExecuted marks the request as executed.
func (e *Error) WithExecuted() *Error { e.Executed = ExecutedYes; return e }

// WithRetryAfter sets the delay after which a retry makes sense.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Detail)
	if e.cause == nil {
		return text
	}
	// A wrapped *Error has its own details, such as the number of an invalid
	// line; of any other error only the root cause is shown.
	var inner *Error
	if errors.As(e.cause, &inner) {
		return text + ": " + inner.Error()
	}
	return text + ": " + eris.Cause(e.cause).Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is matches errors of the same kind, so that errors.Is works with an Error
// that only has a kind.
func (e *Error) Is(target error) bool {
	var other *Error
	return errors.As(target, &other) && other.Kind == e.Kind
}

// KindOf returns the kind of err, or KindInternal when it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// FromError converts err to an Error. An error without a kind becomes
// KindInternal, and whether its request was executed is unknown.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, KindInternal, "unexpected error").WithExecutionUnknown()
}

var statusByKind = map[Kind]int{
	KindBadRequest:       http.StatusBadRequest,
	KindUnauthorized:     http.StatusUnauthorized,
	KindForbidden:        http.StatusForbidden,
	KindUnknownService:   http.StatusNotFound,
	KindNotFound:         http.StatusNotFound,
	KindMethod:           http.StatusMethodNotAllowed,
	KindBodyTooLarge:     http.StatusRequestEntityTooLarge,
	KindHeadersTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	KindOverloaded:       http.StatusServiceUnavailable,
	KindTargetResting:    http.StatusServiceUnavailable,
	KindAccountLimit:     http.StatusTooManyRequests,
	KindNoTarget:         http.StatusServiceUnavailable,
	KindDeadline:         http.StatusServiceUnavailable,
	KindPoison:           http.StatusUnprocessableEntity,
	KindTooLarge:         http.StatusUnprocessableEntity,
	KindTargetFailed:     http.StatusBadGateway,
	KindTargetLost:       http.StatusBadGateway,
	KindTargetTimeout:    http.StatusGatewayTimeout,
	KindFrameOutOfPlace:  http.StatusBadGateway,
	KindControlLost:      http.StatusServiceUnavailable,
	KindStopping:         http.StatusServiceUnavailable,
	KindNotReady:         http.StatusServiceUnavailable,
	KindHandleInvalid:    http.StatusBadRequest,
	KindHandleExpired:    http.StatusGone,
	KindGenerationGone:   http.StatusGone,
	KindNotResumable:     http.StatusConflict,
	KindStreamUnknown:    http.StatusServiceUnavailable,
	KindKeyInvalid:       http.StatusBadRequest,
	KindKeyExpired:       http.StatusGone,
	KindKeyReused:        http.StatusUnprocessableEntity,
	KindKeyRequired:      http.StatusBadRequest,
	KindKeyUnvouched:     http.StatusServiceUnavailable,
	KindOwnerLost:        http.StatusBadGateway,
	KindInProgress:       http.StatusConflict,
	KindOutcomeUnknown:   http.StatusBadGateway,
	KindLeaseLost:        http.StatusServiceUnavailable,
	KindFenced:           http.StatusConflict,
	KindTableInvalid:     http.StatusUnprocessableEntity,
	KindSettingInvalid:   http.StatusBadRequest,
	KindConfigUnreadable: http.StatusServiceUnavailable,
	KindHistoryGone:      http.StatusServiceUnavailable,
	KindInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status code of the error's kind.
func (e *Error) Status() int {
	if status, ok := statusByKind[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
