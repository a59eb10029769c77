package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// failureBody is the JSON body of an answer with which the entry itself reports
// a failure.
type failureBody struct {
	Error   string `json:"error"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// statusOf returns the HTTP status of a failure. Statuses that guarantee that a
// request has not run are used only for the verdict NotRun.
func statusOf(err error) int {
	if verdict.Of(err) != verdict.NotRun {
		if verdict.CodeOf(err) == verdict.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if status := httpjson.StatusOf(err); status < http.StatusInternalServerError {
		return status
	}
	return http.StatusServiceUnavailable
}

// writeFailure writes err as an answer and returns its status.
func writeFailure(w http.ResponseWriter, err error) int {
	body, encodeErr := json.Marshal(failureBody{
		Error:   err.Error(),
		Code:    string(verdict.CodeOf(err)),
		Verdict: verdict.Of(err).String(),
	})
	if encodeErr != nil {
		body = nil // marshalling strings can't fail
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if wait := verdict.RetryAfterOf(err); wait > 0 && verdict.Of(err) == verdict.NotRun {
		h.Set("Retry-After", strconv.FormatFloat(wait.Round(time.Millisecond).Seconds(), 'f', 3, 64))
	}
	status := statusOf(err)
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return status
}
