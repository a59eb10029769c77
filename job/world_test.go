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
	// checkpointTokens is the number of tokens between two checkpoints.
	checkpointTokens = 8
)

// expectedAnswer returns the first tokens of the correct answer to a request.
func expectedAnswer(id string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%s:%d ", id, i)
	}
	return b.String()
}

// fakeEngine generates one token each tokenTime, even if nothing reads the
// stream.
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

var errStreamLost = errors.New("stream was lost")

// generate starts a stream that continues after the first from tokens.
func (e *fakeEngine) generate(id string, from int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	stream := fmt.Sprintf("s%d", e.next)
	e.streams[stream] = fakeStream{id: id, from: from, began: time.Now()}
	return stream
}

// tokens returns how far a stream has got, in tokens from the start of the
// answer.
func (e *fakeEngine) tokens(stream, id string) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[stream]
	if !ok || s.id != id {
		return 0, errStreamLost
	}
	return min(s.from+int(time.Since(s.began)/tokenTime), answerTokens), nil
}

// restart discards all streams, as a restart of an engine does.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = make(map[string]fakeStream)
}

// starts returns the number of streams that were started.
func (e *fakeEngine) starts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.next
}

// entry is one simulated entry process: its store, adopter and requests.
type entry struct {
	id      string
	gate    *standin.Gate
	store   *Store
	engine  *fakeEngine
	cancel  context.CancelFunc
	running sync.WaitGroup
	// seemsFailed is set while the other entries consider this one failed.
	seemsFailed bool
	// stopAt is called before each step of a run.
	stopAt func(step string)
}

// fleet is a set of entries that share a table, an object store and an engine.
type fleet struct {
	t       testing.TB
	table   *standin.Table
	objects *standin.Objects
	engine  *fakeEngine
	mu      sync.Mutex
	entries []*entry
	// inlineBytes and claimsPerSecond are options of the entries that are
	// started after they are set.
	inlineBytes     int
	claimsPerSecond float64
	// guarded wraps the table of each entry with a guard.
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
		if !e.seemsFailed {
			live = append(live, e.id)
		}
	}
	return live
}

func (f *fleet) Alive(id, incarnation string) bool {
	return incarnation == "1" && slices.Contains(f.Live(), id)
}

func (f *fleet) setSeemsFailed(e *entry, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.seemsFailed = failed
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
	e.store = New(table, f.objects, Options{Owner: e.id, Incarnation: "1", InlineBytes: f.inlineBytes})
	adopter := NewAdopter(e.store, AdopterOptions{Members: f, Resume: e.run, ClaimsPerSecond: f.claimsPerSecond})
	e.running.Go(func() { adopter.Run(ctx) })
	f.entries = append(f.entries, e)
	return e
}

// close stops all entries.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.cancel()
		e.gate.Resume()
	}
	for _, e := range f.entries {
		e.running.Wait()
		e.store.Close()
	}
	f.table.Close()
}

// kill stops an entry without a shutdown, as a crash does.
func (f *fleet) kill(e *entry) {
	f.setSeemsFailed(e, true)
	e.cancel()
	e.gate.Kill()
}

// accept accepts a request and runs it.
func (e *entry) accept(ctx context.Context, r *Record) error {
	if err := e.store.Accept(ctx, r); err != nil || r.Joined {
		return err
	}
	e.running.Go(func() { _ = e.run(context.Background(), *r) })
	return nil
}

// run runs a request from the stream or checkpoint of its record to its end.
func (e *entry) run(ctx context.Context, r Record) error {
	for {
		err := e.runOnce(ctx, &r)
		if err == nil || verdict.CodeOf(err) == verdict.CodeFenced || e.gate.Killed() {
			return err
		}
		if e.gate.Pass() != nil {
			return err
		}
		if !ctxtime.Sleep(ctx, time.Second) && ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errStreamLost) {
			r.Stream.ID = ""
		}
	}
}

// runOnce makes one attempt to finish the request.
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
	answer := Answer{Text: Text{Inline: expectedAnswer(r.ID, answerTokens)}, Tokens: answerTokens, FinishReason: "stop"}
	return e.store.Finish(ctx, r.ID, answer, verdict.Ran)
}

// begin starts a stream that continues after the checkpoint, and records its
// binding.
func (e *entry) begin(ctx context.Context, r *Record) error {
	e.stopAt("generate")
	if err := e.gate.Pass(); err != nil {
		return err
	}
	if r.Checkpoint.Text.Inline != expectedAnswer(r.ID, r.Checkpoint.Tokens) {
		panic(fmt.Sprintf("request %s has a checkpoint of %d tokens with text %q", r.ID, r.Checkpoint.Tokens, r.Checkpoint.Text.Inline))
	}
	r.Stream.ID = e.engine.generate(r.ID, r.Checkpoint.Tokens)
	e.stopAt("bind")
	return e.store.Bind(ctx, r.ID, Stream{Addr: "10.0.0.1:80", ID: r.Stream.ID})
}

// checkpoint records the first n tokens of the answer. If it fails, the next
// checkpoint records them.
func (e *entry) checkpoint(ctx context.Context, r *Record, n int) {
	e.stopAt("checkpoint")
	text := expectedAnswer(r.ID, n)
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
