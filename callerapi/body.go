package callerapi

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// setBodyDeadline sets the read deadline for the request body. The deadline
// also matters for requests that are refused without reading the body, because
// the HTTP server reads the rest of the body before it sends the answer.
func (s *Server) setBodyDeadline(c *gin.Context) {
	if timeout := s.deps.Limits.BodyTimeout.Std(); timeout > 0 && c.Request.ContentLength != 0 {
		// Some writers don't support deadlines; the size limit applies anyway.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(timeout))
	}
	c.Next()
}

// rejectBody refuses a request that has a body. The handlers that follow it
// don't read the body and so don't clear the body deadline, which would then
// cut an answer that takes longer.
func (s *Server) rejectBody(c *gin.Context) {
	if c.Request.ContentLength != 0 {
		s.fail(c, invalid("%s takes no body", c.Request.Method))
	}
}

// readBody reads the complete body within the limits on size and time. If that
// fails, the read deadline stays set and the connection is closed, because the
// HTTP server would otherwise wait for the rest of the body.
func (s *Server) readBody(c *gin.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, s.deps.Limits.BodyBytes))
	if err == nil {
		// The answer may take longer than the time allowed for the body.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
		return body, nil
	}
	c.Header("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.New(verdict.NotRun, verdict.CodeStalled, "body did not arrive within %v", s.deps.Limits.BodyTimeout.Std())
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "read body: %w", err)
}

// setWriteDeadline sets the deadline of the next write, so that a client that
// reads slowly can't block it for longer than writeTimeout.
func setWriteDeadline(c *gin.Context) {
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}
