package delivery

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxChunkTokens limits the size of the chunks written to a reader, so that a
// slow reader can accept at least one chunk within its write timeout and, when
// it reconnects, continue after that chunk.
const maxChunkTokens = 256

// liveAnswer is the answer of a durable request that this entry runs. Any
// number of readers may follow it. It is safe for concurrent use.
type liveAnswer struct {
	customer        string
	model           string
	templateVersion uint64
	// cancel ends the run, and ended is closed once it has ended.
	cancel context.CancelCauseFunc
	ended  chan struct{}

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	chunks  []Chunk
	tokens  int
	summary *Summary
	err     error
}

// newLiveAnswer returns an answer that starts with the text of the record's
// checkpoint. cancel ends the run that generates it.
func newLiveAnswer(r *job.Record, cancel context.CancelCauseFunc) *liveAnswer {
	l := &liveAnswer{
		customer:        r.Customer,
		model:           r.Model,
		templateVersion: r.TemplateVersion,
		cancel:          cancel,
		ended:           make(chan struct{}),
		changed:         make(chan struct{}),
	}
	if r.Checkpoint.Tokens > 0 {
		l.add(Chunk{Text: r.Checkpoint.Text.Inline, Tokens: r.Checkpoint.Tokens})
	}
	return l
}

// notifyLocked wakes all readers. The caller must hold l.mu.
func (l *liveAnswer) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// add appends a chunk.
func (l *liveAnswer) add(chunk Chunk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chunks = append(l.chunks, chunk)
	l.tokens += chunk.Tokens
	l.notifyLocked()
}

// end marks the answer as complete, or as failed if err is set.
func (l *liveAnswer) end(s *Summary, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary, l.err = s, err
	l.notifyLocked()
}

// errContinuesElsewhere ends the readers of an answer that this entry no longer
// generates.
var errContinuesElsewhere = verdict.New(verdict.MayHaveRun, verdict.CodeFenced, "answer continues at another entry")

// detachReaders ends the readers with errContinuesElsewhere, unless the answer
// has ended.
func (l *liveAnswer) detachReaders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.summary == nil && l.err == nil {
		l.err = errContinuesElsewhere
		l.notifyLocked()
	}
}

// tokenCount returns the number of tokens generated.
func (l *liveAnswer) tokenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

// snapshot is the state of an answer at one point in time.
type snapshot struct {
	chunks  []Chunk
	summary *Summary
	err     error
	changed chan struct{}
}

// snapshot returns the state of the answer, with the chunks starting at index
// from.
func (l *liveAnswer) snapshot(from int) snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return snapshot{chunks: l.chunks[from:], summary: l.summary, err: l.err, changed: l.changed}
}

// follow writes the answer to out, starting at a token offset, until it ends.
// It returns the offset that was reached.
func (l *liveAnswer) follow(ctx context.Context, from int, out Output) (int, error) {
	for next := 0; ; {
		snap := l.snapshot(next)
		for _, chunk := range snap.chunks {
			end, err := writeFrom(out, chunk, from)
			if err != nil {
				return end, err
			}
			from = end
		}
		next += len(snap.chunks)
		switch {
		case snap.err != nil:
			return from, snap.err
		case snap.summary != nil:
			return from, out.End(*snap.summary)
		}
		select {
		case <-snap.changed:
		case <-ctx.Done():
			return from, context.Cause(ctx)
		}
	}
}

// writeFrom writes the tokens of a chunk that follow a token offset, in chunks
// of at most maxChunkTokens, and returns the offset that was reached.
func writeFrom(out Output, chunk Chunk, from int) (int, error) {
	rest, ok := chunkAfter(chunk, from)
	for ok && rest.Text != "" {
		end := rest.Offset + maxChunkTokens
		head := rest
		rest, ok = chunkAfter(rest, end)
		if ok {
			head.Text = head.Text[:len(head.Text)-len(rest.Text)]
			head.Tokens = maxChunkTokens
		}
		if err := out.Write(head); err != nil {
			return from, err
		}
		from = head.Offset + head.Tokens
	}
	return from, nil
}

// chunkAfter returns the rest of a chunk that follows a token offset, or false
// if there is none.
func chunkAfter(chunk Chunk, from int) (Chunk, bool) {
	skip := from - chunk.Offset
	switch {
	case skip <= 0:
		return chunk, true
	case skip >= chunk.Tokens:
		return Chunk{}, false
	}
	return Chunk{Offset: from, Text: prefix.Skip(chunk.Text, skip), Tokens: chunk.Tokens - skip}, true
}
