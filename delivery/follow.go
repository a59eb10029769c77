package delivery

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// followPause is the time between two looks at a request that another
	// entry works on.
	followPause = 300 * time.Millisecond
	// followPatience is how long a reader waits while the table can't be read.
	followPatience = 30 * time.Second
)

// Follow writes the answer of a durable request from a token offset on. The
// request may run on any entry: while it runs elsewhere its engine's stream is
// read, and once it has ended its record is.
func (s *Service) Follow(ctx context.Context, customer, id string, from int, out Output) error {
	f := &follower{service: s, customer: customer, id: id, from: from, out: out, heard: time.Now()}
	for {
		done, err := f.step(ctx)
		if done || err != nil {
			return err
		}
		if !ctxtime.Sleep(ctx, followPause) {
			return context.Cause(ctx)
		}
	}
}

// follower is the work of one Follow.
type follower struct {
	service  *Service
	customer string
	id       string
	from     int
	out      Output
	// heard is when the record was last read.
	heard time.Time
}

// step follows as far as it goes in one place.
func (f *follower) step(ctx context.Context) (bool, error) {
	if answer := f.service.live(f.id); answer != nil && answer.customer == f.customer {
		from, err := answer.follow(ctx, f.from, f.out)
		f.from = from
		if verdict.CodeOf(err) == verdict.CodeFenced {
			// Another entry took the request over.
			return false, nil
		}
		return err == nil, err
	}
	r, err := f.service.options.Jobs.Get(ctx, f.customer, f.id)
	if err != nil {
		return false, f.unread(ctx, err)
	}
	f.heard = time.Now()
	switch r.State {
	case job.StateDone:
		return true, f.finish(&r)
	case job.StateFailed:
		return true, failureOf(&r)
	default:
		return false, f.attach(ctx, &r)
	}
}

// unread says whether a record that can't be read ends the work.
func (f *follower) unread(ctx context.Context, err error) error {
	if ctx.Err() != nil || verdict.CodeOf(err) == verdict.CodeNotFound || time.Since(f.heard) > followPatience {
		return err
	}
	return nil
}

// finish writes the rest of a recorded answer.
func (f *follower) finish(r *job.Record) error {
	whole := Chunk{Text: r.Answer.Text.Inline, Tokens: r.Answer.Tokens}
	if _, err := write(f.out, whole, f.from); err != nil {
		return err
	}
	prompt := 0
	if len(r.Messages) > 0 {
		prompt = prefix.Count(prefix.Text(r.Messages))
	}
	return f.out.End(Summary{PromptTokens: prompt, Tokens: r.Answer.Tokens, FinishReason: r.Answer.FinishReason})
}

// failureOf returns the recorded failure as an error.
func failureOf(r *job.Record) error {
	return verdict.New(verdict.Parse(r.Answer.Verdict), r.Answer.Code, "%s", r.Answer.Message)
}

// attach reads the engine's stream of a request that another entry owns. What
// the reader gets may run ahead of what the owner has recorded; both read the
// same stream.
func (f *follower) attach(ctx context.Context, r *job.Record) error {
	binding := bindingOf(r.Stream)
	if binding == nil {
		return nil
	}
	q, _ := durableRequest(r, f.service.kindOf(r.Kind))
	q.Resume, q.ResumeTokens = "", f.from
	tokens, err := f.service.options.Relay.Follow(ctx, q, *binding, &attachedSink{out: f.out})
	f.from = tokens
	return err
}

// Status returns the state of a durable request.
func (s *Service) Status(ctx context.Context, customer, id string) (Status, error) {
	if answer := s.live(id); answer != nil && answer.customer == customer {
		return Status{
			ID: id, State: string(job.StateRunning), Model: answer.model,
			Tokens: answer.count(), TemplateVersion: answer.version,
		}, nil
	}
	r, err := s.options.Jobs.Get(ctx, customer, id)
	if err != nil {
		return Status{}, err
	}
	status := Status{
		ID: id, State: string(r.State), Model: r.Model,
		Tokens: r.Checkpoint.Tokens, TemplateVersion: r.TemplateVersion,
	}
	if r.Answer == nil {
		return status, nil
	}
	status.Tokens = r.Answer.Tokens
	status.FinishReason = r.Answer.FinishReason
	status.Text = r.Answer.Text.Inline
	if r.State == job.StateFailed {
		status.Verdict, status.Error = r.Answer.Verdict, r.Answer.Message
	}
	return status, nil
}

var _ relay.Sink = (*attachedSink)(nil)
