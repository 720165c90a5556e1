// Package failure gives every failure of the system a type.
//
// A failure says three things that a caller can act on: what kind it is,
// whether the request ran at a target, and when asking again makes sense.
// Callers receive it as an RFC 9457 problem document.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind names a failure. Its text is the last part of the problem document's
// type and never changes once published.
type Kind string

// The failures that callers and operators can meet.
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
	KindFrameOutOfPlace  Kind = "frame-out-of-place"
	KindControlLost      Kind = "control-unreachable"
	KindStopping         Kind = "stopping"
	KindNotReady         Kind = "not-ready"
	KindHandleInvalid    Kind = "resume-handle-invalid"
	KindHandleExpired    Kind = "resume-handle-expired"
	KindGenerationGone   Kind = "generation-gone"
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
	// KindHistoryGone: the configuration service no longer knows the changes
	// that were asked for; read it whole.
	KindHistoryGone Kind = "history-gone"
	KindInternal    Kind = "internal"
)

// Executed says whether the request ran at a target.
type Executed string

// What is known of a request's execution. No is said only where it is certain.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// Error is a failure with its type.
type Error struct {
	Kind     Kind
	Executed Executed
	// RetryAfter is zero when asking again does not make sense.
	RetryAfter time.Duration
	// Detail is for people; it never holds secrets or bodies.
	Detail string
	// DeliveredTokens counts the tokens that the caller received before the failure.
	DeliveredTokens int
	cause           error
}

// New returns a failure of a request that did not run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Executed: ExecutedNo, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure that was caused by err, with err's stack kept.
func Wrap(err error, kind Kind, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.cause = eris.Wrap(err, e.Detail)
	return e
}

// WithExecutionUnknown marks the failure as one of a request that may have run.
func (e *Error) WithExecutionUnknown() *Error { e.Executed = ExecutedUnknown; return e }

// WithExecuted marks the failure as one of a request that did run.
func (e *Error) WithExecuted() *Error { e.Executed = ExecutedYes; return e }

// WithRetryAfter says when asking again makes sense.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Detail)
	if e.cause == nil {
		return text
	}
	// A failure within this one has its own details, such as the line of a file
	// that is at fault; an error without a type has only its last word.
	var inner *Error
	if errors.As(e.cause, &inner) {
		return text + ": " + inner.Error()
	}
	return text + ": " + eris.Cause(e.cause).Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is matches failures of one kind, so that errors.Is works with a bare kind.
func (e *Error) Is(target error) bool {
	var other *Error
	return errors.As(target, &other) && other.Kind == e.Kind
}

// KindOf gives the kind of err, KindInternal when it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// FromError gives err as a failure; an error without a type is internal, and its
// outcome unknown.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, KindInternal, "unexpected error").WithExecutionUnknown()
}

var statuses = map[Kind]int{
	KindBadRequest:       http.StatusBadRequest,
	KindUnauthorized:     http.StatusUnauthorized,
	KindForbidden:        http.StatusForbidden,
	KindUnknownService:   http.StatusNotFound,
	KindNotFound:         http.StatusNotFound,
	KindMethod:           http.StatusMethodNotAllowed,
	KindBodyTooLarge:     http.StatusRequestEntityTooLarge,
	KindHeadersTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	KindOverloaded:       http.StatusServiceUnavailable,
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

// Status gives the HTTP status of the failure's kind.
func (e *Error) Status() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
