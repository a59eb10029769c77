// Package telemetry provides the logs and metrics of a process.
//
// NewLogger returns a logger that writes directly to its output. The loggers of
// a BoundedLog never block and drop lines beyond fixed bounds. Metrics holds
// the OpenTelemetry instruments and serves them in the Prometheus text format.
// All of them are safe for concurrent use.
package telemetry

import (
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"
)

// componentField is the log field that holds the name of the component that
// writes a line.
const componentField = "part"

// NewLogger returns a logger that writes lines of at least the given level
// ("debug", "info", "warning" or "error") to out, in the format "text" or
// "json".
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
		return &componentFormatter{next: &logrus.TextFormatter{FullTimestamp: true, DisableColors: true}}, nil
	case "json":
		return &componentFormatter{next: &logrus.JSONFormatter{}}, nil
	default:
		return nil, fmt.Errorf("telemetry: unknown log format %q", format)
	}
}

// Component returns a log entry whose lines all start with the name of a
// component, for example "relay: ".
func Component(log *logrus.Logger, name string) *logrus.Entry {
	return log.WithField(componentField, name)
}

// componentFormatter prefixes each message with its component, unless the
// message already has the prefix.
type componentFormatter struct {
	next logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *componentFormatter) Format(e *logrus.Entry) ([]byte, error) {
	component, ok := e.Data[componentField].(string)
	if !ok {
		return f.next.Format(e)
	}
	line := *e
	line.Data = make(logrus.Fields, len(e.Data))
	for key, value := range e.Data {
		if key != componentField {
			line.Data[key] = value
		}
	}
	if prefix := component + ": "; !strings.HasPrefix(line.Message, prefix) {
		line.Message = prefix + line.Message
	}
	return f.next.Format(&line)
}
