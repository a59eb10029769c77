package job

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

var seeds = flag.Int("seeds", 150, "number of seeds of the randomised run")

const (
	simulatedEntries   = 3
	simulatedCustomers = 2
	simulatedRequests  = 12
	faultDuration      = 60 * time.Second
)

// acceptCall is one call to Accept with its result.
type acceptCall struct {
	request *Record
	key     string
	err     error
}

// simulation is one randomised run.
type simulation struct {
	*fleet
	rngMu sync.Mutex
	rng   *rand.Rand

	callsMu sync.Mutex
	calls   []acceptCall
	kills   int
}

func (s *simulation) intn(n int) int {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.IntN(n)
}

// pick returns one of the entries that were not killed.
func (s *simulation) pick() *entry {
	n := len(s.entries) - simulatedEntries
	return s.entries[n+s.intn(simulatedEntries)]
}

// call accepts a request at an entry, sometimes with a key used before.
func (s *simulation) call(e *entry, number int) {
	request := newRequest(fmt.Sprintf("c%d", s.intn(simulatedCustomers)), fmt.Sprintf("r%d", number))
	if s.intn(2) == 0 {
		request.IdempotencyKey = fmt.Sprintf("k%d", s.intn(4))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := e.accept(ctx, request)
	if e.gate.Killed() {
		// A killed entry returns no result.
		err = e.gate.Pass()
	}
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.calls = append(s.calls, acceptCall{request: request, key: request.IdempotencyKey, err: err})
}

// injectFault changes the faults at random.
func (s *simulation) injectFault() {
	e := s.pick()
	late := time.Duration(s.intn(3000)) * time.Millisecond
	switch s.intn(12) {
	case 0:
		s.table.SetFaults(standin.TableFaults{LoseAnswer: 0.5, Latency: late / 100})
	case 1:
		s.table.SetFaults(standin.TableFaults{LoseRequest: 0.5, LateCommitDelay: late})
	case 2:
		s.table.SetFaults(standin.TableFaults{Outage: true})
	case 3, 4:
		s.table.SetFaults(standin.TableFaults{Latency: late / 100})
	case 5:
		s.engine.restart()
	case 6:
		s.objects.SetFaults(standin.ObjectFaults{CallFaults: standin.CallFaults{Outage: true}, LoseAnswer: 0.5})
	case 7:
		s.objects.SetFaults(standin.ObjectFaults{LoseAnswer: 0.3})
	case 8:
		e.gate.Pause()
		s.setSeemsFailed(e, s.intn(2) == 0)
	case 9:
		e.gate.Resume()
		s.setSeemsFailed(e, false)
	case 10:
		// The others consider the entry failed, but it continues to run.
		s.setSeemsFailed(e, true)
	case 11:
		if s.kills < 3 {
			s.kills++
			s.kill(e)
			s.moveToFront(e)
			s.start()
		}
	}
}

// moveToFront moves a killed entry to the front, so that pick does not return
// it.
func (s *simulation) moveToFront(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := []*entry{e}
	for _, other := range s.entries {
		if other != e {
			rest = append(rest, other)
		}
	}
	s.entries = rest
}

// run makes calls under faults, ends the faults, and returns the guarantees
// that were violated.
func (s *simulation) run() []string {
	for range simulatedEntries {
		s.start()
	}
	var calls sync.WaitGroup
	for i := range simulatedRequests {
		wait := time.Duration(s.intn(int(faultDuration)))
		calls.Go(func() {
			time.Sleep(wait)
			s.call(s.lockAndPick(), i)
		})
	}
	for began := time.Now(); time.Since(began) < faultDuration; {
		time.Sleep(time.Duration(s.intn(2000)) * time.Millisecond)
		s.injectFault()
	}
	s.table.SetFaults(standin.TableFaults{})
	s.objects.SetFaults(standin.ObjectFaults{})
	for _, e := range s.entries {
		if !e.gate.Killed() {
			e.gate.Resume()
			s.setSeemsFailed(e, false)
		}
	}
	calls.Wait()
	time.Sleep(2 * time.Minute)
	return s.check()
}

func (s *simulation) lockAndPick() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pick()
}

// check reads every request through a live entry and compares it with the
// result that its caller got.
func (s *simulation) check() []string {
	var violations []string
	reportf := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	reader := s.entries[len(s.entries)-1].store
	byKey := make(map[string]string)
	for _, a := range s.calls {
		id, customer := a.request.ID, a.request.Customer
		got, err := reader.Get(context.Background(), customer, id)
		exists := err == nil
		switch {
		case a.err == nil && !exists:
			reportf("%s was accepted but can't be read: %v", id, err)
		case a.err != nil && verdict.Of(a.err) == verdict.NotRun && exists && !a.request.Joined:
			reportf("%s got not_run (%v) but exists", id, a.err)
		case exists && got.State != StateDone:
			reportf("%s is still %s with owner %s", id, got.State, got.Owner)
		case exists && got.Answer.Text.Inline != expectedAnswer(id, answerTokens):
			reportf("%s has the answer %q", id, got.Answer.Text.Inline)
		}
		if a.err == nil && a.key != "" {
			key := customer + "/" + a.key
			if first, ok := byKey[key]; ok && first != id {
				reportf("key %s was accepted as %s and %s", key, first, id)
			}
			byKey[key] = id
		}
		if _, err := reader.Get(context.Background(), "stranger", id); verdict.CodeOf(err) != verdict.CodeNotFound {
			reportf("%s was returned to another customer", id)
		}
	}
	return violations
}

// TestRandomised runs three entries with random faults, one simulation for each
// seed.
func TestRandomised(t *testing.T) {
	var accepts, notRun, unknown, kills, adopted int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{fleet: newFleet(t, uint64(seed)), rng: rand.New(rand.NewPCG(uint64(seed), 11))}
			s.inlineBytes = 200
			s.guarded = seed%2 == 1
			for _, fault := range s.run() {
				t.Errorf("seed %d: %s", seed, fault)
			}
			for _, a := range s.calls {
				switch {
				case a.err == nil:
					accepts++
				case verdict.Of(a.err) == verdict.NotRun:
					notRun++
				default:
					unknown++
				}
			}
			kills += s.kills
			adopted += adoptedRequests(s.fleet)
			s.close()
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d seeds: %d accepted, %d not_run, %d may_have_run, %d entries killed, %d requests adopted",
		*seeds, accepts, notRun, unknown, kills, adopted)
}
