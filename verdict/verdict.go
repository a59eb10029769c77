// Package verdict classifies failures by whether the failed request may have
// run, so that a client knows whether a retry could execute it twice.
//
// Every error that can reach a client carries a Verdict, its execution verdict.
// An error without one counts as MayHaveRun, so that an unclassified failure
// never guarantees that nothing happened. All functions are safe for concurrent
// use.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict is the execution verdict of a failed request: whether the request may
// have run.
type Verdict int

const (
	// MayHaveRun is the zero value: it is unknown whether the request took
	// effect.
	MayHaveRun Verdict = iota
	// NotRun guarantees that the request had no effect and never will.
	NotRun
	// Ran means that the request took effect although it failed later.
	Ran
)

// String returns the wire form: "may_have_run", "not_run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Parse returns the Verdict for a wire form. It returns MayHaveRun for an
// unknown one.
func Parse(s string) Verdict {
	switch s {
	case "not_run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code is a stable, machine-readable reason for a failure.
type Code string

// Codes shared by all packages. The client API maps each of them to an HTTP
// status.
const (
	CodeInvalid      Code = "invalid_request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not_found"
	CodeInProgress   Code = "in_progress"
	CodeKeyReused    Code = "key_reused"
	CodeLimited      Code = "limited"
	CodeOverloaded   Code = "overloaded"
	CodeUnavailable  Code = "unavailable"
	CodeDeadline     Code = "deadline"
	CodeConflict     Code = "conflict"
	CodeFenced       Code = "fenced"
	CodeCancelled    Code = "cancelled"
	CodeInternal     Code = "internal"
	// CodeTooLarge and CodeStalled refuse a request whose body is too large
	// or arrives too slowly.
	CodeTooLarge Code = "too_large"
	CodeStalled  Code = "body_stalled"
)

// Error is a failure with its verdict. It must not be changed after
// construction.
type Error struct {
	Verdict Verdict
	Code    Code
	// RetryAfter is how long the client should wait before a retry; 0 if
	// waiting does not help.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// New returns an Error whose message is formatted as by fmt.Errorf, so that %w
// wraps the cause.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Err: fmt.Errorf(format, args...)}
}

// Wrap wraps err with a verdict and keeps the code and RetryAfter of err. It
// returns nil for a nil err.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Code: CodeOf(err), RetryAfter: RetryAfterOf(err), Err: err}
}

// Of returns the outermost verdict of err, or MayHaveRun when it has none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the outermost code of err, or CodeInternal when it has none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}

// RetryAfterOf returns the outermost RetryAfter of err, or 0 when it has none.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}
