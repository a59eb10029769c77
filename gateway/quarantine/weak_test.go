package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
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

// crashesOf records crashes of replicas of one domain, with requests that waited.
func (w *world) crashesOf(domain string, n int, spread time.Duration, parts ...uint64) {
	for range n {
		w.events["replicas"]++
		r := newReplica(fmt.Sprintf("r%d", w.events["replicas"]))
		r.FailureDomain = domain
		w.entries[0].Crashed(r, "c", parts, Waiting, time.Now())
		time.Sleep(spread / time.Duration(n))
	}
}

// Guards against a sound part being banned because all replicas of a domain that held
// requests with it are lost, and their connections break off over some seconds.
func TestLostDomainBansNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		other := newReplica("other")
		lost := newReplica("lost")
		w.ready = []*replica.Replica{other, lost}
		w.crashesOf("lost", 20, lossTime, 9)
		time.Sleep(time.Minute)
		qt.Check(t, w.refuses(0, 9), qt.IsFalse)
	})
}

// Guards against bans that come late because all replicas are in one domain.
func TestPartIsBannedInTheOnlyDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		only := newReplica("r")
		only.FailureDomain = "only"
		w.ready = []*replica.Replica{only}
		w.crashesOf("only", 5, time.Second, 9)
		time.Sleep(2 * time.Second)
		qt.Check(t, w.refuses(0, 9), qt.IsTrue)
		time.Sleep(time.Minute)
	})
}

// Guards against a ban that ends because other crashes displace its evidence.
func TestCrashesOfADomainDontDisplaceABan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		banPart(t, w)
		for i := range 2 * maxCrashesPerCustomer {
			r := newReplica(fmt.Sprint("lost", i))
			r.FailureDomain = "lost"
			w.entries[0].Crashed(r, "c", []uint64{1, 100 + uint64(i)}, Beginning, time.Now())
		}
		qt.Check(t, w.refuses(0, 9), qt.IsTrue)
		time.Sleep(time.Minute)
	})
}

// Guards against a part that crashes replicas being dropped because a replica held too
// many other requests.
func TestSuspectOfManyRequestsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const last = 1 << 40 // in the order of the parts
		w := newWorld(1)
		for n := range uint64(20) {
			r := newReplica(fmt.Sprint("r", n))
			for i := range uint64(3 * maxWeakParts / 2) {
				w.entries[0].Crashed(r, "c", []uint64{1000 + 1000*n + i}, Waiting, time.Now())
			}
			w.entries[0].Crashed(r, "c", []uint64{last}, Waiting, time.Now())
			time.Sleep(time.Second)
		}
		for _, c := range w.entries[0].evidence.byCustomer["c"] {
			qt.Check(t, len(c.parts()) <= maxWeakParts, qt.IsTrue)
		}
		in := crashesByPart(w.entries[0].evidence.byCustomer["c"], w.entries[0].answersLocked("c"))
		qt.Check(t, len(in[last]) >= 18, qt.IsTrue, qt.Commentf("%d", len(in[last])))
		time.Sleep(time.Minute)
	})
}

// Guards against the loss of the only failure domain of a service being blamed on the parts
// that were in use: its replicas go within some seconds, and there is no one to answer.
func TestLossOfTheOnlyDomainBansNoSoundPart(t *testing.T) {
	for _, spread := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		for _, domains := range []int{1, 2} {
			t.Run(fmt.Sprintf("%v/domains=%d", spread, domains), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const replicas = 16
					w := newWorld(3)
					start := func(incarnation int64) {
						w.ready = nil
						for i := range replicas {
							r := newReplica(fmt.Sprint("r", i))
							r.FailureDomain, r.Incarnation = fmt.Sprint("d", i%domains), incarnation
							w.ready = append(w.ready, r)
						}
					}
					start(1)
					for i := range w.entries {
						w.entries[i].Answered("c", []uint64{7, 8})
					}
					lost := w.ready
					for i, r := range lost {
						if r.FailureDomain != "d0" {
							continue
						}
						time.Sleep(spread / replicas)
						// Each held requests with the usual first part and a part of their own.
						w.entries[i%3].Crashed(r, "c", []uint64{7, uint64(100 + i)}, Waiting, time.Now())
						w.entries[(i+1)%3].Crashed(r, "c", []uint64{7, uint64(200 + i)}, Waiting, time.Now())
					}
					w.exchange()
					time.Sleep(10 * time.Second)
					start(2)
					refused := 0
					for i := range 30 {
						if w.refuses(i%3, 7, uint64(300+i)) {
							refused++
						}
					}
					qt.Check(t, refused, qt.Equals, 0)
				})
			})
		}
	}
}
