package infra

import (
	"errors"
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// ConflictError reports the first failed expectation of a commit.
type ConflictError struct {
	Key string
	// Expected and Actual are row versions; ExpectAbsent means no row.
	Expected, Actual uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Actual, e.Expected)
}

// Conflict returns a ConflictError, wrapped in an error with verdict.NotRun and
// verdict.CodeConflict.
func Conflict(key string, expected, actual uint64) error {
	cause := &ConflictError{Key: key, Expected: expected, Actual: actual}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "commit: %w", cause)
}

// ConflictKey returns the key of the row whose expectation failed, or false if
// err is not a conflict.
func ConflictKey(err error) (string, bool) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return "", false
	}
	return conflict.Key, true
}
