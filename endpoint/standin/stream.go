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

// maxFrameTokens bounds the tokens of one frame. A frame has more than one
// token if the reader is slower than the stream.
const maxFrameTokens = 64

// loadReportInterval is the time between two load reports in the frames of a
// stream.
const loadReportInterval = 100 * time.Millisecond

// Causes of streams or connections that end early.
var (
	errCrashed         = errors.New("engine crashed")
	errCancelled       = errors.New("stream was cancelled")
	errExported        = errors.New("stream was exported")
	errConnectionReset = errors.New("connection was reset")
)

// state is the phase of a stream.
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
	// total is the length of the complete answer.
	total   int
	arrival int
	attempt *Attempt

	// hashes and contextTokens are the block hashes and the length of the
	// context, that is the prompt and the resumed text. uncached is the
	// number of its tokens that have to be prefilled.
	hashes        []uint64
	contextTokens int
	uncached      int
	kvTokens      int

	state   state
	started time.Time
	// prefillLeft is the remaining time of the prefill, as of started while
	// the prefill runs. It is negative before the prefill has begun.
	prefillLeft time.Duration
	timer       *time.Timer
	// firstTokenAt is the time of the first token, and tokenInterval
	// the time between two tokens.
	firstTokenAt  time.Time
	tokenInterval time.Duration
	// finalTokens is the number of tokens of the answer when the stream ended,
	// and cause is the reason if it ended early.
	finalTokens int
	cause       error
	// changed is closed and replaced whenever the state changes.
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

// checkResume returns an error if the resumed text is not the beginning of the
// answer.
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

// generated returns the number of tokens of the answer so far, the resumed ones
// included.
func (s *stream) generated(now time.Time) int {
	switch {
	case s.cause != nil:
		return s.finalTokens
	case s.state == stateDone:
		return s.total
	case s.state != stateDecode:
		return s.request.ResumeTokens
	}
	n := s.request.ResumeTokens + 1 + int(now.Sub(s.firstTokenAt)/s.tokenInterval)
	return min(n, s.total)
}

// tokenTime returns the time at which the token at an offset is generated.
func (s *stream) tokenTime(offset int) time.Time {
	return s.firstTokenAt.Add(time.Duration(offset-s.request.ResumeTokens) * s.tokenInterval)
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

// frame returns a frame with the tokens from one offset up to another.
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

// reader reads a stream from an offset on. It is used by one goroutine; a
// stream may have several readers.
type reader struct {
	engine *Engine
	stream *stream
	next   int
	// firstFrame is set while the next frame is the first one of the attempt.
	firstFrame bool
	ended      bool
	loadSent   time.Time
	queued     []endpoint.Frame
	// delayed is a frame that a fault delays until after the next one.
	delayed *endpoint.Frame
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
		if err := waitForChange(ctx, wait, changed); err != nil {
			return endpoint.Frame{}, err
		}
	}
}

// advance queues the next frames. If there are none, it returns a channel that
// is closed at the next change of the stream, and the time until the next
// token, or 0 if that is not known. The channel is nil if advance made
// progress.
func (r *reader) advance() (time.Duration, <-chan struct{}, error) {
	e, s := r.engine, r.stream
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		return 0, e.faultsChanged, nil
	}
	now := time.Now()
	generated := s.generated(now)
	complete := generated == s.total && (s.state == stateDecode || s.state == stateDone) && s.cause == nil
	if generated > r.next || complete {
		f := s.frame(r.next, min(generated, r.next+maxFrameTokens))
		f.End = f.End && complete
		r.next += f.Tokens
		r.ended = f.End
		r.addReports(&f, now)
		return 0, nil, e.deliverLocked(r, f)
	}
	if s.cause != nil {
		return 0, nil, verdict.New(verdict.MayHaveRun, codeOf(s.cause), "stream: %w", s.cause)
	}
	if s.state == stateDecode {
		return s.tokenTime(r.next).Sub(now), s.changed, nil
	}
	return 0, s.changed, nil
}

// addReports sets the fields that only some frames have: the cached tokens on
// the first one, and periodic load reports.
func (r *reader) addReports(f *endpoint.Frame, now time.Time) {
	if r.firstFrame {
		r.firstFrame = false
		f.CachedTokens = r.stream.attempt.CachedTokens
	}
	if f.End || now.Sub(r.loadSent) >= loadReportInterval {
		r.loadSent = now
		load := r.engine.reportedLoadLocked(now)
		f.Load = &load
	}
}

// waitForChange waits until the time wait has passed, changed is closed or the
// context ends. A wait of 0 sets no time limit.
func waitForChange(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
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

// sleep waits until the time d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return waitForChange(ctx, d, nil)
}

func codeOf(cause error) verdict.Code {
	if errors.Is(cause, errCrashed) {
		return verdict.CodeUnavailable
	}
	return verdict.CodeCancelled
}
