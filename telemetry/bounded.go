package telemetry

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the log. A line has about 400 bytes, so a full queue takes less
// than a megabyte, and the busiest second writes a quarter of a megabyte.
const (
	// maxQueuedLines is the maximum number of lines that wait for the writer.
	maxQueuedLines = 2048
	// maxLinesPerSecond bounds the lines with the same message in one second.
	// maxWarningsPerSecond is the higher bound for warnings and errors, which
	// take precedence.
	maxLinesPerSecond    = 150
	maxWarningsPerSecond = 300
	// reportPeriod is the interval between two reports of dropped lines.
	reportPeriod = time.Second
)

// BoundedLog writes log lines without ever blocking its callers. It drops lines
// beyond the bounds and reports their number in a line of its own. It is safe
// for concurrent use.
type BoundedLog struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts the lines dropped since the last report.
	dropped atomic.Uint64
}

// NewBoundedLog returns a BoundedLog and starts the goroutine that writes to
// out. Close it after the last use of its loggers.
func NewBoundedLog(out io.Writer) *BoundedLog {
	b := &BoundedLog{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.write()
	return b
}

// Logger returns a logger that writes lines of at least the given level as
// JSON.
func (b *BoundedLog) Logger(level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(b)
	log.SetLevel(level)
	log.SetFormatter(&rateLimitFormatter{
		next:    &componentFormatter{next: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}},
		dropped: &b.dropped, counts: make(map[string]*messageCount),
	})
	return log
}

// Write implements io.Writer. It never blocks and never returns an error.
func (b *BoundedLog) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and returns when they are written or the given
// time is over. No line may be written after Close is called.
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
			// A failure of the output cannot be reported anywhere.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.report()
		}
	}
}

// report writes how many lines were dropped since the last report, if any.
func (b *BoundedLog) report() {
	n := b.dropped.Swap(0)
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

// rateLimitFormatter drops a line if the bound on lines with its message and
// level has been reached in the current second.
type rateLimitFormatter struct {
	next    logrus.Formatter
	dropped *atomic.Uint64

	mu     sync.Mutex
	counts map[string]*messageCount
}

// messageCount counts the lines with one message and level in one second.
type messageCount struct {
	second int64
	lines  int
}

// Format implements logrus.Formatter.
func (f *rateLimitFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.allow(e) {
		f.dropped.Add(1)
		return nil, nil
	}
	return f.next.Format(e)
}

func (f *rateLimitFormatter) allow(e *logrus.Entry) bool {
	limit := maxLinesPerSecond
	if e.Level <= logrus.WarnLevel {
		limit = maxWarningsPerSecond
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := e.Level.String() + e.Message
	count := f.counts[key]
	if count == nil {
		count = &messageCount{}
		f.counts[key] = count
	}
	if now := e.Time.Unix(); count.second != now {
		count.second, count.lines = now, 0
	}
	count.lines++
	return count.lines <= limit
}
