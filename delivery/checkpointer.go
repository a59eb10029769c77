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
// answer, in a separate goroutine so that the answer is not delayed.
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
	c := &checkpointer{
		jobs:      s.options.Jobs,
		id:        r.ID,
		answer:    answer,
		policy:    s.options.CheckpointPolicy,
		log:       s.options.Log.WithField("request", r.ID),
		cancelRun: cancelRun,
		running:   s.liveAnswerCount,
		wake:      make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	go c.run()
	return c
}

// bind makes the checkpointer record the stream as soon as possible. It does
// not wait for the write.
func (c *checkpointer) bind(stream job.Stream) {
	c.mu.Lock()
	c.pendingStream = &stream
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takePendingStream removes and returns the pending stream.
func (c *checkpointer) takePendingStream() *job.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.pendingStream
	c.pendingStream = nil
	return stream
}

// stop ends the goroutine and returns the text generated so far.
func (c *checkpointer) stop() string {
	c.cancel()
	<-c.done
	text, _ := c.currentAnswer()
	return text
}

// currentAnswer returns the text generated so far and its token count.
func (c *checkpointer) currentAnswer() (string, int) {
	tokens := 0
	var text strings.Builder
	for _, chunk := range c.answer.snapshot(0).chunks {
		tokens += chunk.Tokens
		text.WriteString(chunk.Text)
	}
	return text.String(), tokens
}

func (c *checkpointer) run() {
	defer close(c.done)
	for c.ctx.Err() == nil {
		timer := time.NewTimer(c.policy.Interval(c.running()))
		select {
		case <-c.wake:
			c.recordBinding()
		case <-timer.C:
			c.recordAnswer()
		case <-c.ctx.Done():
		}
		timer.Stop()
	}
}

func (c *checkpointer) recordBinding() {
	stream := c.takePendingStream()
	if stream == nil {
		return
	}
	c.handleError(c.jobs.Bind(c.ctx, c.id, *stream))
}

func (c *checkpointer) recordAnswer() {
	text, tokens := c.currentAnswer()
	if tokens == 0 {
		return
	}
	c.handleError(c.jobs.Checkpoint(c.ctx, c.id, tokens, text))
}

// handleError cancels the run if another entry owns the request. Other errors
// are only logged, since their only effect is that an adopter computes some
// tokens again.
func (c *checkpointer) handleError(err error) {
	switch {
	case err == nil:
	case verdict.CodeOf(err) == verdict.CodeFenced:
		c.cancelRun(err)
	case c.ctx.Err() == nil:
		c.log.WithError(err).Debug("delivery: checkpoint not recorded.")
	}
}
