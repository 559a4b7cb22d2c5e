// Package errkind defines the closed list of error kinds and the table that maps
// each kind to the answer that a caller receives. Code that fails a request
// returns an *Error; the caller's daemon renders it as problem details (RFC 9457).
// Each error carries a Truth: what is known about the execution of the request.
// The table sets a Retry-After delay only for kinds whose request was not executed.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Kind identifies an entry of the closed list of error kinds.
type Kind uint8

// The error kinds. Add new kinds at the end: daemons of different versions exchange
// kinds by number.
const (
	Internal Kind = iota
	Malformed
	UnknownService
	KeyMissing
	BodyTooLarge
	HeaderTooLarge
	HeaderTimeout
	BodyTimeout
	Unauthorized
	Forbidden
	NotFound
	NotOwner
	NoOwner
	Overloaded
	DeadlineBeforeStart
	DeadlineAfterStart
	BackendUnavailable
	BackendRefused
	AnswerCut
	OutcomeUnknown
	RepeatUnknown
	Draining
	LeaseLapsed
	LogUnavailable
	Conflict
	Invalid
	PeerUnreachable
	PeerProtocol
	HopLimit
	Canceled
	RateLimited
	KeyReused
	Unconfigured
	NoRoute
	Quarantined
	RegionNotAllowed
	CallsWithoutRoom
	kindCount // number of kinds, not a kind
)

// Truth is the execution status of a request, as far as it is known.
type Truth string

// The values of Truth.
const (
	NotRun  Truth = "not-run" // the request has certainly not been executed
	Ran     Truth = "ran"     // the request has been executed
	Unknown Truth = "unknown" // the request may have been executed
)

// Error is an error of one of the listed kinds.
type Error struct {
	Kind       Kind
	Truth      Truth         // empty means the value in the table
	Detail     string        // for people; programs must not parse it
	RetryAfter time.Duration // zero means the value in the table
	Err        error         // cause, may be nil
}

// Kinds returns every kind in numeric order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// New returns an error of kind k. It formats the detail like fmt.Errorf and keeps an
// error that is passed with %w as the cause.
func New(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: k, Detail: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the name of the kind and the detail.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Detail }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Answer returns the answer in the table for the kind of e. The Truth and the
// RetryAfter of e override those in the table if they are set.
func (e *Error) Answer() Answer {
	a := e.Kind.Answer()
	if e.Truth != "" {
		a.Truth = e.Truth
	}
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// Of returns the kind of the first *Error in the chain of err, or Internal if there
// is none. It panics if err is nil.
func Of(err error) Kind { return As(err).Kind }

// As returns the first *Error in the chain of err. If there is none, it wraps err in
// an error of kind Internal. It panics if err is nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: err.Error(), Err: err}
}
