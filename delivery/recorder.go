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

// recorder writes where a request runs, and its answer so far, without
// holding the answer up. It has one goroutine.
type recorder struct {
	jobs   *job.Store
	id     string
	answer *live
	pacing *job.CheckpointPolicy
	log    *logrus.Entry
	// fenced ends the request's work here when another entry owns it now.
	fenced context.CancelCauseFunc
	// running is the number of durable requests of the entry.
	running func() int

	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	bound *job.Stream
}

func (s *Service) newRecorder(r *job.Record, answer *live, fenced context.CancelCauseFunc) *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	rec := &recorder{
		jobs:    s.options.Jobs,
		id:      r.ID,
		answer:  answer,
		pacing:  s.options.CheckpointPolicy,
		log:     s.options.Log.WithField("request", r.ID),
		fenced:  fenced,
		running: s.liveCount,
		wake:    make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go rec.run()
	return rec
}

// bind has the stream recorded as soon as possible.
func (r *recorder) bind(stream job.Stream) {
	r.mu.Lock()
	r.bound = &stream
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *recorder) takeBound() *job.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	stream := r.bound
	r.bound = nil
	return stream
}

// stop ends the goroutine and returns the text of the answer so far.
func (r *recorder) stop() string {
	r.cancel()
	<-r.done
	text, _ := r.soFar()
	return text
}

// soFar returns the text of the answer so far and its token count.
func (r *recorder) soFar() (string, int) {
	tokens := 0
	var text strings.Builder
	for _, p := range r.answer.view(0).pieces {
		tokens += p.Tokens
		text.WriteString(p.Text)
	}
	return text.String(), tokens
}

func (r *recorder) run() {
	defer close(r.done)
	for r.ctx.Err() == nil {
		timer := time.NewTimer(r.pacing.Interval(r.running()))
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

func (r *recorder) recordBinding() {
	stream := r.takeBound()
	if stream == nil {
		return
	}
	r.check(r.jobs.Bind(r.ctx, r.id, *stream))
}

func (r *recorder) recordAnswer() {
	text, tokens := r.soFar()
	if tokens == 0 {
		return
	}
	r.check(r.jobs.Checkpoint(r.ctx, r.id, tokens, text))
}

// check stops the request's work here once another entry owns it. Any other
// failure costs an adopter some tokens, no more.
func (r *recorder) check(err error) {
	switch {
	case err == nil:
	case verdict.CodeOf(err) == verdict.CodeFenced:
		r.fenced(err)
	case r.ctx.Err() == nil:
		r.log.WithError(err).Debug("delivery: checkpoint not recorded.")
	}
}
