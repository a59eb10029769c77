package standin

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// frameTokens bounds the tokens of one frame for a slow reader.
const frameTokens = 64

// loadEvery is the time between two load reports within a stream.
const loadEvery = 100 * time.Millisecond

// Reasons for which a stream ends early.
var (
	errDied      = errors.New("engine died")
	errCancelled = errors.New("stream was cancelled")
	errExported  = errors.New("stream was exported")
	errCut       = errors.New("connection was reset")
)

// state is how far a stream has come.
type state int

const (
	stateWaiting state = iota
	statePrefill
	stateDecode
	stateDone
)

// stream is one attempt of an answer. The engine's lock guards it.
type stream struct {
	id      string
	request endpoint.GenerateRequest
	script  script
	// total is the length of the whole answer.
	total   int
	arrival int
	attempt *Attempt

	// hashes and contextTokens are those of the prompt and the resumed text;
	// uncached is the part of it that has to be prefilled.
	hashes        []uint64
	contextTokens int
	uncached      int
	kvTokens      int

	state   state
	started time.Time
	// left is what remains of the prefill, from started on while it runs.
	left  time.Duration
	timer *time.Timer
	// decodeFrom is when the first token was there.
	decodeFrom time.Time
	interval   time.Duration
	// stopped is the number of tokens at the end of an unfinished stream,
	// and cause its reason.
	stopped int
	cause   error
	// changed is closed and replaced with each change of state.
	changed chan struct{}
}

func newStream(r endpoint.GenerateRequest) *stream {
	prompt := prefix.Text(r.Messages)
	s := &stream{
		request: r,
		script:  newScript(r.Model, r.Version, prompt),
		total:   AnswerTokens(prompt, r.MaxTokens),
		changed: make(chan struct{}),
	}
	s.hashes, s.contextTokens = prefix.Hashes(r.Customer, prompt+r.Resume)
	return s
}

// checkResume refuses a resumed text that is not the answer's beginning.
func (s *stream) checkResume() error {
	r := s.request
	if r.ResumeTokens < 0 || r.ResumeTokens > s.total {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "engine: answer has no token %d", r.ResumeTokens)
	}
	if s.script.text(0, r.ResumeTokens) != r.Resume {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "engine: resumed text is not the answer's beginning")
	}
	return nil
}

// generated returns the number of tokens of the whole answer so far.
func (s *stream) generated(now time.Time) int {
	switch {
	case s.cause != nil:
		return s.stopped
	case s.state == stateDone:
		return s.total
	case s.state != stateDecode:
		return s.request.ResumeTokens
	}
	n := s.request.ResumeTokens + 1 + int(now.Sub(s.decodeFrom)/s.interval)
	return min(n, s.total)
}

// due returns when the token at an offset is there.
func (s *stream) due(offset int) time.Time {
	return s.decodeFrom.Add(time.Duration(offset-s.request.ResumeTokens) * s.interval)
}

func (s *stream) finishReason() string {
	limit := s.request.MaxTokens
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	if s.total >= limit {
		return "length"
	}
	return "stop"
}

// frame returns the frame with the tokens from an offset up to another.
func (s *stream) frame(from, to int) endpoint.Frame {
	f := endpoint.Frame{
		RequestID: s.request.RequestID,
		AttemptID: s.request.AttemptID,
		Offset:    from,
		Text:      s.script.text(from, to),
		Tokens:    to - from,
		Model:     s.request.Model,
		Version:   s.request.Version,
	}
	if to == s.total {
		f.End = true
		f.Total = s.total
		f.FinishReason = s.finishReason()
	}
	return f
}

// reader is one reading of a stream, used by one goroutine.
type reader struct {
	engine *Engine
	stream *stream
	next   int
	// first is set until the attempt's first frame was read.
	first    bool
	ended    bool
	loadSent time.Time
	queued   []endpoint.Frame
	// held is a frame that a fault holds back.
	held *endpoint.Frame
}

// ID implements endpoint.Stream.
func (r *reader) ID() string { return r.stream.id }

// Close implements endpoint.Stream.
func (r *reader) Close() error { return nil }

// Next implements endpoint.Stream.
func (r *reader) Next(ctx context.Context) (endpoint.Frame, error) {
	for {
		if len(r.queued) > 0 {
			f := r.queued[0]
			r.queued = r.queued[1:]
			return f, nil
		}
		if r.ended {
			return endpoint.Frame{}, io.EOF
		}
		wait, changed, err := r.advance()
		if err != nil {
			return endpoint.Frame{}, err
		}
		if changed == nil {
			continue
		}
		if err := pause(ctx, wait, changed); err != nil {
			return endpoint.Frame{}, err
		}
	}
}

// advance goes on by some frames, or returns what to wait for: a change of
// the stream's state and, if it is known, a time.
func (r *reader) advance() (time.Duration, <-chan struct{}, error) {
	e, s := r.engine, r.stream
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		return 0, e.switched, nil
	}
	now := time.Now()
	have := s.generated(now)
	complete := have == s.total && (s.state == stateDecode || s.state == stateDone) && s.cause == nil
	if have > r.next || complete {
		f := s.frame(r.next, min(have, r.next+frameTokens))
		f.End = f.End && complete
		r.next += f.Tokens
		r.ended = f.End
		r.decorate(&f, now)
		return 0, nil, e.deliverLocked(r, f)
	}
	if s.cause != nil {
		return 0, nil, verdict.New(verdict.MayHaveRun, codeOf(s.cause), "stream: %w", s.cause)
	}
	if s.state == stateDecode {
		return s.due(r.next).Sub(now), s.changed, nil
	}
	return 0, s.changed, nil
}

// decorate adds what only some frames carry.
func (r *reader) decorate(f *endpoint.Frame, now time.Time) {
	if r.first {
		r.first = false
		f.CachedTokens = r.stream.attempt.CachedTokens
	}
	if f.End || now.Sub(r.loadSent) >= loadEvery {
		r.loadSent = now
		load := r.engine.loadLocked(now)
		f.Load = &load
	}
}

// pause waits for a time, a change or the context's end. A time of 0 is none.
func pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
		return nil
	case <-changed:
		return nil
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "stream: %w", ctx.Err())
	}
}

// sleep waits for a time or the context's end.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return pause(ctx, d, nil)
}

func codeOf(cause error) verdict.Code {
	if errors.Is(cause, errDied) {
		return verdict.CodeUnavailable
	}
	return verdict.CodeCancelled
}
