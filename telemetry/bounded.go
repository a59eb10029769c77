package telemetry

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the log. A line is about 400 bytes, so that the queue holds under
// a megabyte and the busiest second writes a quarter of one.
const (
	// queuedLines is how many lines wait for the writer at most.
	queuedLines = 2048
	// linesPerSecond bounds the lines with one message in a second;
	// warningsPerSecond does for warnings and errors, which go first.
	linesPerSecond    = 150
	warningsPerSecond = 300
	// reportPeriod is how often the lines left out are told.
	reportPeriod = time.Second
)

// BoundedLog writes lines without ever blocking who logs. Lines beyond the
// bounds are left out, and counted in a line of their own. It is safe for
// concurrent use.
type BoundedLog struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// left counts the lines left out since the last report.
	left atomic.Uint64
}

// NewBoundedLog starts the writer to out. Close it last.
func NewBoundedLog(out io.Writer) *BoundedLog {
	b := &BoundedLog{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go b.write()
	return b
}

// Logger returns a JSON logger of at least a level over the writer.
func (b *BoundedLog) Logger(level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(b)
	log.SetLevel(level)
	log.SetFormatter(&limitedFormatter{
		next: &partFormatter{next: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}},
		left: &b.left, kinds: make(map[string]*kind),
	})
	return log
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedLog) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.left.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued, for as long as the output takes it within the
// time given.
func (b *BoundedLog) Close(within time.Duration) {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(within):
	}
}

func (b *BoundedLog) write() {
	defer close(b.done)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-b.lines:
			if !open {
				b.report()
				return
			}
			// Nobody could be told of an output that fails.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.report()
		}
	}
}

// report tells how many lines were left out since the last report.
func (b *BoundedLog) report() {
	n := b.left.Swap(0)
	if n == 0 {
		return
	}
	line, err := json.Marshal(map[string]any{
		"level": "warning", "msg": "telemetry: lines left out.", "lines": n, "time": time.Now().Format(time.RFC3339Nano),
	})
	if err == nil {
		_, _ = b.out.Write(append(line, '\n'))
	}
}

// limitedFormatter leaves lines out whose message came too often in the
// present second.
type limitedFormatter struct {
	next logrus.Formatter
	left *atomic.Uint64

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind counts the lines with one message and level.
type kind struct {
	second int64
	lines  int
}

// Format implements logrus.Formatter.
func (f *limitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.allow(e) {
		f.left.Add(1)
		return nil, nil
	}
	return f.next.Format(e)
}

func (f *limitedFormatter) allow(e *logrus.Entry) bool {
	most := linesPerSecond
	if e.Level <= logrus.WarnLevel {
		most = warningsPerSecond
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	name := e.Level.String() + e.Message
	k := f.kinds[name]
	if k == nil {
		k = &kind{}
		f.kinds[name] = k
	}
	if now := e.Time.Unix(); k.second != now {
		k.second, k.lines = now, 0
	}
	k.lines++
	return k.lines <= most
}
