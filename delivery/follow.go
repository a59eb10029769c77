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
	// followInterval is the time between two reads of the record of a request
	// that another entry runs.
	followInterval = 300 * time.Millisecond
	// followTimeout limits how long a reader waits while the record can't be
	// read.
	followTimeout = 30 * time.Second
)

// Follow writes the answer of a durable request to out, starting at a token
// offset. The request may run at any entry: while another entry runs it, Follow
// reads the engine's stream, and once it has ended, its record.
func (s *Service) Follow(ctx context.Context, customer, id string, from int, out Output) error {
	f := &follower{service: s, customer: customer, id: id, from: from, out: out, lastRead: time.Now()}
	for {
		done, err := f.step(ctx)
		if done || err != nil {
			return err
		}
		if !ctxtime.Sleep(ctx, followInterval) {
			return context.Cause(ctx)
		}
	}
}

// follower is the state of one Follow.
type follower struct {
	service  *Service
	customer string
	id       string
	from     int
	out      Output
	// lastRead is the time of the last successful read of the record, or of
	// the start of Follow.
	lastRead time.Time
}

// step follows the answer at one source: the live answer of this entry, the
// record, or the engine's stream. It reports whether the answer has ended.
func (f *follower) step(ctx context.Context) (bool, error) {
	if answer := f.service.liveAnswer(f.id); answer != nil && answer.customer == f.customer {
		from, err := answer.follow(ctx, f.from, f.out)
		f.from = from
		if verdict.CodeOf(err) == verdict.CodeFenced {
			// Another entry owns the request now.
			return false, nil
		}
		return err == nil, err
	}
	r, err := f.service.options.Jobs.Get(ctx, f.customer, f.id)
	if err != nil {
		return false, f.readFailure(ctx, err)
	}
	f.lastRead = time.Now()
	switch r.State {
	case job.StateDone:
		return true, f.finish(&r)
	case job.StateFailed:
		return true, failureOf(&r)
	default:
		return false, f.attach(ctx, &r)
	}
}

// readFailure returns the error of a failed read if it ends the Follow, or nil
// if the read is to be retried.
func (f *follower) readFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil || verdict.CodeOf(err) == verdict.CodeNotFound || time.Since(f.lastRead) > followTimeout {
		return err
	}
	return nil
}

// finish writes the remaining text and the end of a recorded answer.
func (f *follower) finish(r *job.Record) error {
	complete := Chunk{Text: r.Answer.Text.Inline, Tokens: r.Answer.Tokens}
	if _, err := writeFrom(f.out, complete, f.from); err != nil {
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

// attach reads the engine's stream of a request that another entry owns. The
// reader may get tokens that the owner has not recorded yet, since both read
// the same stream.
func (f *follower) attach(ctx context.Context, r *job.Record) error {
	binding := bindingOf(r.Stream)
	if binding == nil {
		return nil
	}
	request, _ := durableRequest(r, f.service.kindOf(r.Kind))
	request.Resume, request.ResumeTokens = "", f.from
	tokens, err := f.service.options.Relay.Follow(ctx, request, *binding, &attachedSink{out: f.out})
	f.from = tokens
	return err
}

// Status returns the state of a durable request.
func (s *Service) Status(ctx context.Context, customer, id string) (Status, error) {
	if answer := s.liveAnswer(id); answer != nil && answer.customer == customer {
		return Status{
			ID: id, State: string(job.StateRunning), Model: answer.model,
			Tokens: answer.tokenCount(), TemplateVersion: answer.templateVersion,
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
