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

// boundBody bounds the time in which a body may arrive, also for a request
// that is refused unread: the server reads the rest of its body before it
// answers.
func (s *Server) boundBody(c *gin.Context) {
	if timeout := s.deps.Limits.BodyTimeout.Std(); timeout > 0 && c.Request.ContentLength != 0 {
		// Not every writer has deadlines; the size limit holds in any case.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(timeout))
	}
	c.Next()
}

// refuseBody refuses a request that should have no body. Its reader waits
// longer than a body may take.
func (s *Server) refuseBody(c *gin.Context) {
	if c.Request.ContentLength != 0 {
		s.fail(c, invalid("%s takes no body", c.Request.Method))
	}
}

// readBody reads the whole body within the limits on size and time. After a
// failure the read deadline stays and the connection is closed, as the server
// would wait for the rest of the body.
func (s *Server) readBody(c *gin.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, s.deps.Limits.BodyBytes))
	if err == nil {
		// The answer may take longer than the body.
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

// boundWrite bounds the next write to a caller that reads slowly.
func boundWrite(c *gin.Context) {
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}
