package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// world is a deployment of entries that exchange their evidence on demand.
type world struct {
	ready   []*replica.Replica
	entries []*Set
	events  map[string]int
}

func newWorld(entries int) *world {
	w := &world{events: make(map[string]int)}
	var ids []string
	for i := range entries {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	for _, id := range ids {
		w.entries = append(w.entries, New(Options{
			ID: id, Members: func() []string { return ids }, Log: nolog.Or(nil),
			Ready: func(string) []*replica.Replica { return w.ready },
			Count: func(event string) { w.events[event]++ },
		}))
	}
	return w
}

// exchange sends the evidence of each entry to all others.
func (w *world) exchange() {
	for range 2 {
		for _, from := range w.entries {
			all, _ := from.Since("", true, peer.EvidencePosition{}, 1000)
			for _, to := range w.entries {
				for _, e := range all {
					to.Add("peer", e)
				}
			}
		}
	}
}

func newReplica(id string) *replica.Replica {
	return &replica.Replica{Registration: replica.Registration{ID: id, Service: "s", Version: "v1", FailureDomain: "d-" + id, Incarnation: 1}}
}

// crash records the crash of a new replica at an entry.
func (w *world) crash(entry int, parts ...uint64) { w.crashAt(Beginning, entry, parts...) }

func (w *world) crashAt(progress Progress, entry int, parts ...uint64) {
	w.events["replicas"]++
	w.entries[entry].Crashed(newReplica(fmt.Sprintf("r%d", w.events["replicas"])), "c", parts, progress, time.Now())
	time.Sleep(time.Second)
}

func (w *world) refuses(entry int, parts ...uint64) bool {
	_, err := w.entries[entry].Check("c", parts)
	return err != nil
}

func TestBansOfOneEntry(t *testing.T) {
	type prompt = []uint64
	for _, test := range []struct {
		name string
		// answered are answered first, crashed crash one replica each, and sound
		// are answered between these.
		answered, crashed, sound []prompt
		// after are answered after the crashes.
		after             []prompt
		refused, admitted []prompt
	}{
		{name: "two crashes", answered: []prompt{{1}}, crashed: []prompt{{1, 9}, {1, 9}}, admitted: []prompt{{1, 9}, {1}}},
		{name: "three crashes", answered: []prompt{{1}}, crashed: []prompt{{1, 9}, {1, 9}, {1, 9}}, refused: []prompt{{1, 9}, {9}, {2, 9}}, admitted: []prompt{{1}, {1, 2}, {}}},
		{name: "answered part", answered: []prompt{{1, 9}}, crashed: []prompt{{1, 9}, {1, 9}, {1, 9}}, admitted: []prompt{{1, 9}}},
		{name: "answered part, more crashes", answered: []prompt{{1, 9}}, crashed: []prompt{{9}, {9}, {9}, {9}, {9}}, refused: []prompt{{9}, {1, 9}}, admitted: []prompt{{1}}},
		{name: "always the same prompt", crashed: []prompt{{1, 9}, {1, 9}, {1, 9}}, refused: []prompt{{1, 9}, {1, 2, 9}}, admitted: []prompt{{1}, {9}, {1, 2}}},
		{name: "one of them is answered", crashed: []prompt{{1, 9}, {1, 9}, {1, 9}}, after: []prompt{{1}}, refused: []prompt{{9}, {2, 9}}, admitted: []prompt{{1}}},
		{name: "the other crashes alone", crashed: []prompt{{1, 9}, {1, 9}, {1, 9}, {9}}, refused: []prompt{{9}, {1, 9}}, admitted: []prompt{{1}}},
		{name: "several parts beside one that all share", answered: []prompt{{1}}, crashed: []prompt{{1, 2, 7}, {1, 2, 8}, {1, 2, 9}}, refused: []prompt{{1, 2, 7}}, admitted: []prompt{{1, 2}, {1}}},
		{name: "two parts", sound: []prompt{{1}}, crashed: []prompt{{1, 8}, {1, 9}, {1, 8}, {1, 9}, {1, 8}, {1, 9}}, refused: []prompt{{8}, {1, 9}}, admitted: []prompt{{1}}},
		{name: "answered after the ban", answered: []prompt{{1}}, crashed: []prompt{{1, 9}, {1, 9}, {1, 9}}, after: []prompt{{9}}, admitted: []prompt{{1, 9}, {9}}},
		{name: "no shared part", crashed: []prompt{{}, {}, {}}, admitted: []prompt{{}, {1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1)
				for _, p := range test.answered {
					w.entries[0].Answered("c", p)
				}
				time.Sleep(time.Second)
				for _, p := range test.crashed {
					w.crash(0, p...)
					for _, p := range test.sound {
						w.entries[0].Answered("c", p)
					}
				}
				for _, p := range test.after {
					w.entries[0].Answered("c", p)
				}
				for _, p := range test.refused {
					qt.Check(t, w.refuses(0, p...), qt.IsTrue, qt.Commentf("%v", p))
				}
				for _, p := range test.admitted {
					qt.Check(t, w.refuses(0, p...), qt.IsFalse, qt.Commentf("%v", p))
				}
				_, err := w.entries[0].Check("another", []uint64{1, 9})
				qt.Check(t, err, qt.IsNil)
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestReplicasOfADomainThatCrashTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		for i := range 8 {
			r := newReplica(fmt.Sprintf("r%d", i))
			r.FailureDomain = "d"
			w.entries[0].Crashed(r, "c", []uint64{9}, Beginning, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, w.refuses(0, 9), qt.IsFalse)
	})
}

// Guards against crashes of one failure domain in quick succession counting as one
// crash for as long as they go on.
func TestSeriesOfCrashesInADomainIsNotOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		for i := range 40 {
			r := newReplica(fmt.Sprintf("r%d", i))
			r.FailureDomain = "d"
			w.entries[0].Crashed(r, "c", []uint64{9}, Beginning, time.Now())
			time.Sleep(simultaneous * 9 / 10)
		}
		qt.Check(t, w.refuses(0, 9), qt.IsTrue)
	})
}

