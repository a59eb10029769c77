package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against replicas that live on counting as crashed because one entry took
// broken connections for their crash.
func TestReplicaThatAnswersLaterHasNotCrashed(t *testing.T) {
	for _, test := range []struct {
		name string
		// opened is when the connection of the answer was opened, by the time of the crash.
		opened time.Duration
		banned bool
	}{
		{"on a connection from before", -time.Second, false},
		{"on a new connection, perhaps of the next process", time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(3)
				crashed := make(map[string]time.Time)
				crash := func() {
					for i := range 6 {
						id := fmt.Sprint("r", i)
						crashed[id] = time.Now()
						w.entries[0].Crashed(newReplica(id), "c", []uint64{1, 9}, Waiting, time.Now())
						time.Sleep(time.Second)
					}
					w.exchange()
					time.Sleep(2 * time.Second)
				}
				crash()
				qt.Assert(t, w.refuses(2, 1, 9), qt.IsTrue)
				for id, at := range crashed {
					w.entries[1].Alive(newReplica(id), at.Add(test.opened), time.Now())
				}
				w.exchange()
				for i := range w.entries {
					qt.Check(t, w.refuses(i, 1, 9), qt.Equals, test.banned)
				}
				// A crash after that counts.
				time.Sleep(time.Second)
				crash()
				for i := range w.entries {
					qt.Check(t, w.refuses(i, 1, 9), qt.IsTrue)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against an answer that ended with its connection never clearing its parts, and
// against one doing so whose replica crashed.
func TestAnswerThatEndedWithItsConnectionCountsIfTheReplicaLivedOn(t *testing.T) {
	for _, livedOn := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1)
			for range 3 {
				w.crash(0, 9)
			}
			qt.Assert(t, w.refuses(0, 9), qt.IsTrue)
			r := newReplica("other")
			w.entries[0].Ended(r, "c", []uint64{9})
			time.Sleep(time.Second)
			if livedOn {
				w.entries[0].Alive(r, time.Now(), time.Now())
			} else {
				r.Incarnation++
				w.entries[0].Alive(r, time.Now(), time.Now())
			}
			qt.Check(t, w.refuses(0, 9), qt.Equals, !livedOn)
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a part that weak evidence bans wrongly staying banned for as long as one
// whose crashes are certain.
func TestBanOnWeakEvidenceIsTriedSooner(t *testing.T) {
	for progress, within := range map[Progress]time.Duration{Waiting: 2 * time.Minute, Beginning: 11 * time.Minute} {
		t.Run(progress.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(3)
				for range 6 {
					w.crashAt(progress, 0, 9)
				}
				w.exchange()
				time.Sleep(2 * time.Second)
				began, admitted := time.Now(), time.Time{}
				for admitted.IsZero() && time.Since(began) < 15*time.Minute {
					for i := range w.entries {
						if !w.refuses(i, 9) {
							admitted = time.Now()
						}
					}
					time.Sleep(time.Second)
				}
				took := admitted.Sub(began)
				qt.Check(t, took > within/5 && took < within, qt.IsTrue, qt.Commentf("%v", took))
				time.Sleep(time.Minute)
			})
		})
	}
}
