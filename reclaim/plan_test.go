package reclaim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	kvBytesPerToken = 128 << 10
	testBandwidth   = 1 << 30
)

var testNow = time.Unix(1000, 0)

// stream returns a stream on host "gone" with the given prompt, generated and
// remaining tokens.
func stream(id string, prompt, generated, remaining int, u template.Urgency) Stream {
	return Stream{
		ID: id, HostID: "gone", Model: "m", Version: "1", Urgency: u,
		PromptTokens: prompt, GeneratedTokens: generated, RemainingTokens: remaining,
		DecodeRate: 40, KVBytes: int64(prompt+generated) * kvBytesPerToken,
	}
}

func target(n int) Target {
	return Target{
		EndpointID: fmt.Sprintf("e%d", n), HostID: fmt.Sprintf("h%d", n), Model: "m", Version: "1",
		PrefillRate: 8000, DecodeRate: 40, FreeSlots: 8, Batch: 16, Import: true,
	}
}

func byID(ds []Decision) map[string]Decision {
	out := map[string]Decision{}
	for _, d := range ds {
		out[d.StreamID] = d
	}
	return out
}

func TestPlan(t *testing.T) {
	long := stream("s", 4000, 500, 1000, template.UrgencyPatient)
	leaving := target(1)
	leaving.Leaving = true
	otherVersion := target(1)
	otherVersion.Version = "2"
	noImport := target(1)
	noImport.Import = false
	own := target(1)
	own.HostID = "gone"
	unmovable := long
	unmovable.KVBytes = 0
	tests := []struct {
		name      string
		stream    Stream
		remaining time.Duration
		targets   []Target
		cached    int
		want      Action
		target    string
	}{
		{"ends in time", stream("s", 100, 10, 40, template.UrgencyUrgent), 5 * time.Second, []Target{target(1)}, 0, ActionFinish, ""},
		{"ends too late", long, 5 * time.Second, []Target{target(1)}, 0, ActionMoveKV, "e1"},
		{"no time to move", long, 300 * time.Millisecond, []Target{target(1)}, 0, ActionResume, "e1"},
		{"prefix is at the target", stream("s", 4000, 10, 1000, template.UrgencyPatient), 5 * time.Second, []Target{target(1)}, 3990, ActionResume, "e1"},
		{"can't be moved", unmovable, 5 * time.Second, []Target{target(1)}, 0, ActionResume, "e1"},
		{"target can't import", long, 5 * time.Second, []Target{noImport}, 0, ActionResume, "e1"},
		{"leaving target", long, 5 * time.Second, []Target{leaving, target(2)}, 0, ActionMoveKV, "e2"},
		{"only a leaving target", long, 5 * time.Second, []Target{leaving}, 0, ActionResume, ""},
		{"other version", long, 5 * time.Second, []Target{otherVersion}, 0, ActionResume, ""},
		{"own host", long, 5 * time.Second, []Target{own}, 0, ActionResume, ""},
		{"urgent and short", stream("s", 200, 5, 300, template.UrgencyUrgent), 5 * time.Second, []Target{target(1)}, 0, ActionResume, "e1"},
		{"no time left", long, -time.Second, []Target{target(1)}, 0, ActionResume, "e1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ds := Plan(testNow, test.remaining, []Stream{test.stream}, Targets{
				Endpoints: test.targets, Bandwidth: testBandwidth,
				Cached: func(_, _ string) int { return test.cached },
			})
			c.Assert(ds, qt.HasLen, 1)
			c.Assert(ds[0].Action, qt.Equals, test.want)
			c.Assert(ds[0].Target, qt.Equals, test.target)
			c.Assert(ds[0].Reason, qt.Not(qt.Equals), "")
		})
	}
}

// TestExportsByTokensSavedPerSecond plans three streams whose host has time for
// only one transfer. The KV cache that saves the most tokens per second of
// transfer must be moved.
func TestExportsByTokensSavedPerSecond(t *testing.T) {
	c := qt.New(t)
	fat := stream("fat", 4000, 0, 1000, template.UrgencyPatient)
	lean := stream("lean", 4000, 0, 1000, template.UrgencyPatient)
	lean.KVBytes /= 2
	known := stream("known", 4000, 0, 1000, template.UrgencyPatient)
	ds := byID(Plan(testNow, 600*time.Millisecond, []Stream{fat, known, lean}, Targets{
		Endpoints: []Target{target(1)}, Bandwidth: testBandwidth,
		Cached: func(id, _ string) int {
			if id == "known" {
				return 3000
			}
			return 0
		},
	}))
	c.Assert(ds["lean"].Action, qt.Equals, ActionMoveKV)
	c.Assert(ds["fat"].Action, qt.Equals, ActionResume)
	c.Assert(ds["known"].Action, qt.Equals, ActionResume)
	c.Assert(ds["known"].Recomputed, qt.Equals, 1000)
}

