package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against replicas that crash before the first byte of their answers, or after
// the first event, being no evidence.
func TestCrashIsEvidenceHoweverFarTheAnswerHadCome(t *testing.T) {
	for _, progress := range []Progress{Waiting, Beginning, Begun} {
		t.Run(progress.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(5)
				for _, e := range w.entries {
					e.Answered("c", []uint64{1})
				}
				for i := range 5 {
					w.crashAt(progress, i, 1, 9)
				}
				w.exchange()
				time.Sleep(2 * time.Second)
				for i := range w.entries {
					qt.Check(t, w.refuses(i, 1, 9), qt.IsTrue)
					qt.Check(t, w.refuses(i, 1, 2), qt.IsFalse)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
