package delivery

import (
	"context"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// pieceTokens bounds a piece that a reader gets. A slow reader has to take one
// in its time, and comes back behind it.
const pieceTokens = 256

// live is the answer of a durable request that this entry generates. Any
// number of readers follow it. It is safe for concurrent use.
type live struct {
	customer string
	model    string
	version  uint64
	// cancel ends the run, gone is closed once it has ended.
	cancel context.CancelCauseFunc
	gone   chan struct{}

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	pieces  []Chunk
	tokens  int
	summary *Summary
	err     error
}

// newLive begins with the text of the record's checkpoint.
func newLive(r *job.Record, cancel context.CancelCauseFunc) *live {
	l := &live{
		customer: r.Customer,
		model:    r.Model,
		version:  r.TemplateVersion,
		cancel:   cancel,
		gone:     make(chan struct{}),
		changed:  make(chan struct{}),
	}
	if r.Checkpoint.Tokens > 0 {
		l.add(Chunk{Text: r.Checkpoint.Text.Inline, Tokens: r.Checkpoint.Tokens})
	}
	return l
}

func (l *live) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *live) add(p Chunk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pieces = append(l.pieces, p)
	l.tokens += p.Tokens
	l.notifyLocked()
}

// end marks the answer as whole, or as failed.
func (l *live) end(s *Summary, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary, l.err = s, err
	l.notifyLocked()
}

// errLeft tells readers that the answer goes on elsewhere.
var errLeft = verdict.New(verdict.MayHaveRun, verdict.CodeFenced, "answer goes on elsewhere")

// leave ends the readers of an answer that has not ended here.
func (l *live) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.summary == nil && l.err == nil {
		l.err = errLeft
		l.notifyLocked()
	}
}

// count returns the tokens so far.
func (l *live) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

// view is what a reader sees at one moment.
type view struct {
	pieces  []Chunk
	summary *Summary
	err     error
	changed chan struct{}
}

func (l *live) view(from int) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	return view{pieces: l.pieces[from:], summary: l.summary, err: l.err, changed: l.changed}
}

// follow writes the answer from a token offset on until it ends.
func (l *live) follow(ctx context.Context, from int, out Output) (int, error) {
	for next := 0; ; {
		v := l.view(next)
		for _, p := range v.pieces {
			end, err := write(out, p, from)
			if err != nil {
				return end, err
			}
			from = end
		}
		next += len(v.pieces)
		switch {
		case v.err != nil:
			return from, v.err
		case v.summary != nil:
			return from, out.End(*v.summary)
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return from, context.Cause(ctx)
		}
	}
}

// write writes the part of a piece that is behind a token offset, in pieces of
// at most pieceTokens, and returns the offset that was reached.
func write(out Output, p Chunk, from int) (int, error) {
	rest, ok := after(p, from)
	for ok && rest.Text != "" {
		end := rest.Offset + pieceTokens
		head := rest
		rest, ok = after(rest, end)
		if ok {
			head.Text = head.Text[:len(head.Text)-len(rest.Text)]
			head.Tokens = pieceTokens
		}
		if err := out.Write(head); err != nil {
			return from, err
		}
		from = head.Offset + head.Tokens
	}
	return from, nil
}

// after returns the part of a piece that is behind a token offset.
func after(p Chunk, from int) (Chunk, bool) {
	skip := from - p.Offset
	switch {
	case skip <= 0:
		return p, true
	case skip >= p.Tokens:
		return Chunk{}, false
	}
	return Chunk{Offset: from, Text: prefix.Skip(p.Text, skip), Tokens: p.Tokens - skip}, true
}
