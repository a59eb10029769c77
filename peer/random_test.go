package peer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

var (
	seeds     = flag.Int("seeds", 12, "number of seeds of the randomised run")
	firstSeed = flag.Uint64("seed", 1, "first seed of the randomised run")
)

const (
	// faultSteps is the number of random faults in a run.
	faultSteps = 25
	// healWithin bounds the time from the end of all faults until all entries
	// agree.
	healWithin = 30 * time.Second
)

// schedule injects random faults, drawn from a seed.
type schedule struct {
	cl  *cluster
	rng *rand.Rand
	// notices and template number the notices and template versions so far.
	notices  int
	template uint64
	// noticedHosts are the hosts of all broadcast notices.
	noticedHosts []string
}

// TestRandomFaults injects random faults and removes all of them at the end of
// each run. Then all entries must agree on members, notices and template
// version within healWithin.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			size := []int{3, 5, 9, 9, 20}[seed%5]
			inBubble(t, size, func(cl *cluster) {
				s := &schedule{cl: cl, rng: rand.New(rand.NewPCG(seed, 7))}
				for range faultSteps {
					s.step()
					time.Sleep(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
				}
				s.heal()
				took := cl.within(healWithin, "agreement", s.agreed)
				t.Logf("%d entries, %d notices: agreed after %v", size, s.notices, took)
			})
		})
	}
}

func (s *schedule) pick() *node { return s.cl.nodes[s.rng.IntN(len(s.cl.nodes))] }

func (s *schedule) step() {
	n := s.pick()
	switch s.rng.IntN(8) {
	case 0:
		if len(s.cl.live()) > 2 {
			n.kill()
		}
	case 1, 2:
		if !n.up {
			n.start()
		}
	case 3:
		if o := s.pick(); o != n {
			s.cl.network.SetCut(n.host, o.host, s.rng.IntN(2) == 0)
		}
	case 4:
		s.cl.isolate(n, s.rng.IntN(2) == 0)
	case 5:
		s.cl.table.SetFaults(standin.TableFaults{
			Outage:     s.rng.IntN(3) == 0,
			Hang:       s.rng.IntN(4) == 0,
			LoseAnswer: s.rng.Float64() / 2,
			Latency:    time.Duration(s.rng.IntN(500)) * time.Millisecond,
		})
	case 6:
		s.template++
		s.live().apply("karoo", s.template)
	case 7:
		s.notices++
		host := fmt.Sprint("host-", s.notices)
		s.noticedHosts = append(s.noticedHosts, host)
		s.live().mesh.BroadcastNotice(notice(host))
	}
}

// live returns a random live node.
func (s *schedule) live() *node {
	live := s.cl.live()
	return live[s.rng.IntN(len(live))]
}

// heal removes all faults and starts all killed nodes.
func (s *schedule) heal() {
	s.cl.table.SetFaults(standin.TableFaults{})
	for i, a := range s.cl.nodes {
		for _, b := range s.cl.nodes[:i] {
			s.cl.network.SetCut(a.host, b.host, false)
		}
	}
	for _, n := range s.cl.nodes {
		if !n.up {
			n.start()
		}
	}
}

// agreed reports whether all entries see one another as live and have the same
// notices and the same template version. A notice or version that only killed
// entries had may be lost, but then at all entries.
func (s *schedule) agreed() bool {
	if !s.cl.meshed() {
		return false
	}
	first := s.cl.nodes[0]
	for _, n := range s.cl.nodes {
		if n.version("karoo") != first.version("karoo") {
			return false
		}
		for _, host := range s.noticedHosts {
			if n.notices.Leaving(host, "1") != first.notices.Leaving(host, "1") {
				return false
			}
		}
		for _, o := range s.cl.nodes {
			if !n.registry.Alive(o.id, o.registry.Self().Incarnation) {
				return false
			}
		}
	}
	return true
}
