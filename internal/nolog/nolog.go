// Package nolog provides a log that discards its lines, for components that
// have no log configured.
package nolog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Or returns log, or a log that discards its lines if log is nil.
func Or(log *logrus.Entry) *logrus.Entry {
	if log != nil {
		return log
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	return logrus.NewEntry(discard)
}