// Guards against a sound part being banned because crashes are found out only after
// the part was answered again.
func TestAnswerBetweenACrashAndItsEvidenceClearsThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		brokenAt := time.Now()
		time.Sleep(time.Second)
		w.entries[1].Answered("c", []uint64{9})
		time.Sleep(time.Second)
		for i := range 2 * minCrashesIfAnswered {
			w.entries[0].Crashed(newReplica(fmt.Sprint("r", i)), "c", []uint64{9}, Beginning, brokenAt)
		}
		w.exchange()
		qt.Check(t, w.refuses(1, 9), qt.IsFalse)
		time.Sleep(time.Second)
		w.exchange()
		qt.Check(t, w.refuses(0, 9), qt.IsFalse)
		time.Sleep(time.Minute)
	})
}

// Guards against each entry seeing too few crashes to decide.
func TestEntriesDecideFromTheCrashesOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5)
		for i := range 3 {
			w.crash(i, 9)
		}
		w.exchange()
		for i := range w.entries {
			qt.Check(t, w.refuses(i, 9), qt.IsTrue)
		}
		// The same crash, seen by another entry, counts once.
		before := w.events["crash"]
		w.entries[4].Crashed(newReplica("r1"), "c", []uint64{9}, Beginning, time.Now())
		qt.Check(t, w.events["crash"], qt.Equals, before)
	})
}

// Guards against a sound part being banned at an entry that never had it
// answered, although others did.
func TestAnswersAtOneEntryClearAPartAtAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5)
		for i := range 3 {
			w.crash(i, 1, 9)
		}
		w.exchange()
		qt.Assert(t, w.refuses(4, 1, 9), qt.IsTrue)
		w.entries[0].Answered("c", []uint64{1})
		time.Sleep(maxAnnounceDelay + time.Millisecond)
		w.exchange()
		for i := range w.entries {
			qt.Check(t, w.refuses(i, 1), qt.IsFalse)
			qt.Check(t, w.refuses(i, 9), qt.IsTrue)
			qt.Check(t, w.refuses(i, 2, 9), qt.IsTrue)
		}
	})
}

func banPart(t *testing.T, w *world) {
	for range 3 {
		w.crash(0, 9)
	}
	w.exchange()
	for i := range w.entries {
		qt.Assert(t, w.refuses(i, 9), qt.IsTrue)
	}
}

// trials returns how many banned requests are admitted, if one comes to each
// entry every second.
func (w *world) trialsWithin(d time.Duration) int {
	n := 0
	for range d / time.Second {
		for _, e := range w.entries {
			if onTrial, _ := e.Check("c", []uint64{9}); onTrial {
				n++
				r := newReplica(fmt.Sprintf("trial%d", n))
				if len(w.ready) > 0 {
					r.Version = w.ready[0].Version
				}
				e.Crashed(r, "c", []uint64{9}, Beginning, time.Now())
			}
		}
		time.Sleep(time.Second)
		w.exchange()
	}
	return n
}

// Guards against trials that cost a replica every few seconds, and against a
// ban without a way back.
func TestOneBannedRequestIsAdmittedOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5)
		banPart(t, w)
		qt.Check(t, w.trialsWithin(trialInterval-10*time.Second), qt.Equals, 0)
		qt.Check(t, w.trialsWithin(20*time.Second), qt.Equals, 1)
		qt.Check(t, w.trialsWithin(trialInterval-30*time.Second), qt.Equals, 0)
		qt.Check(t, w.trialsWithin(time.Minute), qt.Equals, 1)
	})
}

func TestReplicasOfAnotherVersionBringTheTrialForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5)
		banPart(t, w)
		old, next := newReplica("a"), newReplica("b")
		next.Version = "v2"
		w.ready = []*replica.Replica{old, next}
		qt.Check(t, w.trialsWithin(10*time.Second), qt.Equals, 0)
		w.ready = []*replica.Replica{next}
		qt.Check(t, w.trialsWithin(5*time.Minute), qt.Equals, 1)
	})
}

