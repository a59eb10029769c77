package room

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

func splitList(s string) []string { return strings.Split(s, ",") }

// full returns a view that reports a large demand and much waiting work.
func full(jitter float64) map[string]peer.ServiceDemand {
	d := peer.ServiceDemand{Waiting: map[int]float64{0: 100 + jitter, 2: 500}, InFlight: 3000, Accepted: 10}
	d.Classes = map[int]map[string]peer.ClassDemand{0: {}, 2: {}}
	for _, c := range []string{"customer-0", "customer-1", "customer-2"} {
		d.Classes[0][c], d.Classes[2][c] = peer.ClassDemand{Work: 100, Requests: 1000}, peer.ClassDemand{Work: 100, Requests: 1000}
	}
	return map[string]peer.ServiceDemand{"s": d}
}

// TestStuckReportersCauseRefusalsForTwoSeconds guards against a view that reports full
// forever, whether it is updated or not.
func TestStuckReportersCauseRefusalsForTwoSeconds(t *testing.T) {
	for name, jitter := range map[string]float64{"frozen": 0, "updated": 1} {
		t.Run(name, func(t *testing.T) {
			forEntries(t, func(t *testing.T, entries int) {
				p := newPlay(scenario{fault: func(_ *play, _ int, now float64, v *View) {
					if now > 6 {
						v.Services = full(jitter * now)
					}
				}}.with(withRoom, entries)).run()
				t.Logf("refusals by second from 5 on: %v", p.refusalsAt[5:14])
				for second, n := range p.refusalsAt {
					if second < 6 || second > 8 {
						qt.Check(t, n, qt.Equals, 0, qt.Commentf("second %d", second))
					}
				}
			})
		})
	}
}

// TestFaultsOfTheView plays a shortage in which the views fail. It guards against
// entries that admit everything, or nothing.
func TestFaultsOfTheView(t *testing.T) {
	var held map[string]peer.ServiceDemand
	for name, fault := range map[string]func(p *play, entry int, now float64, v *View){
		"aggregator killed from 10 to 13 s": func(_ *play, _ int, now float64, v *View) { v.Known = now < 10 || now > 13 },
		"half of the entries cut off":       func(_ *play, entry int, _ float64, v *View) { v.Known = entry%2 == 0 },
		"aggregator frozen from 10 to 14 s": func(_ *play, _ int, now float64, v *View) {
			if now < 10 || now > 14 {
				held = v.Services
			}
			v.Services = held
		},
		"counted by two aggregators": func(_ *play, _ int, _ float64, v *View) {
			sum := v.Services["s"]
			sum.Add(v.Services["s"], 0) // copies the maps
			twice := peer.ServiceDemand{}
			twice.Add(sum, 2)
			v.Services = map[string]peer.ServiceDemand{"s": twice}
		},
		"half of the entries restarted": func(p *play, entry int, now float64, v *View) {
			if entry%2 == 0 && now >= 10 && now < 10.4 {
				p.entry[entry] = New(Options{Seed: 9, Log: nolog.Or(nil), Capacity: func(string) Capacity { return p.capacity() }})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEntries(t, func(t *testing.T, entries int) {
				s := scenario{load: 2, burst: true}
				sound, before := s.with(withRoom, entries).run(), s.with(current, entries).run()
				s.fault = fault
				p := newPlay(s.with(withRoom, entries)).run()
				t.Logf("worth %.4f, %.4f without the fault, %.3f by the current code", p.worth/p.possible, sound.worth/sound.possible, before.worth/before.possible)
				qt.Check(t, p.worth > before.worth, qt.IsTrue)
				qt.Check(t, p.worth > 0.75*sound.worth, qt.IsTrue)
			})
		})
	}
}

// TestPlainServiceIsAdmittedUnderChanceOverruns guards against refusals for a service
// of 3 replicas with 6 slots whose replicas are full for moments.
func TestPlainServiceIsAdmittedUnderChanceOverruns(t *testing.T) {
	c := New(Options{Log: nolog.Or(nil), Capacity: func(string) Capacity { return Capacity{Replicas: 3, Slots: 18} }})
	now := playStart
	r := Request{Service: "p", Route: "p", Objective: 120 * time.Millisecond, Remaining: 1500 * time.Millisecond}
	for range 4000 {
		d := c.Decide(now, r)
		qt.Assert(t, d.Admit, qt.IsTrue)
		ticket, begun := c.Begin(now, r), now
		if now.UnixMilli()%7 == 0 {
			c.RoomIn(now, r) // a replica was full
		}
		qt.Assert(t, c.HasRoom(now, "p", 0), qt.IsTrue)
		now = now.Add(4 * time.Millisecond)
		ticket.FirstToken(begun.Add(15 * time.Millisecond))
		ticket.End(begun.Add(15*time.Millisecond), true)
	}
}

// BenchmarkRefusal measures a decision while room is short.
func BenchmarkRefusal(b *testing.B) {
	p := newPlay(scenario{load: 2, burst: true}.with(withRoom, 58))
	p.after(12, func() { p.events = nil })
	p.run()
	r := Request{Class: Class{Customer: "customer-0", Urgency: 2}, Service: "s", Route: "2", Work: 0.07, Objective: time.Second, Remaining: 12 * time.Second}
	now := p.time()
	for b.Loop() {
		now = now.Add(80 * time.Microsecond)
		p.entry[0].Decide(now, r)
	}
}
