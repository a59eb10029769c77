package reclaim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// fakeCarrier holds streams by host and records moves.
type fakeCarrier struct {
	mu         sync.Mutex
	streams    map[string][]Stream
	moves      []string
	began      time.Time
	movedAfter map[string]time.Duration
}

func newFakeCarrier(streams ...Stream) *fakeCarrier {
	c := &fakeCarrier{streams: map[string][]Stream{}, movedAfter: map[string]time.Duration{}, began: time.Now()}
	for _, s := range streams {
		c.streams[s.HostID] = append(c.streams[s.HostID], s)
	}
	return c
}

func (c *fakeCarrier) Streams(hostID string) []Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Stream(nil), c.streams[hostID]...)
}

func (c *fakeCarrier) Move(hostID string, d Decision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, s := range c.streams[hostID] {
		if s.ID == d.StreamID {
			c.streams[hostID] = append(c.streams[hostID][:i], c.streams[hostID][i+1:]...)
			c.moves = append(c.moves, string(d.Action)+" "+d.StreamID)
			c.movedAfter[d.StreamID] = time.Since(c.began)
			return true
		}
	}
	return false
}

func (c *fakeCarrier) end(hostID, id string) {
	c.Move(hostID, Decision{StreamID: id, Action: "ended"})
}

func testTargets([]Stream) Targets {
	return Targets{Endpoints: []Target{target(1), target(2)}, Bandwidth: testBandwidth}
}

func onHost(host string, s Stream) Stream {
	s.HostID = host
	return s
}

func TestRunner(t *testing.T) {
	long := stream("long", 4000, 500, 1000, template.UrgencyPatient)
	longer := stream("longer", 6000, 500, 1000, template.UrgencyPatient)
	short := stream("short", 100, 10, 40, template.UrgencyUrgent)
	tests := []struct {
		name    string
		streams []Stream
		notices map[string]time.Duration
		// ends is the ID of a stream that finishes by itself after a
		// second.
		ends string
		want []string
	}{
		{"finishes in place", []Stream{short}, map[string]time.Duration{"gone": 5 * time.Second}, "short", []string{"ended short"}},
		{"longer than expected", []Stream{short}, map[string]time.Duration{"gone": 5 * time.Second}, "", []string{"resume short"}},
		{"caches move", []Stream{long, longer}, map[string]time.Duration{"gone": 5 * time.Second}, "", []string{"move_kv longer", "move_kv long"}},
		{"unknown notice", []Stream{long}, map[string]time.Duration{"gone": 0}, "", []string{"move_kv long"}},
		{"two hosts of a wave", []Stream{long, onHost("gone2", longer)}, map[string]time.Duration{"gone": 2 * time.Second, "gone2": 2 * time.Second}, "",
			[]string{"move_kv long", "move_kv longer"}},
		{"other host stays", []Stream{onHost("stays", long)}, map[string]time.Duration{"gone": 5 * time.Second}, "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				carrier := newFakeCarrier(test.streams...)
				r := NewRunner(RunnerOptions{Carrier: carrier, Targets: testTargets})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var done sync.WaitGroup
				done.Go(func() { r.Run(ctx) })
				for host, remaining := range test.notices {
					r.Announce(host, remaining)
				}
				if test.ends != "" {
					time.Sleep(time.Second)
					carrier.end("gone", test.ends)
				}
				time.Sleep(10 * time.Second)
				cancel()
				done.Wait()
				c.Assert(carrier.moves, qt.DeepEquals, test.want)
				for id, at := range carrier.movedAfter {
					c.Assert(at <= 5*time.Second, qt.IsTrue, qt.Commentf("%s moved after %v", id, at))
				}
			})
		})
	}
}

// TestRunnerEndsWithContext cancels the context in the middle of a plan. Moves
// that are not yet due must not be executed.
func TestRunnerEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		carrier := newFakeCarrier(stream("a", 4000, 500, 1000, template.UrgencyPatient), stream("b", 6000, 500, 1000, template.UrgencyPatient))
		r := NewRunner(RunnerOptions{Carrier: carrier, Targets: testTargets})
		ctx, cancel := context.WithTimeout(context.Background(), batchWindow+time.Millisecond)
		defer cancel()
		r.Announce("gone", 5*time.Second)
		r.Run(ctx)
		qt.Assert(t, carrier.moves, qt.DeepEquals, []string{"move_kv b"})
	})
}
