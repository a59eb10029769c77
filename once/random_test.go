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
func (s *simulation) run() []string {
	for range simulatedEntries {
		s.spawn()
	}
	done := make(chan struct{})
	var callers, faults sync.WaitGroup
	for range simulatedCallers {
		callers.Go(s.caller)
	}
	faults.Go(func() { s.injectFaults(done) })
	callers.Wait()
	close(done)
	faults.Wait()
	s.table.SetFaults(standin.TableFaults{})
	s.table.Close()
	time.Sleep(30 * time.Second)
	for _, e := range s.entries {
		e.store.Close()
	}
	blocked := s.retryNotRun()
	s.lateExecutions.Wait()
	return append(s.check(), blocked...)
}

// check compares the results that callers got with the service's executions.
func (s *simulation) check() []string {
	var violations []string
	reportf := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for key, n := range s.byKey {
		if n > 1 {
			reportf("key %s ran %d times", key, n)
		}
	}
	for attempt, n := range s.byAttempt {
		if n > 1 {
			reportf("attempt %s was sent %d times", attempt, n)
		}
	}
	for _, r := range s.calls {
		switch {
		case r.err == nil && (s.byKey[r.key] != 1 || s.replies[r.key] != r.reply):
			reportf("call %d got reply %q, key ran %d times with %q", r.number, r.reply, s.byKey[r.key], s.replies[r.key])
		case verdict.Of(r.err) == verdict.NotRun && s.byCall[r.number] > 0:
			reportf("call %d got not_run but was executed", r.number)
		case verdict.Of(r.err) == verdict.Ran && s.byKey[r.key] != 1:
			reportf("call %d got ran, key ran %d times", r.number, s.byKey[r.key])
		}
	}
	return violations
}

// retryNotRun checks that a call can still be executed if every call with its
// key returned not_run. It checks nothing if an entry was killed, since other
// entries can't replace a claim that the killed entry may have made.
func (s *simulation) retryNotRun() []string {
	if s.killed {
		return nil
	}
	var violations []string
	e := s.spawn()
	defer e.store.Close()
	for key, only := range s.onlyNotRun() {
		if !only {
			continue
		}
		r := s.call(context.Background(), e, key)
		if verdict.CodeOf(r.err) == verdict.CodeUnavailable && strings.Contains(fmt.Sprint(r.err), "first attempt") {
			violations = append(violations, fmt.Sprintf("key %s stays blocked: %v", key, r.err))
		}
	}
	return violations
}

// onlyNotRun returns, for each key, whether all calls with it got not_run.
func (s *simulation) onlyNotRun() map[string]bool {
	only := make(map[string]bool)
	for _, r := range s.calls {
		previous, found := only[r.key]
		only[r.key] = (previous || !found) && verdict.Of(r.err) == verdict.NotRun && r.err != nil
	}
	return only
}

// TestRandomised runs several entries with random faults, one simulation for
// each seed.
func TestRandomised(t *testing.T) {
	var runs, executed, notRun, mayHaveRun, replies int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{
				t:         t,
				rng:       rand.New(rand.NewPCG(uint64(seed), 7)),
				table:     standin.NewTable(uint64(seed)),
				byCall:    make(map[int]int),
				byKey:     make(map[string]int),
				byAttempt: make(map[string]int),
				replies:   make(map[string]string),
			}
			for _, fault := range s.run() {
				t.Errorf("seed %d: %s", seed, fault)
			}
			runs++
			for _, n := range s.byKey {
				executed += n
			}
			for _, r := range s.calls {
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
