package operatorapi

import (
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// statusOf returns the HTTP status for an error code.
func statusOf(code verdict.Code) int {
	switch code {
	case verdict.CodeInvalid:
		return http.StatusBadRequest
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeConflict:
		return http.StatusConflict
	case verdict.CodeUnavailable, verdict.CodeOverloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// fail sends an error with its verdict. If the error contains the faults of a
// file or a conflict with another edit, fail sends these as well.
func (s *Server) fail(c *gin.Context, err error) {
	detail := ErrorDetail{
		Message: err.Error(),
		Code:    verdict.CodeOf(err),
		Verdict: verdict.Of(err).String(),
	}
	errors.As(err, &detail.Faults)
	errors.As(err, &detail.Conflict)
	if wait := verdict.RetryAfterOf(err); wait > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	c.Header("X-Verdict", detail.Verdict)
	c.JSON(statusOf(detail.Code), ErrorBody{Error: detail})
}

// toError converts a received ErrorDetail to an error with the same verdict,
// faults and conflict.
func (d ErrorDetail) toError() error {
	cause := errors.New(d.Message)
	switch {
	case len(d.Faults) > 0:
		cause = d.Faults
	case d.Conflict != nil:
		cause = d.Conflict
	}
	return &verdict.Error{Verdict: verdict.Parse(d.Verdict), Code: d.Code, Err: cause}
}

// wrapFaults returns the faults of a file as an error with the verdict NotRun.
func wrapFaults(err error) error {
	var found template.Faults
	if errors.As(err, &found) {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%w", found)
	}
	return verdict.Wrap(verdict.NotRun, err)
}
