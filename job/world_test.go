package job

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/guard"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	tokenTime = 100 * time.Millisecond
	// answerTokens is the length of every answer.
	answerTokens = 40
	// checkpointTokens is how often the runner checkpoints.
	checkpointTokens = 8
)

// wholeAnswer is the one right answer to a request.
func wholeAnswer(id string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%s:%d ", id, i)
	}
	return b.String()
}

// fakeEngine generates one token each tokenTime, whether read or not.
type fakeEngine struct {
	mu      sync.Mutex
	next    int
	streams map[string]fakeStream
}

type fakeStream struct {
	id    string
	from  int
	began time.Time
}

func newEngine() *fakeEngine {
	return &fakeEngine{streams: make(map[string]fakeStream)}
}

var errEngineGone = errors.New("engine is gone")

// generate starts a stream behind the first from tokens.
func (e *fakeEngine) generate(id string, from int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	stream := fmt.Sprintf("s%d", e.next)
	e.streams[stream] = fakeStream{id: id, from: from, began: time.Now()}
	return stream
}

// tokens returns how far a stream is.
func (e *fakeEngine) tokens(stream, id string) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[stream]
	if !ok || s.id != id {
		return 0, errEngineGone
	}
	return min(s.from+int(time.Since(s.began)/tokenTime), answerTokens), nil
}

// restart loses all streams.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = make(map[string]fakeStream)
}

// starts counts the streams started for a request.
func (e *fakeEngine) starts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.next
}

// entry is one entry process of a test: its store, adopter and runs.
type entry struct {
	id      string
	gate    *standin.Gate
	store   *Store
	engine  *fakeEngine
	cancel  context.CancelFunc
	running sync.WaitGroup
	// seemsDead is what others believe.
	seemsDead bool
	// stopAt is called before each step of a run.
	stopAt func(step string)
}

// fleet is the entries on one platform.
type fleet struct {
	t       testing.TB
	table   *standin.Table
	objects *standin.Objects
	engine  *fakeEngine
	mu      sync.Mutex
	entries []*entry
	// inline and claimsPerSecond are options of entries started from now on.
	inline          int
	claimsPerSecond float64
	// guarded entries have a guard in front of the table.
	guarded bool
}

func newFleet(t testing.TB, seed uint64) *fleet {
	return &fleet{
		t:       t,
		table:   standin.NewTable(seed),
		objects: standin.NewObjects(seed),
		engine:  newEngine(),
	}
}

// Live and Alive implement Members.
func (f *fleet) Live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []string
	for _, e := range f.entries {
		if !e.seemsDead {
			live = append(live, e.id)
		}
	}
	return live
}

func (f *fleet) Alive(id, incarnation string) bool {
	return incarnation == "1" && slices.Contains(f.Live(), id)
}

func (f *fleet) setDead(e *entry, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.seemsDead = dead
}

func (f *fleet) start() *entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{
		id:     fmt.Sprintf("e%d", len(f.entries)+1),
		gate:   standin.NewGate(f.table),
		engine: f.engine,
		cancel: cancel,
		stopAt: func(string) {},
	}
	var table infra.Table = e.gate
	if f.guarded {
		table = guard.New(e.gate, guard.Options{})
	}
	e.store = New(table, f.objects, Options{Owner: e.id, Incarnation: "1", InlineBytes: f.inline})
	adopter := NewAdopter(e.store, AdopterOptions{Members: f, Resume: e.run, ClaimsPerSecond: f.claimsPerSecond})
	e.running.Go(func() { adopter.Run(ctx) })
	f.entries = append(f.entries, e)
	return e
}

// close ends all entries.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.cancel()
		e.gate.Wake()
	}
	for _, e := range f.entries {
		e.running.Wait()
		e.store.Close()
	}
	f.table.Close()
}

// kill ends an entry as a crash does.
func (f *fleet) kill(e *entry) {
	f.setDead(e, true)
	e.cancel()
	e.gate.Kill()
}

// accept records a request and runs it.
func (e *entry) accept(ctx context.Context, r *Record) error {
	if err := e.store.Accept(ctx, r); err != nil || r.Joined {
		return err
	}
	e.running.Go(func() { _ = e.run(context.Background(), *r) })
	return nil
}

// run answers a request from where its record says.
func (e *entry) run(ctx context.Context, r Record) error {
	for {
		err := e.runOnce(ctx, &r)
		if err == nil || verdict.CodeOf(err) == verdict.CodeFenced || e.gate.Dead() {
			return err
		}
		if e.gate.Pass() != nil {
			return err
		}
		if !ctxtime.Sleep(ctx, time.Second) && ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errEngineGone) {
			r.Stream.ID = ""
		}
	}
}

func (e *entry) runOnce(ctx context.Context, r *Record) error {
	if r.Stream.ID == "" {
		if err := e.begin(ctx, r); err != nil {
			return err
		}
	}
	for {
		e.stopAt("read")
		if err := e.gate.Pass(); err != nil {
			return err
		}
		n, err := e.engine.tokens(r.Stream.ID, r.ID)
		if err != nil {
			return err
		}
		if n == answerTokens {
			break
		}
		if n >= r.Checkpoint.Tokens+checkpointTokens {
			e.checkpoint(ctx, r, n)
		}
		time.Sleep(tokenTime)
	}
	e.stopAt("finish")
	answer := Answer{Text: Text{Inline: wholeAnswer(r.ID, answerTokens)}, Tokens: answerTokens, FinishReason: "stop"}
	return e.store.Finish(ctx, r.ID, answer, verdict.Ran)
}

// begin starts a stream behind the checkpoint and binds it.
func (e *entry) begin(ctx context.Context, r *Record) error {
	e.stopAt("generate")
	if err := e.gate.Pass(); err != nil {
		return err
	}
	if r.Checkpoint.Text.Inline != wholeAnswer(r.ID, r.Checkpoint.Tokens) {
		panic(fmt.Sprintf("request %s has a checkpoint of %d tokens with text %q", r.ID, r.Checkpoint.Tokens, r.Checkpoint.Text.Inline))
	}
	r.Stream.ID = e.engine.generate(r.ID, r.Checkpoint.Tokens)
	e.stopAt("bind")
	return e.store.Bind(ctx, r.ID, Stream{Addr: "10.0.0.1:80", ID: r.Stream.ID})
}

// checkpoint records the answer so far; a failure is left to the next one.
func (e *entry) checkpoint(ctx context.Context, r *Record, n int) {
	e.stopAt("checkpoint")
	text := wholeAnswer(r.ID, n)
	if e.store.Checkpoint(ctx, r.ID, n, text) == nil {
		r.Checkpoint = Checkpoint{Tokens: n, Text: Text{Inline: text}}
	}
}

func newRequest(customer, id string) *Record {
	return &Record{
		ID:       id,
		Customer: customer,
		Kind:     "plan",
		Model:    "m",
		Version:  "1",
		Messages: []endpoint.Message{{Role: "user", Content: "plan " + id}},
	}
}
