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
	runEntries   = 3
	runCustomers = 2
	runRequests  = 12
	runTime      = 60 * time.Second
)

// accepted is a request as its caller knows it.
type accepted struct {
	request *Record
	key     string
	err     error
}

// run is one randomised run.
type run struct {
	*fleet
	rngMu sync.Mutex
	rng   *rand.Rand

	callsMu sync.Mutex
	calls   []accepted
	kills   int
}

func (r *run) intn(n int) int {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.IntN(n)
}

// pick returns one of the entries that still run.
func (r *run) pick() *entry {
	n := len(r.entries) - runEntries
	return r.entries[n+r.intn(runEntries)]
}

// call accepts a request at an entry, sometimes under a key used before.
func (r *run) call(e *entry, number int) {
	request := newRequest(fmt.Sprintf("c%d", r.intn(runCustomers)), fmt.Sprintf("r%d", number))
	if r.intn(2) == 0 {
		request.IdempotencyKey = fmt.Sprintf("k%d", r.intn(4))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := e.accept(ctx, request)
	if e.gate.Dead() {
		// A dead entry answers nobody.
		err = e.gate.Pass()
	}
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	r.calls = append(r.calls, accepted{request: request, key: request.IdempotencyKey, err: err})
}

// disturb draws one change of faults.
func (r *run) disturb() {
	e := r.pick()
	late := time.Duration(r.intn(3000)) * time.Millisecond
	switch r.intn(12) {
	case 0:
		r.table.SetFaults(standin.TableFaults{LoseAnswer: 0.5, Latency: late / 100})
	case 1:
		r.table.SetFaults(standin.TableFaults{LoseRequest: 0.5, Late: late})
	case 2:
		r.table.SetFaults(standin.TableFaults{Outage: true})
	case 3, 4:
		r.table.SetFaults(standin.TableFaults{Latency: late / 100})
	case 5:
		r.engine.restart()
	case 6:
		r.objects.SetFaults(standin.ObjectFaults{CallFaults: standin.CallFaults{Outage: true}, LoseAnswer: 0.5})
	case 7:
		r.objects.SetFaults(standin.ObjectFaults{LoseAnswer: 0.3})
	case 8:
		e.gate.Pause()
		r.setDead(e, r.intn(2) == 0)
	case 9:
		e.gate.Wake()
		r.setDead(e, false)
	case 10:
		// Seems dead for a while, but goes on.
		r.setDead(e, true)
	case 11:
		if r.kills < 3 {
			r.kills++
			r.kill(e)
			r.remove(e)
			r.start()
		}
	}
}

// remove moves a dead entry to the front, so that pick leaves it out.
func (r *run) remove(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := []*entry{e}
	for _, other := range r.entries {
		if other != e {
			rest = append(rest, other)
		}
	}
	r.entries = rest
}

// play makes calls under faults, ends the faults, and returns the promises
// that it found broken.
func (r *run) play() []string {
	for range runEntries {
		r.start()
	}
	var calls sync.WaitGroup
	for i := range runRequests {
		wait := time.Duration(r.intn(int(runTime)))
		calls.Go(func() {
			time.Sleep(wait)
			r.call(r.pickLocked(), i)
		})
	}
	for began := time.Now(); time.Since(began) < runTime; {
		time.Sleep(time.Duration(r.intn(2000)) * time.Millisecond)
		r.disturb()
	}
	r.table.SetFaults(standin.TableFaults{})
	r.objects.SetFaults(standin.ObjectFaults{})
	for _, e := range r.entries {
		if !e.gate.Dead() {
			e.gate.Wake()
			r.setDead(e, false)
		}
	}
	calls.Wait()
	time.Sleep(2 * time.Minute)
	return r.check()
}

func (r *run) pickLocked() *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pick()
}

// check reads every request back through an entry that lives.
func (r *run) check() []string {
	var broken []string
	complain := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	reader := r.entries[len(r.entries)-1].store
	byKey := make(map[string]string)
	for _, a := range r.calls {
		id, customer := a.request.ID, a.request.Customer
		got, err := reader.Get(context.Background(), customer, id)
		exists := err == nil
		switch {
		case a.err == nil && !exists:
			complain("%s was accepted and is gone: %v", id, err)
		case a.err != nil && verdict.Of(a.err) == verdict.NotRun && exists && !a.request.Joined:
			complain("%s was told not_run (%v) and exists", id, a.err)
		case exists && got.State != StateDone:
			complain("%s is still %s with owner %s", id, got.State, got.Owner)
		case exists && got.Answer.Text.Inline != wholeAnswer(id, answerTokens):
			complain("%s has the answer %q", id, got.Answer.Text.Inline)
		}
		if a.err == nil && a.key != "" {
			key := customer + "/" + a.key
			if first, ok := byKey[key]; ok && first != id {
				complain("key %s was accepted as %s and %s", key, first, id)
			}
			byKey[key] = id
		}
		if _, err := reader.Get(context.Background(), "stranger", id); verdict.CodeOf(err) != verdict.CodeNotFound {
			complain("%s was shown to a stranger", id)
		}
	}
	return broken
}

// TestRandomised runs three entries with faults drawn from each seed.
func TestRandomised(t *testing.T) {
	var accepts, notRun, unknown, kills, adopted int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			r := &run{fleet: newFleet(t, uint64(seed)), rng: rand.New(rand.NewPCG(uint64(seed), 11))}
			r.inline = 200
			r.guarded = seed%2 == 1
			for _, fault := range r.play() {
				t.Errorf("seed %d: %s", seed, fault)
			}
			for _, a := range r.calls {
				switch {
				case a.err == nil:
					accepts++
				case verdict.Of(a.err) == verdict.NotRun:
					notRun++
				default:
					unknown++
				}
			}
			kills += r.kills
			adopted += adoptedRequests(r.fleet)
			r.close()
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d seeds: %d accepted, %d not_run, %d may_have_run, %d entries killed, %d requests adopted",
		*seeds, accepts, notRun, unknown, kills, adopted)
}
