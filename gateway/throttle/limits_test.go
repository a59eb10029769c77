package throttle_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// members is the list of members of an entry whose calls are never answered.
type members []string

func (m members) Members() []string { return m }
func (m members) MemberCount() int  { return len(m) }
func (m members) Permit(ctx context.Context, _ string, _ peer.PermitRequest) (peer.PermitResult, error) {
	<-ctx.Done()
	return peer.PermitResult{}, ctx.Err()
}

func newThrottle(id string, p throttle.Peers) *throttle.Throttle {
	return throttle.New(throttle.Options{ID: id, Peers: p, Log: nolog.Or(nil), Count: func(string) {}})
}

func newReplica(incarnation int64) *replica.Replica {
	return &replica.Replica{Registration: replica.Registration{ID: "r", Service: service, Incarnation: incarnation}}
}

// held returns the limit that a Throttle holds of newReplica(1).
func held(t *throttle.Throttle) float64 {
	if !t.Limited(newReplica(1)) {
		return 0
	}
	limits, _ := t.Since(0, 10)
	return limits[0].PerSecond
}

// Guards against an answer that was overtaken by a later one raising a limit or
// ending it, and against a limit that doesn't end.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	// answer is sent and arrives at times in seconds, and states a limit.
	type answer struct {
		sent, arrives int
		stated        float64
	}
	for _, test := range []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"named", []answer{{0, 1, 2}}, 2},
		{"lowered", []answer{{0, 1, 4}, {2, 3, 2}}, 2},
		{"lowered by an answer that was sent before", []answer{{1, 2, 4}, {0, 3, 2}}, 2},
		{"raised", []answer{{0, 1, 2}, {2, 3, 4}}, 4},
		{"raised by an answer that was sent before", []answer{{0, 2, 2}, {1, 3, 4}}, 2},
		{"one answer without it", []answer{{0, 1, 2}, {2, 3, 0}}, 2},
		{"two answers without it", []answer{{0, 1, 2}, {2, 3, 0}, {3, 4, 0}}, 0},
		{"answers without it that were sent before", []answer{{0, 3, 2}, {1, 4, 0}, {2, 5, 0}}, 2},
		{"answers without it between others", []answer{{0, 1, 2}, {2, 3, 0}, {4, 5, 2}, {6, 7, 0}}, 2},
		{"named again", []answer{{0, 1, 2}, {2, 3, 0}, {3, 4, 0}, {5, 6, 3}}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, start := newThrottle("e", members{"e"}), time.Now()
				at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
				for _, a := range test.answers {
					time.Sleep(time.Until(at(a.arrives)))
					e.Observe(newReplica(1), a.stated, at(a.sent))
				}
				qt.Check(t, held(e), qt.Equals, test.want)
			})
		})
	}
}

// Guards against announcements of peers that arrive in another order than they were
// made in, and against the limit of one incarnation holding for the next.
func TestAnnouncementsOfLimits(t *testing.T) {
	first := peer.ReplicaLimit{Endpoint: "r", Incarnation: 1, PerSecond: 4, Version: 1}
	lower, ended := first, first
	lower.PerSecond, lower.Version = 2, 2
	ended.PerSecond, ended.Version = 0, 3
	for _, order := range [][]peer.ReplicaLimit{
		{first, lower, ended}, {ended, lower, first}, {lower, first, ended}, {first, ended, lower},
	} {
		e := newThrottle("e", members{"e"})
		for _, l := range order {
			e.Add("peer", l)
		}
		qt.Check(t, held(e), qt.Equals, 0.0, qt.Commentf("%v", order))
	}
	e := newThrottle("e", members{"e"})
	e.Add("peer", first)
	same := first
	same.PerSecond = 3
	e.Add("peer", same)
	// Of two values of the same age, the stricter one counts.
	qt.Check(t, held(e), qt.Equals, 3.0)
	e.Add("peer", first)
	qt.Check(t, held(e), qt.Equals, 3.0)
	qt.Check(t, e.Limited(newReplica(2)), qt.IsFalse)
	qt.Check(t, e.Add("peer", peer.ReplicaLimit{Endpoint: "r", Incarnation: 1, PerSecond: -1, Version: 9}), qt.IsFalse)
}

// Guards against entries that reach no owner, or only less than half of the
// members, and send as much as if they were alone.
func TestEntryThatReachesNoOwnerUsesItsPartOfALimit(t *testing.T) {
	nine := make(members, 9)
	for i := range nine {
		nine[i] = fmt.Sprint("e", i)
	}
	for name, p := range map[string]throttle.Peers{"owners don't answer": nine, "only itself is reachable": isolated{nine}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, lasts = 4.5, 40 * time.Second
				r, sent := newReplica(1), 0
				id := "e0"
				if owner := newThrottle("e0", nine).Owner("r"); owner == id {
					id = "e1"
				}
				e := newThrottle(id, p)
				e.Observe(r, limit, time.Now())
				for began := time.Now(); time.Since(began) < lasts; time.Sleep(10 * time.Millisecond) {
					if e.Acquire(t.Context(), r, throttle.Request{}).OK {
						sent++
					}
				}
				part := limit / 9 * lasts.Seconds()
				qt.Check(t, float64(sent) <= part+1 && float64(sent) >= part/2, qt.IsTrue, qt.Commentf("%d sent, its part is %.0f", sent, part))
			})
		})
	}
}

// isolated is an entry that reaches no other member.
type isolated struct{ members }

func (p isolated) Members() []string { return []string{"e0", "e1"} }
