// Package verdict classifies failures by whether the request may have run.
//
// Every error that can reach a caller carries a Verdict. An error without
// one counts as MayHaveRun, so that forgetting to classify a failure can
// never turn into a promise that nothing happened.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether the request behind a failure may have run.
type Verdict int

const (
	// MayHaveRun is the zero value: nothing is known about the effect.
	MayHaveRun Verdict = iota
	// NotRun promises that the request had no effect and never will.
	NotRun
	// Ran says that the request took effect although it failed later.
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

// Parse returns the Verdict of a wire form. Unknown text is MayHaveRun.
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

// Codes shared by all packages. The caller interface maps each to a status.
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
	// CodeTooLarge and CodeStalled refuse a request by its body.
	CodeTooLarge Code = "too_large"
	CodeStalled  Code = "body_stalled"
)

// Error is a failure with its verdict. It is immutable after construction.
type Error struct {
	Verdict Verdict
	Code    Code
	// RetryAfter is how long the caller should wait before a retry; 0 when
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

// New returns an Error whose message is formatted as by fmt.Errorf, so that
// %w keeps the cause.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Err: fmt.Errorf(format, args...)}
}

// Wrap gives err a verdict and keeps the code that err carries. It returns
// nil for a nil err.
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

// CodeOf returns the outermost code of err, or CodeInternal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}

// RetryAfterOf returns how long to wait before a retry, 0 if unknown.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}
