package delivery

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// checkpointer records the stream of a running request and checkpoints of its
// answer. It does so in a separate goroutine, so that the answer is not
// delayed.
type checkpointer struct {
	jobs   *job.Store
	id     string
	answer *liveAnswer
	policy *job.CheckpointPolicy
	log    *logrus.Entry
	// cancelRun ends the run at this entry when another entry owns the
	// request.
	cancelRun context.CancelCauseFunc
	// running returns the number of durable requests that run at this entry.
	running func() int

	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// pendingStream is the stream to record next; nil for none.
	pendingStream *job.Stream
}

func (s *Service) newCheckpointer(r *job.Record, answer *liveAnswer, cancelRun context.CancelCauseFunc) *checkpointer {
	ctx, cancel := context.WithCancel(context.Background())
	rec := &checkpointer{
		jobs:      s.options.Jobs,
		id:        r.ID,
		answer:    answer,
		policy:    s.options.CheckpointPolicy,
		log:       s.options.Log.WithField("request", r.ID),
		cancelRun: cancelRun,
		running:   s.liveCount,
		wake:      make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	go rec.run()
	return rec
}

// bind records the stream as soon as possible. It does not wait for the write.
func (r *checkpointer) bind(stream job.Stream) {
	r.mu.Lock()
	r.pendingStream = &stream
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takePendingStream removes and returns the pending stream.
func (r *checkpointer) takePendingStream() *job.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	stream := r.pendingStream
	r.pendingStream = nil
	return stream
}

// stop ends the goroutine and returns the text generated so far.
func (r *checkpointer) stop() string {
	r.cancel()
	<-r.done
	text, _ := r.currentAnswer()
	return text
}

// currentAnswer returns the text generated so far and its token count.
func (r *checkpointer) currentAnswer() (string, int) {
	tokens := 0
	var text strings.Builder
	for _, p := range r.answer.snapshot(0).chunks {
		tokens += p.Tokens
		text.WriteString(p.Text)
	}
	return text.String(), tokens
}

func (r *checkpointer) run() {
	defer close(r.done)
	for r.ctx.Err() == nil {
		timer := time.NewTimer(r.policy.Interval(r.running()))
		select {
		case <-r.wake:
			r.recordBinding()
		case <-timer.C:
			r.recordAnswer()
		case <-r.ctx.Done():
		}
		timer.Stop()
	}
}

func (r *checkpointer) recordBinding() {
	stream := r.takePendingStream()
	if stream == nil {
		return
	}
	r.handleError(r.jobs.Bind(r.ctx, r.id, *stream))
}

func (r *checkpointer) recordAnswer() {
	text, tokens := r.currentAnswer()
	if tokens == 0 {
		return
	}
	r.handleError(r.jobs.Checkpoint(r.ctx, r.id, tokens, text))
}

// handleError cancels the run if another entry owns the request. Other errors
// are only logged, since their only effect is that an adopter computes some
// tokens again.
func (r *checkpointer) handleError(err error) {
	switch {
	case err == nil:
	case verdict.CodeOf(err) == verdict.CodeFenced:
		r.cancelRun(err)
	case r.ctx.Err() == nil:
		r.log.WithError(err).Debug("delivery: checkpoint not recorded.")
	}
}