func TestAnswerOnTrialEndsTheBan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5)
		banPart(t, w)
		time.Sleep(trialInterval)
		admitted := 0
		for _, e := range w.entries {
			if onTrial, _ := e.Check("c", []uint64{9}); onTrial {
				admitted++
				e.Answered("c", []uint64{9})
			}
		}
		qt.Check(t, admitted, qt.Equals, 1)
		time.Sleep(maxAnnounceDelay + time.Millisecond)
		w.exchange()
		for i := range w.entries {
			qt.Check(t, w.refuses(i, 9), qt.IsFalse)
		}
	})
}

func TestEvidenceIsForgottenAfterItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		banPart(t, w)
		time.Sleep(retention + time.Second)
		qt.Check(t, w.refuses(0, 9), qt.IsFalse)
		all, _ := w.entries[0].Since("", true, peer.EvidencePosition{}, 1000)
		qt.Check(t, all, qt.HasLen, 0)
	})
}

// Guards against memory that a customer can fill with made-up parts, and against
// one customer displacing the evidence of others.
func TestMadeUpPartsTakeBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		s := w.entries[0]
		banPart(t, w)
		for i := range uint64(20_000) {
			s.Answered("x", []uint64{i, 1 << 40 * i})
			if i%20 == 0 {
				s.Crashed(newReplica(fmt.Sprintf("x%d", i)), "x", []uint64{2*i + 1}, Beginning, time.Now())
			}
		}
		qt.Check(t, w.refuses(0, 9), qt.IsTrue)
		crashes := 0
		for _, list := range s.evidence.byCustomer {
			crashes += len(list)
		}
		qt.Check(t, crashes <= 3+maxCrashesPerCustomer, qt.IsTrue, qt.Commentf("%d", crashes))
		logged := 0
		for _, log := range s.evidence.logs {
			logged += len(log)
		}
		// What this entry added and all that is known.
		qt.Check(t, logged, qt.Equals, 2*crashes)
		for i := range 10 * maxCustomers {
			s.Answered(fmt.Sprint("customer", i), []uint64{1})
			s.Crashed(newReplica(fmt.Sprintf("y%d", i)), fmt.Sprint("customer", i), []uint64{2}, Beginning, time.Now())
		}
		qt.Check(t, len(s.evidence.byCustomer) <= maxCustomers, qt.IsTrue)
		qt.Check(t, s.answered.byCustomer.Len() <= maxAnsweredCustomers, qt.IsTrue)
		time.Sleep(time.Minute)
	})
}

// TestEvidenceOfAHostilePeer checks that evidence that no entry would send is
// ignored.
func TestEvidenceOfAHostilePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		many := make([]string, 10*maxParts)
		for i := range many {
			many[i] = fmt.Sprint(i)
		}
		for i := range 10 {
			id := fmt.Sprint("r", i)
			qt.Check(t, w.entries[0].Add("p", peer.CrashEvidence{Customer: "c", Endpoint: id}), qt.IsFalse)
			qt.Check(t, w.entries[0].Add("p", peer.CrashEvidence{Customer: "c", Endpoint: id, Parts: []string{"not a number"}}), qt.IsFalse)
			qt.Check(t, w.entries[0].Add("p", peer.CrashEvidence{Customer: "c", Endpoint: id, Parts: many}), qt.IsFalse)
			qt.Check(t, w.entries[0].Add("p", peer.CrashEvidence{Customer: "c", Endpoint: id, Parts: []string{"9"}, AgeMS: retention.Milliseconds() + 1}), qt.IsFalse)
		}
		qt.Check(t, w.refuses(0, 9), qt.IsFalse)
	})
}

// TestFewEntriesAnnounceAtOnce checks that few of the members that have the same
// answer announce it before the first announcement has reached them.
func TestFewEntriesAnnounceAtOnce(t *testing.T) {
	const spread = 60 * time.Millisecond
	for _, members := range []int{1, 9, 195, 410} {
		total := 0
		const rounds = 200
		for round := range rounds {
			first, within := maxAnnounceDelay, 0
			delays := make([]time.Duration, members)
			for i := range delays {
				delays[i] = announceDelay(members, fraction(round*members+i))
				first = min(first, delays[i])
			}
			for _, d := range delays {
				if d <= first+spread {
					within++
				}
			}
			total += within
			qt.Assert(t, first >= 0 && first <= maxAnnounceDelay, qt.IsTrue)
		}
		mean := float64(total) / rounds
		qt.Check(t, mean <= 5, qt.IsTrue, qt.Commentf("%d members: %.1f announcements", members, mean))
	}
}

// fraction returns the n-th of a sequence of numbers that are evenly distributed
// in [0, 1).
func fraction(n int) float64 {
	const golden = 0.6180339887498949
	x := float64(n) * golden
	return x - float64(int(x))
}
