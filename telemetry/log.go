// Package telemetry sets up logs and metrics.
package telemetry

import (
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"
)

// partField holds the name of the part that writes a line.
const partField = "part"

// NewLogger returns a logger that writes lines of at least the level ("debug",
// "info", "warning" or "error") to out, as "text" or "json".
func NewLogger(level, format string, out io.Writer) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	formatter, err := newFormatter(format)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(formatter)
	return log, nil
}

func newFormatter(format string) (logrus.Formatter, error) {
	switch format {
	case "text":
		return &partFormatter{next: &logrus.TextFormatter{FullTimestamp: true, DisableColors: true}}, nil
	case "json":
		return &partFormatter{next: &logrus.JSONFormatter{}}, nil
	default:
		return nil, fmt.Errorf("telemetry: unknown log format %q", format)
	}
}

// Part returns a log whose lines all begin with the name of a part, for
// example "relay: ".
func Part(log *logrus.Logger, name string) *logrus.Entry {
	return log.WithField(partField, name)
}

// partFormatter puts the part in front of the message. A message that begins
// with it already is left as it is.
type partFormatter struct {
	next logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *partFormatter) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[partField].(string)
	if !ok {
		return f.next.Format(e)
	}
	line := *e
	line.Data = make(logrus.Fields, len(e.Data))
	for key, value := range e.Data {
		if key != partField {
			line.Data[key] = value
		}
	}
	if prefix := part + ": "; !strings.HasPrefix(line.Message, prefix) {
		line.Message = prefix + line.Message
	}
	return f.next.Format(&line)
}
