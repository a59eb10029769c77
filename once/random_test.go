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
	worldEntries = 3
	worldKeys    = 4
	worldCallers = 6
	callsEach    = 5
)

// run plays the whole run and returns the promises that it found broken.
func (w *world) run() []string {
	for range worldEntries {
		w.spawn()
	}
	done := make(chan struct{})
	var callers, faults sync.WaitGroup
	for range worldCallers {
		callers.Go(w.caller)
	}
	faults.Go(func() { w.disturb(done) })
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
	w.late.Wait()
	return append(w.check(), blocked...)
}

// check compares what callers saw with what the service ran.
func (w *world) check() []string {
	var broken []string
	complain := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for key, n := range w.byKey {
		if n > 1 {
			complain("key %s ran %d times", key, n)
		}
	}
	for attempt, n := range w.tries {
		if n > 1 {
			complain("attempt %s was sent %d times", attempt, n)
		}
	}
	for _, r := range w.calls {
		switch {
		case r.err == nil && (w.byKey[r.key] != 1 || w.replies[r.key] != r.reply):
			complain("call %d got reply %q, key ran %d times with %q", r.number, r.reply, w.byKey[r.key], w.replies[r.key])
		case verdict.Of(r.err) == verdict.NotRun && w.byCall[r.number] > 0:
			complain("call %d was told not_run and ran", r.number)
		case verdict.Of(r.err) == verdict.Ran && w.byKey[r.key] != 1:
			complain("call %d was told ran, key ran %d times", r.number, w.byKey[r.key])
		}
	}
	return broken
}

// retryNotRun checks that keys of which every call was told not_run can go
// ahead. Entries that died may leave a claim that nobody can clear.
func (w *world) retryNotRun() []string {
	if w.killed {
		return nil
	}
	var broken []string
	e := w.spawn()
	defer e.store.Close()
	for key, only := range w.onlyNotRun() {
		if !only {
			continue
		}
		r := w.call(context.Background(), e, key)
		if verdict.CodeOf(r.err) == verdict.CodeUnavailable && strings.Contains(fmt.Sprint(r.err), "first attempt") {
			broken = append(broken, fmt.Sprintf("key %s stays blocked: %v", key, r.err))
		}
	}
	return broken
}

func (w *world) onlyNotRun() map[string]bool {
	only := make(map[string]bool)
	for _, r := range w.calls {
		before, known := only[r.key]
		only[r.key] = (before || !known) && verdict.Of(r.err) == verdict.NotRun && r.err != nil
	}
	return only
}

// TestRandomised runs several entries with faults drawn from each seed.
func TestRandomised(t *testing.T) {
	var runs, executed, notRun, mayHaveRun, replies int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			w := &world{
				t:       t,
				rng:     rand.New(rand.NewPCG(uint64(seed), 7)),
				table:   standin.NewTable(uint64(seed)),
				byCall:  make(map[int]int),
				byKey:   make(map[string]int),
				tries:   make(map[string]int),
				replies: make(map[string]string),
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
