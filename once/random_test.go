package once

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

var seeds = flag.Int("seeds", 400, "number of seeds of the randomised run")

const (
	simulatedEntries = 3
	simulatedKeys    = 4
	simulatedCallers = 6
	callsPerCaller   = 5
)

// run executes the simulation and returns the guarantees that were violated.
func (w *simulation) run() []string {
	for range simulatedEntries {
		w.spawn()
	}
	done := make(chan struct{})
	var callers, faults sync.WaitGroup
	for range simulatedCallers {
		callers.Go(w.caller)
	}
	faults.Go(func() { w.injectFaults(done) })
	callers.Wait()
	close(done)
	faults.Wait()
	w.table.SetFaults(standin.TableFaults{})
	w.table.Close()
	time.Sleep(30 * time.Second)
	for _, e := range w.entries {
		e.store.Close()
	}
	blocked := w.retryNotRun()
	w.lateExecutions.Wait()
	return append(w.check(), blocked...)
}

// check compares the results that callers got with the service's executions.
func (w *simulation) check() []string {
	var violations []string
	reportf := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for key, n := range w.byKey {
		if n > 1 {
			reportf("key %s ran %d times", key, n)
		}
	}
	for attempt, n := range w.byAttempt {
		if n > 1 {
			reportf("attempt %s was sent %d times", attempt, n)
		}
	}
	for _, r := range w.calls {
		switch {
		case r.err == nil && (w.byKey[r.key] != 1 || w.replies[r.key] != r.reply):
			reportf("call %d got reply %q, key ran %d times with %q", r.number, r.reply, w.byKey[r.key], w.replies[r.key])
		case verdict.Of(r.err) == verdict.NotRun && w.byCall[r.number] > 0:
			reportf("call %d got not_run but was executed", r.number)
		case verdict.Of(r.err) == verdict.Ran && w.byKey[r.key] != 1:
			reportf("call %d got ran, key ran %d times", r.number, w.byKey[r.key])
		}
	}
	return violations
}

// retryNotRun checks that a key can be executed if every call with it returned
// not_run. It checks nothing if an entry was killed, since other entries can't
// clear the claim that it may have left.
func (w *simulation) retryNotRun() []string {
	if w.killed {
		return nil
	}
	var violations []string
	e := w.spawn()
	defer e.store.Close()
	for key, only := range w.onlyNotRun() {
		if !only {
			continue
		}
		r := w.call(context.Background(), e, key)
		if verdict.CodeOf(r.err) == verdict.CodeUnavailable && strings.Contains(fmt.Sprint(r.err), "first attempt") {
			violations = append(violations, fmt.Sprintf("key %s stays blocked: %v", key, r.err))
		}
	}
	return violations
}

// onlyNotRun returns, for each key, whether all calls with it got not_run.
func (w *simulation) onlyNotRun() map[string]bool {
	only := make(map[string]bool)
	for _, r := range w.calls {
		before, known := only[r.key]
		only[r.key] = (before || !known) && verdict.Of(r.err) == verdict.NotRun && r.err != nil
	}
	return only
}

// TestRandomised runs several entries with random faults, one simulation for
// each seed.
func TestRandomised(t *testing.T) {
	var runs, executed, notRun, mayHaveRun, replies int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			w := &simulation{
				t:         t,
				rng:       rand.New(rand.NewPCG(uint64(seed), 7)),
				table:     standin.NewTable(uint64(seed)),
				byCall:    make(map[int]int),
				byKey:     make(map[string]int),
				byAttempt: make(map[string]int),
				replies:   make(map[string]string),
			}
			for _, fault := range w.run() {
				t.Errorf("seed %d: %s", seed, fault)
			}
			runs++
			for _, n := range w.byKey {
				executed += n
			}
			for _, r := range w.calls {
				switch {
				case r.err == nil:
					replies++
				case verdict.Of(r.err) == verdict.NotRun:
					notRun++
				default:
					mayHaveRun++
				}
			}
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d seeds: %d executions, %d replies, %d not_run, %d may_have_run or ran", runs, executed, replies, notRun, mayHaveRun)
}
