package quota

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// room connects entries that ask each other for units.
type room struct {
	ids     []string
	entries map[string]*Shared
	// cut are entries that can't be reached and reach nobody.
	cut map[string]bool
}

type seat struct {
	room *room
	id   string
}

func (s seat) Members() []string { return s.room.ids }

func (s seat) Take(_ context.Context, peer, customer string, units float64) (time.Duration, error) {
	if s.room.cut[s.id] || s.room.cut[peer] {
		return 0, errors.New("not reached")
	}
	wait, kept := s.room.entries[peer].TakeWhole(customer, units)
	if !kept {
		return 0, ErrKeptElsewhere
	}
	return wait, nil
}

func newRoom(entries int, now func() time.Time, t Tolerance) *room {
	r := &room{entries: make(map[string]*Shared), cut: make(map[string]bool)}
	for i := range entries {
		r.ids = append(r.ids, fmt.Sprintf("e%d", i))
	}
	for _, id := range r.ids {
		l := NewLimiter(t)
		l.now = now
		r.entries[id] = NewShared(l, id, seat{r, id}, nolog.Or(nil))
		l.SetConfiguration(limited(100_000, 100_000))
	}
	r.tell()
	return r
}

// tell lets entries that reach each other hear each other.
func (r *room) tell() {
	for _, id := range r.ids {
		heard := make(map[string]map[string]float64)
		for _, other := range r.ids {
			if other != id && !r.cut[id] && !r.cut[other] {
				heard[other] = map[string]float64{}
			}
		}
		r.entries[id].SetPeers(len(r.ids), heard)
	}
}

// The load is a customer with few large requests at each entry, within its
// limit over all of them but beyond one entry's part.
func TestLargeRequestsWithinTheLimitAreNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRoom(6, func() time.Time { return now }, Tolerance{Part: 0.1, Units: 140_000})
	now = now.Add(5 * time.Second)
	refused := 0
	for i := range 100 {
		now = now.Add(500 * time.Millisecond)
		if wait, _ := r.entries[r.ids[i%6]].TakeShared(context.Background(), "a", 40_000); wait > 0 {
			refused++
		}
	}
	qt.Assert(t, refused, qt.Equals, 0)
}

// The load is a customer at several times its limit while a third of the
// entries is cut off from the others.
func TestLimitHoldsWhileEntriesAreCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	tolerance := Tolerance{Part: 0.1, Units: 140_000}
	r := newRoom(6, func() time.Time { return now }, tolerance)
	taken := 0.0
	const step, steps, request = 20 * time.Millisecond, 400, 5_000.0
	now = now.Add(5 * time.Second)
	r.cut["e0"], r.cut["e1"] = true, true
	r.tell()
	for i := range steps {
		now = now.Add(step)
		for j := range 6 {
			if wait, _ := r.entries[r.ids[(i+j)%6]].TakeShared(context.Background(), "a", request); wait == 0 {
				taken += request
			}
		}
	}
	span := step * steps
	allowed := (100_000*span.Seconds()+100_000)*(1+tolerance.Part) + tolerance.Units
	qt.Assert(t, taken <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
	qt.Assert(t, taken >= 0.7*100_000*span.Seconds(), qt.IsTrue, qt.Commentf("%v taken", taken))
}

// The load is a customer at many times its limit, and the entry that keeps the
// limit falls silent again and again. What the others hold of their own parts
// must not add up to another burst.
func TestLimitHoldsWhileItsKeeperComesAndGoes(t *testing.T) {
	now := time.Unix(1000, 0)
	tolerance := Tolerance{Part: 0.1, Units: 140_000}
	r := newRoom(9, func() time.Time { return now }, tolerance)
	keeper := r.entries["e0"].keeper("a")
	const step, steps, request = 20 * time.Millisecond, 400, 5_000.0
	now = now.Add(20 * time.Second)
	r.tell()
	taken := 0.0
	for i := range steps {
		now = now.Add(step)
		if i%50 == 0 {
			r.cut[keeper] = i%100 == 50
			r.tell()
			for _, e := range r.entries {
				clear(e.silent)
			}
		}
		for j := range 9 {
			if wait, _ := r.entries[r.ids[(i+j)%9]].TakeShared(context.Background(), "a", request); wait == 0 {
				taken += request
			}
		}
	}
	allowed := (100_000*(step*steps).Seconds()+100_000)*(1+tolerance.Part) + tolerance.Units
	qt.Assert(t, taken <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
}
