package callerapi

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// readBody reads the whole body within the limits on size and time.
func (s *Server) readBody(c *gin.Context) ([]byte, error) {
	limits := s.deps.Limits
	control := http.NewResponseController(c.Writer)
	if timeout := limits.BodyTimeout.Std(); timeout > 0 {
		// Not every writer has deadlines; the size limit holds in any case.
		_ = control.SetReadDeadline(time.Now().Add(timeout))
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limits.BodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalid("body is larger than %d bytes", tooLarge.Limit)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "read body: %w", err)
}
