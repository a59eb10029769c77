// Package httpjson encodes and decodes values and errors as JSON over HTTP,
// between the processes of the system, its platform and its endpoints. An error
// keeps its verdict and code across a call. The functions have no shared state.
package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxErrorBytes bounds the body of an error response that ReadError reads.
const maxErrorBytes = 64 << 10

// Failure is the JSON form of an error.
type Failure struct {
	Error Detail `json:"error"`
}

// Detail describes an error: its message, its code and its verdict, which
// reports whether the request may have run.
type Detail struct {
	Message      string    `json:"message"`
	Code         string    `json:"code"`
	Verdict      string    `json:"verdict"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	Conflict     *Conflict `json:"conflict,omitempty"`
}

// Conflict is the JSON form of an infra.ConflictError.
type Conflict struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Actual   uint64 `json:"actual"`
}

// Write sends value as the JSON response.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError sends err as the JSON response, with its verdict and code.
func WriteError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Verdict", verdict.Of(err).String())
	w.WriteHeader(internalStatus(err))
	_ = json.NewEncoder(w).Encode(Failure{Error: *DetailOf(err)})
}

// Read decodes the JSON body of a request into value. It reads the body to its
// end because net/http detects a disconnected client only afterwards.
func Read(r *http.Request, value any) error {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "body: %w", err)
	}
	return nil
}

// Drain reads the request body to its end and discards it, for the same reason
// as Read.
func Drain(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

// ReadError returns the error that a response with an error status contains. A
// response that cannot be decoded gives an error with verdict.MayHaveRun.
func ReadError(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "status %d: %w", resp.StatusCode, err)
	}
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Error.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "status %d", resp.StatusCode)
	}
	return f.Error.Decode()
}

// DetailOf returns the JSON form of an error.
func DetailOf(err error) *Detail {
	d := &Detail{
		Message:      err.Error(),
		Code:         string(verdict.CodeOf(err)),
		Verdict:      verdict.Of(err).String(),
		RetryAfterMS: verdict.RetryAfterOf(err).Milliseconds(),
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		d.Message = e.Err.Error()
	}
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) {
		d.Conflict = &Conflict{Key: conflict.Key, Expected: conflict.Expected, Actual: conflict.Actual}
	}
	return d
}

// Decode returns the error that d describes.
func (d *Detail) Decode() error {
	if d.Conflict != nil {
		return infra.Conflict(d.Conflict.Key, d.Conflict.Expected, d.Conflict.Actual)
	}
	return &verdict.Error{
		Verdict:    verdict.Parse(d.Verdict),
		Code:       verdict.Code(d.Code),
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
		Err:        errors.New(d.Message),
	}
}

// statuses maps the codes that clients receive to HTTP statuses.
var statuses = map[verdict.Code]int{
	verdict.CodeInvalid:      http.StatusBadRequest,
	verdict.CodeUnauthorized: http.StatusUnauthorized,
	verdict.CodeNotFound:     http.StatusNotFound,
	verdict.CodeInProgress:   http.StatusConflict,
	verdict.CodeConflict:     http.StatusConflict,
	verdict.CodeKeyReused:    http.StatusUnprocessableEntity,
	verdict.CodeLimited:      http.StatusTooManyRequests,
	verdict.CodeOverloaded:   http.StatusServiceUnavailable,
	verdict.CodeUnavailable:  http.StatusServiceUnavailable,
	verdict.CodeDeadline:     http.StatusGatewayTimeout,
	verdict.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.CodeStalled:      http.StatusRequestTimeout,
}

// StatusOf returns the HTTP status for the code of err, or 500 if the code has
// none.
func StatusOf(err error) int {
	if status, ok := statuses[verdict.CodeOf(err)]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// internalStatus returns the HTTP status for an error between processes of the
// system. It has statuses for codes that are not reported to clients.
func internalStatus(err error) int {
	switch verdict.CodeOf(err) {
	case verdict.CodeFenced:
		return http.StatusConflict
	case verdict.CodeCancelled:
		return http.StatusServiceUnavailable
	default:
		return StatusOf(err)
	}
}
