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
	// firstRecordPause and longestRecordPause are between two tries to record
	// the end of a request.
	firstRecordPause   = 100 * time.Millisecond
	longestRecordPause = 2 * time.Second
)

// StartDurable records a request and returns its ID, which is that of an earlier
// request with the same idempotency key. From then on the request goes on
// without its caller.
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
	s.work.Go(func() {
		if err := s.carry(s.ctx, record, r.Kind, r.Ticket); err != nil {
			s.options.Log.WithError(err).WithField("request", record.ID).Warn("delivery: durable request left to an adopter.")
		}
	})
	return record.ID, nil
}

// bodyHash tells a repeat from another request under the same key.
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

// Resume goes on with a request that this entry took over, and returns once
// its end is recorded. It is the adopter's callback.
func (s *Service) Resume(ctx context.Context, r job.Record) error {
	return s.carry(ctx, &r, s.kindOf(r.Kind), nil)
}

// kindOf returns a kind of the template in force. A request whose kind has
// gone from the template since keeps its promise all the same.
func (s *Service) kindOf(name string) template.Kind {
	if kind, ok := s.options.Kinds(name); ok {
		return kind
	}
	return template.Kind{Name: name, Urgency: template.UrgencyPatient, Deadline: template.Duration(time.Minute)}
}

// carry runs an owned request to its recorded end.
func (s *Service) carry(ctx context.Context, r *job.Record, kind template.Kind, ticket *admission.Ticket) error {
	s.options.Hold.Hold()
	defer s.options.Hold.Leave()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer := newLive(r, cancel)
	s.addLive(r.ID, answer)
	defer s.removeLive(r.ID, answer)

	q, promptTokens := durableRequest(r, kind)
	recorder := s.newRecorder(r, answer, cancel)
	result, err := s.options.Relay.Run(ctx, q, &durableSink{answer: answer, recorder: recorder})
	text := recorder.stop()
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
	s.logEnd(r.ID, r.Customer, kind.Name, result, err)
	recorded := s.record(ctx, r.ID, finished(text, result, err), verdict.Of(err))
	if err != nil {
		answer.end(nil, err)
	}
	return recorded
}

// finished returns the record's answer.
func finished(text string, result relay.Result, err error) job.Answer {
	if err != nil {
		return job.Answer{Code: verdict.CodeOf(err), Message: err.Error()}
	}
	return job.Answer{Text: job.Text{Inline: text}, Tokens: result.Tokens, FinishReason: result.FinishReason}
}

// record writes the end of a request, again and again until it is there: while
// the table is down, readers follow the answer in this entry's memory.
func (s *Service) record(ctx context.Context, id string, answer job.Answer, v verdict.Verdict) error {
	if answer.Code == "" {
		v = verdict.Ran
	}
	pause := firstRecordPause
	for {
		err := s.options.Jobs.Finish(ctx, id, answer, v)
		if err == nil || verdict.CodeOf(err) == verdict.CodeFenced {
			return err
		}
		if verdict.Of(err) == verdict.Ran {
			// An earlier try took effect.
			return nil
		}
		if !ctxtime.Sleep(ctx, pause) {
			return err
		}
		pause = min(2*pause, longestRecordPause)
	}
}

func durableRequest(r *job.Record, kind template.Kind) (*relay.Request, int) {
	hashes, tokens := prefix.Hashes(r.Customer, prefix.Text(r.Messages))
	q := &relay.Request{
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
	return q, tokens
}

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

// durableSink writes to the live answer and tells the recorder.
type durableSink struct {
	answer   *live
	recorder *recorder
}

func (d *durableSink) Bound(_ context.Context, b relay.Binding) error {
	d.recorder.bind(job.Stream{
		HostID:     b.HostID,
		EndpointID: b.EndpointID,
		Addr:       b.Addr,
		ID:         b.StreamID,
		AttemptID:  b.AttemptID,
	})
	return nil
}

func (d *durableSink) Write(_ context.Context, p relay.Chunk) error {
	d.answer.add(p)
	return nil
}

var errClosed = errors.New("entry stops")
