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

// world is one randomised run: entries on one table, callers, a service, and
// a schedule of faults.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	table *standin.Table

	mu      sync.Mutex
	entries []*worldEntry
	spawned int
	byCall  map[int]int    // executions by call number
	byKey   map[string]int // executions by key
	tries   map[string]int // executions by attempt
	replies map[string]string
	calls   []callRecord
	killed  bool
	late    sync.WaitGroup
}

type worldEntry struct {
	id    string
	proc  *process
	store *Store
	alive bool
}

// callRecord is what one caller saw.
type callRecord struct {
	number int
	key    string
	reply  string
	err    error
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) spawn() *worldEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spawned++
	e := &worldEntry{id: fmt.Sprintf("e%d", w.spawned), proc: newProcess(w.table, never), alive: true}
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

func (w *world) alive(owner, _ string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		if e.id == owner {
			return e.alive
		}
	}
	return false
}

// lookup tells the truth about what has run so far.
func (w *world) lookup(_ context.Context, key Key) (endpoint.Reply, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byKey[key.Key] == 0 {
		return endpoint.Reply{}, false, nil
	}
	return endpoint.Reply{Status: 201, Body: []byte(w.replies[key.Key])}, true, nil
}

func (w *world) execute(call int, key, attempt string) endpoint.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byCall[call]++
	w.byKey[key]++
	w.tries[attempt]++
	w.replies[key] = attempt
	return endpoint.Reply{Status: 201, Body: []byte(attempt)}
}

// send is the fake service with its faults.
func (w *world) send(call int, key string) SendFunc {
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
			// Runs after its sender has given up.
			w.late.Go(func() {
				time.Sleep(time.Second)
				w.execute(call, key, attempt)
			})
			return endpoint.Reply{}, lost
		}
		return w.execute(call, key, attempt), nil
	}
}

func (w *world) call(ctx context.Context, e *worldEntry, key string) callRecord {
	w.mu.Lock()
	number := len(w.calls)
	w.calls = append(w.calls, callRecord{})
	w.mu.Unlock()
	k := Key{Customer: "c", Service: "s", Key: key}
	reply, err := e.store.Do(ctx, k, sha256.Sum256([]byte(key)), e.proc.sender(w.send(number, key)))
	r := callRecord{number: number, key: key, reply: string(reply.Body), err: err}
	if e.proc.Dead() {
		// A dead entry answers nobody.
		r.err = e.proc.Pass()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[number] = r
	return r
}

// caller makes calls at random entries, and repeats those that failed.
func (w *world) caller() {
	for range callsEach {
		time.Sleep(time.Duration(w.intn(2000)) * time.Millisecond)
		key := fmt.Sprintf("k%d", w.intn(worldKeys))
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

func (w *world) pick() *worldEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[len(w.entries)-1-w.rng.IntN(worldEntries)]
}

// disturb changes the faults until done.
func (w *world) disturb(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+w.intn(900)) * time.Millisecond):
		}
		w.disturbTable()
		w.disturbEntry()
	}
}

func (w *world) disturbTable() {
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

func (w *world) disturbEntry() {
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

// pause stops an entry for up to 15 s; others may believe it dead.
func (w *world) pause(e *worldEntry, seemsDead bool) {
	e.proc.Pause()
	w.setAlive(e, !seemsDead)
	time.Sleep(time.Duration(w.intn(15000)) * time.Millisecond)
	w.setAlive(e, true)
	e.proc.Wake()
}

func (w *world) setAlive(e *worldEntry, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.alive = alive && !e.proc.Dead()
}
