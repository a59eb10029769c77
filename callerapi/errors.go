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

// shortRetryAfter is the Retry-After of refusals due to the state of this
// entry; another entry may accept the request at once.
const shortRetryAfter = time.Second

var (
	errDraining     = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this entry is stopping").WithRetryAfter(shortRetryAfter)
	errNotReady     = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this entry has no current template").WithRetryAfter(shortRetryAfter)
	errPanicked     = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "internal error")
	errUnauthorized = verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "missing or unknown API key")
)

// errorBody is an OpenAI-style error with an execution verdict.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func newErrorBody(err error) errorBody {
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

// fail sends err as the response. It must not be called once any part of the
// response has been written.
func (s *Server) fail(c *gin.Context, err error) {
	setWriteDeadline(c)
	c.Header(HeaderVerdict, verdict.Of(err).String())
	if after := verdict.RetryAfterOf(err); after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.AbortWithStatusJSON(httpjson.StatusOf(err), newErrorBody(err))
}

func (s *Server) noRoute(c *gin.Context) {
	s.fail(c, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
}

// invalid returns an error for invalid input, with the verdict NotRun.
func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%w", fmt.Errorf(format, args...))
}
