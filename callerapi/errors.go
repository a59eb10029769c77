package callerapi

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// retrySoon is the Retry-After of refusals that another entry may not have.
const retrySoon = time.Second

var (
	errDraining = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this entry is stopping").WithRetryAfter(retrySoon)
	errNotReady = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this entry has no current template").WithRetryAfter(retrySoon)
	errPanicked = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "internal error")
	errNoAuth   = verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "missing or unknown API key")
)

// errorBody is the OpenAI-style error with a verdict.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func bodyOf(err error) errorBody {
	kind := "server_error"
	if httpjson.StatusOf(err) < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Message: err.Error(),
		Type:    kind,
		Code:    string(verdict.CodeOf(err)),
		Verdict: verdict.Of(err).String(),
	}}
}

// fail answers with err. Nothing of the answer may have been written.
func (s *Server) fail(c *gin.Context, err error) {
	boundWrite(c)
	c.Header(HeaderVerdict, verdict.Of(err).String())
	if after := verdict.RetryAfterOf(err); after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.AbortWithStatusJSON(httpjson.StatusOf(err), bodyOf(err))
}

func (s *Server) noRoute(c *gin.Context) {
	s.fail(c, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
}

// invalid returns an error for bad input, which never runs anything.
func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%w", fmt.Errorf(format, args...))
}
