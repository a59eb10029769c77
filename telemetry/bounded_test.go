package telemetry_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

// output records the written lines. Writes block while stall is locked.
type output struct {
	stall sync.Mutex
	mu    sync.Mutex
	text  bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.stall.Lock()
	defer o.stall.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// lines returns the number of lines written for each message, and the number of
// lines reported as dropped.
func (o *output) lines(t *testing.T) (map[string]int, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts, dropped := make(map[string]int), 0
	for line := range bytes.Lines(o.text.Bytes()) {
		var l struct {
			Msg   string
			Lines int
		}
		qt.Assert(t, json.Unmarshal(line, &l), qt.IsNil)
		counts[l.Msg]++
		dropped += l.Lines
	}
	return counts, dropped
}

func TestStalledOutputBlocksNoLoggerAndDropsLinesOnlyBeyondTheQueue(t *testing.T) {
	out := &output{}
	bounded := telemetry.NewBoundedLog(out)
	log := bounded.Logger(logrus.InfoLevel)
	out.stall.Lock()
	began := time.Now()
	const messages, linesPerMessage = 40, 100
	for i := range messages {
		for range linesPerMessage {
			log.Info(string(rune('A' + i)))
		}
	}
	qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
	out.stall.Unlock()
	bounded.Close(5 * time.Second)
	counts, dropped := out.lines(t)
	written := 0
	for msg, n := range counts {
		if msg != "telemetry: lines left out." {
			written += n
		}
	}
	qt.Assert(t, written+dropped, qt.Equals, messages*linesPerMessage)
	qt.Assert(t, written >= 2048, qt.IsTrue, qt.Commentf("%d written", written))
}

func TestWarningsHaveAHigherRateLimitThanInfoLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		bounded := telemetry.NewBoundedLog(out)
		log := bounded.Logger(logrus.InfoLevel)
		for range 250 {
			log.Info("request ended.")
			log.Warn("request ended.")
			synctest.Wait()
		}
		bounded.Close(time.Second)
		counts, dropped := out.lines(t)
		qt.Assert(t, counts["request ended."], qt.Equals, 150+250)
		qt.Assert(t, dropped, qt.Equals, 100)
	})
}
