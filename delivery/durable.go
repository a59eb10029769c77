package delivery

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// recordInitialBackoff and recordMaxBackoff are the first and the longest
	// delay between two attempts to record the end of a request.
	recordInitialBackoff = 100 * time.Millisecond
	recordMaxBackoff     = 2 * time.Second
)

// StartDurable records a request, starts it and returns its ID. If an earlier
// request had the same idempotency key, it returns the ID of that request
// instead. A recorded request continues without its client.
func (s *Service) StartDurable(ctx context.Context, r *Request) (string, error) {
	record := &job.Record{
		ID:              r.ID,
		Customer:        r.Customer.Name,
		Kind:            r.Kind.Name,
		TemplateVersion: r.TemplateVersion,
		Model:           r.Model,
		Version:         r.Version,
		MaxTokens:       r.MaxTokens,
		IdempotencyKey:  r.IdempotencyKey,
		BodyHash:        bodyHash(r),
		Messages:        r.Messages,
	}
	if err := s.options.Jobs.Accept(ctx, record); err != nil {
		return "", err
	}
	if record.Joined {
		r.Ticket.Done(admission.Usage{Tokens: 1})
		return record.ID, nil
	}
	s.running.Go(func() {
		if err := s.runDurable(s.ctx, record, r.Kind, r.Ticket); err != nil {
			s.options.Log.WithError(err).WithField("request", record.ID).Warn("delivery: durable request left to an adopter.")
		}
	})
	return record.ID, nil
}

// bodyHash returns a hash that distinguishes a repeat from a different request
// with the same idempotency key.
func bodyHash(r *Request) string {
	body, err := json.Marshal(struct {
		Kind      string
		Model     string
		MaxTokens int
		Messages  any
	}{r.Kind.Name, r.Model, r.MaxTokens, r.Messages})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Resume continues a request that this entry has adopted, and returns once its
// end is recorded. It implements job.AdopterOptions.Resume.
func (s *Service) Resume(ctx context.Context, r job.Record) error {
	return s.runDurable(ctx, &r, s.kindOf(r.Kind), nil)
}

// kindOf returns a request kind of the current template. If the template no
// longer contains the kind, kindOf returns a default, since the request was
// accepted and must still be answered.
func (s *Service) kindOf(name string) template.Kind {
	if kind, ok := s.options.Kinds(name); ok {
		return kind
	}
	return template.Kind{Name: name, Urgency: template.UrgencyPatient, Deadline: template.Duration(time.Minute)}
}

// runDurable runs an owned request until its end is recorded.
func (s *Service) runDurable(ctx context.Context, r *job.Record, kind template.Kind, ticket *admission.Ticket) error {
	s.options.DrainGate.Hold()
	defer s.options.DrainGate.Leave()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer := newLiveAnswer(r, cancel)
	s.addLiveAnswer(r.ID, answer)
	defer s.removeLiveAnswer(r.ID, answer)

	request, promptTokens := durableRequest(r, kind)
	checkpointer := s.newCheckpointer(r, answer, cancel)
	result, err := s.options.Relay.Run(ctx, request, &durableSink{answer: answer, checkpointer: checkpointer})
	text := checkpointer.stop()
	if ticket != nil {
		ticket.Done(admission.Usage{Tokens: promptTokens + result.Tokens, Cost: s.cost(promptTokens, result)})
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	end := summary(promptTokens, result)
	if err == nil {
		answer.end(&end, nil)
	}
	s.reportEnd(r.ID, r.Customer, kind.Name, result, err)
	recorded := s.recordEnd(ctx, r.ID, finalAnswer(text, result, err), verdict.Of(err))
	if err != nil {
		answer.end(nil, err)
	}
	return recorded
}

// finalAnswer returns the answer, or the failure, to record.
func finalAnswer(text string, result relay.Result, err error) job.Answer {
	if err != nil {
		return job.Answer{Code: verdict.CodeOf(err), Message: err.Error()}
	}
	return job.Answer{Text: job.Text{Inline: text}, Tokens: result.Tokens, FinishReason: result.FinishReason}
}

// recordEnd records the end of a request. It retries until the end is recorded
// or the request is fenced: while the table is unavailable, readers follow the
// answer in this entry's memory.
func (s *Service) recordEnd(ctx context.Context, id string, answer job.Answer, v verdict.Verdict) error {
	if answer.Code == "" {
		v = verdict.Ran
	}
	backoff := recordInitialBackoff
	for {
		err := s.options.Jobs.Finish(ctx, id, answer, v)
		if err == nil || verdict.CodeOf(err) == verdict.CodeFenced {
			return err
		}
		if verdict.Of(err) == verdict.Ran {
			// An earlier attempt took effect.
			return nil
		}
		if !ctxtime.Sleep(ctx, backoff) {
			return err
		}
		backoff = min(2*backoff, recordMaxBackoff)
	}
}

// durableRequest returns the relay request for a record, which resumes after
// the record's checkpoint, and the number of prompt tokens.
func durableRequest(r *job.Record, kind template.Kind) (*relay.Request, int) {
	hashes, tokens := prefix.Hashes(r.Customer, prefix.Text(r.Messages))
	request := &relay.Request{
		ID:           r.ID,
		Customer:     r.Customer,
		Model:        r.Model,
		Version:      r.Version,
		Messages:     r.Messages,
		Hashes:       hashes,
		PromptTokens: tokens,
		MaxTokens:    r.MaxTokens,
		Urgency:      kind.Urgency,
		Deadline:     kind.Deadline.Std(),
		Durable:      true,
		Resume:       r.Checkpoint.Text.Inline,
		ResumeTokens: r.Checkpoint.Tokens,
		Attach:       bindingOf(r.Stream),
	}
	return request, tokens
}

// bindingOf returns the binding to a recorded stream, or nil if there is none.
func bindingOf(s job.Stream) *relay.Binding {
	if s.ID == "" {
		return nil
	}
	return &relay.Binding{
		HostID:     s.HostID,
		EndpointID: s.EndpointID,
		Addr:       s.Addr,
		StreamID:   s.ID,
		AttemptID:  s.AttemptID,
	}
}

// durableSink adds chunks to the live answer and passes bindings to the
// checkpointer.
type durableSink struct {
	answer       *liveAnswer
	checkpointer *checkpointer
}

func (d *durableSink) Bound(_ context.Context, b relay.Binding) error {
	d.checkpointer.bind(job.Stream{
		HostID:     b.HostID,
		EndpointID: b.EndpointID,
		Addr:       b.Addr,
		ID:         b.StreamID,
		AttemptID:  b.AttemptID,
	})
	return nil
}

func (d *durableSink) Write(_ context.Context, chunk relay.Chunk) error {
	d.answer.add(chunk)
	return nil
}

var errClosed = errors.New("entry stops")
