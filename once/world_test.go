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

func (s *simulation) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *simulation) spawn() *simulatedEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spawned++
	e := &simulatedEntry{id: fmt.Sprintf("e%d", s.spawned), proc: newProcess(s.table, never), alive: true}
	options := Options{EntryID: e.id, Incarnation: "1", Alive: s.alive, SendTimeout: 5 * time.Second}
	if s.rng.IntN(2) == 0 {
		options.Lookup = s.lookup
	}
	var table infra.Table = e.proc
	if s.rng.IntN(2) == 0 {
		table = guard.New(e.proc, guard.Options{})
	}
	e.store = New(table, options)
	s.entries = append(s.entries, e)
	return e
}

func (s *simulation) alive(owner, _ string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.id == owner {
			return e.alive
		}
	}
	return false
}

// lookup implements Lookup with the executions recorded so far.
func (s *simulation) lookup(_ context.Context, key Key) (endpoint.Reply, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[key.Key] == 0 {
		return endpoint.Reply{}, false, nil
	}
	return endpoint.Reply{Status: 201, Body: []byte(s.replies[key.Key])}, true, nil
}

func (s *simulation) execute(call int, key, attempt string) endpoint.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byCall[call]++
	s.byKey[key]++
	s.byAttempt[attempt]++
	s.replies[key] = attempt
	return endpoint.Reply{Status: 201, Body: []byte(attempt)}
}

// send returns the SendFunc of the fake service, with random faults.
func (s *simulation) send(call int, key string) SendFunc {
	return func(ctx context.Context, attempt string) (endpoint.Reply, error) {
		lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection reset")
		time.Sleep(time.Duration(s.intn(300)) * time.Millisecond)
		switch s.intn(10) {
		case 0:
			return endpoint.Reply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
		case 1:
			return endpoint.Reply{}, lost
		case 2:
			s.execute(call, key, attempt)
			return endpoint.Reply{}, lost
		case 3:
			// The call runs after its send has failed.
			s.lateExecutions.Go(func() {
				time.Sleep(time.Second)
				s.execute(call, key, attempt)
			})
			return endpoint.Reply{}, lost
		}
		return s.execute(call, key, attempt), nil
	}
}

func (s *simulation) call(ctx context.Context, e *simulatedEntry, key string) callRecord {
	s.mu.Lock()
	number := len(s.calls)
	s.calls = append(s.calls, callRecord{})
	s.mu.Unlock()
	k := Key{Customer: "c", Service: "s", Key: key}
	reply, err := e.store.Do(ctx, k, sha256.Sum256([]byte(key)), e.proc.sender(s.send(number, key)))
	r := callRecord{number: number, key: key, reply: string(reply.Body), err: err}
	if e.proc.Killed() {
		// A killed entry returns no result.
		r.err = e.proc.Pass()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[number] = r
	return r
}

// caller makes calls at random entries and retries those that failed.
func (s *simulation) caller() {
	for range callsPerCaller {
		time.Sleep(time.Duration(s.intn(2000)) * time.Millisecond)
		key := fmt.Sprintf("k%d", s.intn(simulatedKeys))
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+s.intn(8))*time.Second)
			r := s.call(ctx, s.pick(), key)
			cancel()
			if r.err == nil {
				break
			}
			time.Sleep(time.Duration(s.intn(1000)) * time.Millisecond)
		}
	}
}

func (s *simulation) pick() *simulatedEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[len(s.entries)-1-s.rng.IntN(simulatedEntries)]
}

// injectFaults changes the faults until done is closed.
func (s *simulation) injectFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+s.intn(900)) * time.Millisecond):
		}
		s.injectTableFault()
		s.injectEntryFault()
	}
}

func (s *simulation) injectTableFault() {
	var f standin.TableFaults
	f.Latency = time.Duration(s.intn(20)) * time.Millisecond
	switch s.intn(6) {
	case 0:
		f.LoseAnswer = 0.5
	case 1:
		f.LoseRequest = 0.5
		f.LateCommitDelay = time.Duration(s.intn(3000)) * time.Millisecond
	case 2:
		f.LoseAnswer, f.LoseRequest = 0.3, 0.3
		f.LateCommitDelay = time.Duration(s.intn(3000)) * time.Millisecond
	case 3:
		f.Outage = true
	}
	s.table.SetFaults(f)
}

func (s *simulation) injectEntryFault() {
	e := s.pick()
	switch s.intn(8) {
	case 0:
		s.pause(e, true)
	case 1:
		s.pause(e, false)
	case 2:
		s.mu.Lock()
		e.alive = false
		s.killed = true
		s.mu.Unlock()
		e.proc.Kill()
		s.spawn()
	}
}

// pause stops an entry for up to 15 s. If seemsFailed is set, the other entries
// consider it failed in the meantime.
func (s *simulation) pause(e *simulatedEntry, seemsFailed bool) {
	e.proc.Pause()
	s.setAlive(e, !seemsFailed)
	time.Sleep(time.Duration(s.intn(15000)) * time.Millisecond)
	s.setAlive(e, true)
	e.proc.Resume()
}

func (s *simulation) setAlive(e *simulatedEntry, alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.alive = alive && !e.proc.Killed()
}