// TestUrgentResumesFirst resumes many streams on one target. The urgent ones
// must begin first, and the others may use only half of the target's prefill
// rate.
func TestUrgentResumesFirst(t *testing.T) {
	c := qt.New(t)
	var streams []Stream
	for i := range 20 {
		u := template.UrgencyPatient
		if i%4 == 0 {
			u = template.UrgencyUrgent
		}
		s := stream(fmt.Sprintf("s%02d", i), 1000, 0, 2000, u)
		s.KVBytes = 0
		streams = append(streams, s)
	}
	big := target(1)
	big.FreeSlots = 100
	ds := Plan(testNow, time.Second, streams, Targets{Endpoints: []Target{big}})
	for i, d := range ds {
		c.Assert(i < 5, qt.Equals, isUrgent(streams, d.StreamID), qt.Commentf("%d: %s", i, d.StreamID))
	}
	last := ds[len(ds)-1]
	// 5 urgent prefills of 125 ms, then 14 patient ones at half the rate.
	c.Assert(last.Start.Sub(testNow), qt.Equals, 5*125*time.Millisecond+14*250*time.Millisecond)
}

func isUrgent(streams []Stream, id string) bool {
	for _, s := range streams {
		if s.ID == id {
			return s.Urgency == template.UrgencyUrgent
		}
	}
	return false
}

// TestPlanProperties checks the following for random streams and targets: each
// stream has one decision; none is moved to its own host, a draining host or
// another version; the transfers of a host don't overlap and end within the
// notice; and the resumes on one target don't overlap.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		streams := rapid.SliceOfN(rapid.Custom(drawStream), 0, 40).Draw(rt, "streams")
		for i := range streams {
			streams[i].ID = fmt.Sprintf("s%d", i)
		}
		targets := Targets{
			Endpoints: rapid.SliceOfN(rapid.Custom(drawTarget), 0, 8).Draw(rt, "targets"),
			Bandwidth: rapid.Float64Range(0, 4<<30).Draw(rt, "bandwidth"),
			Share:     rapid.Float64Range(0, 1).Draw(rt, "part"),
			Cached:    func(id, _ string) int { return len(id) * 500 },
		}
		for i := range targets.Endpoints {
			targets.Endpoints[i].EndpointID = fmt.Sprintf("e%d", i)
		}
		remaining := time.Duration(rapid.Int64Range(-1, int64(20*time.Second)).Draw(rt, "remaining"))
		ds := Plan(testNow, remaining, streams, targets)
		checkPlan(rt, ds, streams, targets, remaining)
	})
}

func checkPlan(rt *rapid.T, ds []Decision, streams []Stream, targets Targets, remaining time.Duration) {
	if len(ds) != len(streams) || len(byID(ds)) != len(streams) {
		rt.Fatalf("%d decisions for %d streams", len(ds), len(streams))
	}
	streamOf := map[string]Stream{}
	for _, s := range streams {
		streamOf[s.ID] = s
	}
	endpoints := map[string]Target{}
	for _, e := range targets.Endpoints {
		endpoints[e.EndpointID] = e
	}
	sendingUntil := map[string]time.Time{}
	resumingUntil := map[string]time.Time{}
	for _, d := range ds {
		s := streamOf[d.StreamID]
		if d.Start.Before(testNow) || d.Recomputed < 0 {
			rt.Fatalf("bad decision %+v", d)
		}
		if d.Target != "" {
			to := endpoints[d.Target]
			if to.Leaving || to.HostID == s.HostID || to.Version != s.Version || d.Action == ActionFinish {
				rt.Fatalf("decision %+v has the unusable target %+v", d, to)
			}
		}
		switch d.Action {
		case ActionMoveKV:
			if d.Start.Before(sendingUntil[s.HostID]) {
				rt.Fatalf("transfers of %s overlap", s.HostID)
			}
			sendingUntil[s.HostID] = d.Start.Add(d.Transfer)
			if sendingUntil[s.HostID].Sub(testNow) > remaining {
				rt.Fatalf("transfer ends %v after the notice", sendingUntil[s.HostID].Sub(testNow)-remaining)
			}
		case ActionResume:
			if d.Target == "" {
				continue
			}
			if d.Start.Before(resumingUntil[d.Target]) {
				rt.Fatalf("resumes on %s overlap", d.Target)
			}
			resumingUntil[d.Target] = d.Start.Add(d.Stall)
		}
	}
}

func drawStream(rt *rapid.T) Stream {
	urgencies := []template.Urgency{template.UrgencyUrgent, template.UrgencyNormal, template.UrgencyPatient}
	s := stream("", rapid.IntRange(0, 9000).Draw(rt, "prompt"), rapid.IntRange(0, 2000).Draw(rt, "generated"),
		rapid.IntRange(0, 2000).Draw(rt, "remaining"), rapid.SampledFrom(urgencies).Draw(rt, "urgency"))
	s.HostID = fmt.Sprintf("h%d", rapid.IntRange(0, 4).Draw(rt, "host"))
	s.DecodeRate = rapid.Float64Range(0, 100).Draw(rt, "rate")
	if rapid.IntRange(0, 4).Draw(rt, "movable") == 0 {
		s.KVBytes = 0
	}
	return s
}

func drawTarget(rt *rapid.T) Target {
	e := target(rapid.IntRange(0, 6).Draw(rt, "host"))
	e.Leaving = rapid.Bool().Draw(rt, "leaving")
	e.Version = rapid.SampledFrom([]string{"1", "1", "2"}).Draw(rt, "version")
	e.FreeSlots = rapid.IntRange(-4, 16).Draw(rt, "free")
	e.QueuedPromptTokens = rapid.IntRange(0, 20000).Draw(rt, "queued")
	e.Import = rapid.Bool().Draw(rt, "import")
	return e
}
