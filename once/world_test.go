package once

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/guard"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// simulation is one randomised run: entries that share a table, callers, a
// service, and a schedule of faults.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	table *standin.Table

	mu             sync.Mutex
	entries        []*simulatedEntry
	spawned        int
	byCall         map[int]int    // executions by call number
	byKey          map[string]int // executions by key
	byAttempt      map[string]int // executions by attempt
	replies        map[string]string
	calls          []callRecord
	killed         bool
	lateExecutions sync.WaitGroup // executions that outlast their send
}

type simulatedEntry struct {
	id    string
	proc  *process
	store *Store
	alive bool
}

// callRecord is the result of one call.
type callRecord struct {
	number int
	key    string
	reply  string
	err    error
}

func (w *simulation) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *simulation) spawn() *simulatedEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spawned++
	e := &simulatedEntry{id: fmt.Sprintf("e%d", w.spawned), proc: newProcess(w.table, never), alive: true}
	options := Options{EntryID: e.id, Incarnation: "1", Alive: w.alive, SendTimeout: 5 * time.Second}
	if w.rng.IntN(2) == 0 {
		options.Lookup = w.lookup
	}
	var table infra.Table = e.proc
	if w.rng.IntN(2) == 0 {
		table = guard.New(e.proc, guard.Options{})
	}
	e.store = New(table, options)
	w.entries = append(w.entries, e)
	return e
}

func (w *simulation) alive(owner, _ string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		if e.id == owner {
			return e.alive
		}
	}
	return false
}

// lookup implements Lookup with the executions recorded so far.
func (w *simulation) lookup(_ context.Context, key Key) (endpoint.Reply, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byKey[key.Key] == 0 {
		return endpoint.Reply{}, false, nil
	}
	return endpoint.Reply{Status: 201, Body: []byte(w.replies[key.Key])}, true, nil
}

func (w *simulation) execute(call int, key, attempt string) endpoint.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byCall[call]++
	w.byKey[key]++
	w.byAttempt[attempt]++
	w.replies[key] = attempt
	return endpoint.Reply{Status: 201, Body: []byte(attempt)}
}

// send returns the SendFunc of the fake service, with random faults.
func (w *simulation) send(call int, key string) SendFunc {
	return func(ctx context.Context, attempt string) (endpoint.Reply, error) {
		lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection reset")
		time.Sleep(time.Duration(w.intn(300)) * time.Millisecond)
		switch w.intn(10) {
		case 0:
			return endpoint.Reply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
		case 1:
			return endpoint.Reply{}, lost
		case 2:
			w.execute(call, key, attempt)
			return endpoint.Reply{}, lost
		case 3:
			// The call runs after its send has failed.
			w.lateExecutions.Go(func() {
				time.Sleep(time.Second)
				w.execute(call, key, attempt)
			})
			return endpoint.Reply{}, lost
		}
		return w.execute(call, key, attempt), nil
	}
}

func (w *simulation) call(ctx context.Context, e *simulatedEntry, key string) callRecord {
	w.mu.Lock()
	number := len(w.calls)
	w.calls = append(w.calls, callRecord{})
	w.mu.Unlock()
	k := Key{Customer: "c", Service: "s", Key: key}
	reply, err := e.store.Do(ctx, k, sha256.Sum256([]byte(key)), e.proc.sender(w.send(number, key)))
	r := callRecord{number: number, key: key, reply: string(reply.Body), err: err}
	if e.proc.Killed() {
		// A killed entry returns no result.
		r.err = e.proc.Pass()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[number] = r
	return r
}

// caller makes calls at random entries and retries those that failed.
func (w *simulation) caller() {
	for range callsPerCaller {
		time.Sleep(time.Duration(w.intn(2000)) * time.Millisecond)
		key := fmt.Sprintf("k%d", w.intn(simulatedKeys))
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+w.intn(8))*time.Second)
			r := w.call(ctx, w.pick(), key)
			cancel()
			if r.err == nil {
				break
			}
			time.Sleep(time.Duration(w.intn(1000)) * time.Millisecond)
		}
	}
}

func (w *simulation) pick() *simulatedEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[len(w.entries)-1-w.rng.IntN(simulatedEntries)]
}

// injectFaults changes the faults until done is closed.
func (w *simulation) injectFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+w.intn(900)) * time.Millisecond):
		}
		w.injectTableFault()
		w.injectEntryFault()
	}
}

func (w *simulation) injectTableFault() {
	var f standin.TableFaults
	f.Latency = time.Duration(w.intn(20)) * time.Millisecond
	switch w.intn(6) {
	case 0:
		f.LoseAnswer = 0.5
	case 1:
		f.LoseRequest = 0.5
		f.Late = time.Duration(w.intn(3000)) * time.Millisecond
	case 2:
		f.LoseAnswer, f.LoseRequest = 0.3, 0.3
		f.Late = time.Duration(w.intn(3000)) * time.Millisecond
	case 3:
		f.Outage = true
	}
	w.table.SetFaults(f)
}

func (w *simulation) injectEntryFault() {
	e := w.pick()
	switch w.intn(8) {
	case 0:
		w.pause(e, true)
	case 1:
		w.pause(e, false)
	case 2:
		w.mu.Lock()
		e.alive = false
		w.killed = true
		w.mu.Unlock()
		e.proc.Kill()
		w.spawn()
	}
}

// pause stops an entry for up to 15 s. If seemsFailed is set, the other entries
// consider it failed in the meantime.
func (w *simulation) pause(e *simulatedEntry, seemsFailed bool) {
	e.proc.Pause()
	w.setAlive(e, !seemsFailed)
	time.Sleep(time.Duration(w.intn(15000)) * time.Millisecond)
	w.setAlive(e, true)
	e.proc.Resume()
}

func (w *simulation) setAlive(e *simulatedEntry, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.alive = alive && !e.proc.Killed()
}
