package delivery

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// RunAttached runs a request and writes its answer to out. When ctx ends, as it
// does when the client disconnects, the engine's stream is cancelled.
func (s *Service) RunAttached(ctx context.Context, r *Request, out Output) error {
	sink := &attachedSink{out: out}
	result, err := s.options.Relay.Run(ctx, relayRequest(r), sink)
	r.Ticket.Done(admission.Usage{Tokens: r.PromptTokens + result.Tokens, Cost: s.cost(r.PromptTokens, result)})
	s.reportEnd(r.ID, r.Customer.Name, r.Kind.Name, result, err)
	if err != nil {
		return err
	}
	return out.End(summary(r.PromptTokens, result))
}

func relayRequest(r *Request) *relay.Request {
	return &relay.Request{
		ID:           r.ID,
		Customer:     r.Customer.Name,
		Model:        r.Model,
		Version:      r.Version,
		Messages:     r.Messages,
		Hashes:       r.Hashes,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Urgency:      r.Kind.Urgency,
		Deadline:     r.Kind.Deadline.Std(),
	}
}

func summary(promptTokens int, result relay.Result) Summary {
	return Summary{PromptTokens: promptTokens, Tokens: result.Tokens, FinishReason: result.FinishReason}
}

// attachedSink passes an answer directly to an Output.
type attachedSink struct{ out Output }

func (a *attachedSink) Bound(_ context.Context, b relay.Binding) error {
	return a.out.Bound(b.EndpointID)
}

func (a *attachedSink) Write(_ context.Context, chunk relay.Chunk) error {
	return a.out.Write(chunk)
}

// countOutcome counts the outcome of a request in the Recorder, if there is
// one.
func (s *Service) countOutcome(kind string, result relay.Result, err error) {
	recorder := s.options.Recorder
	if recorder == nil {
		return
	}
	for range result.Attempts - 1 {
		recorder.Retried("stream")
	}
	recorder.Recomputed(result.Recomputed)
	if err != nil {
		recorder.Failed(kind, verdict.Of(err))
		return
	}
	recorder.Answered(kind)
	recorder.FirstToken(kind, result.FirstToken)
}

// reportEnd logs and counts the end of a request.
func (s *Service) reportEnd(id, customer, kind string, result relay.Result, err error) {
	entry := s.options.Log.WithFields(logrus.Fields{
		"request":    id,
		"customer":   customer,
		"kind":       kind,
		"endpoint":   result.EndpointID,
		"tokens":     result.Tokens,
		"attempts":   result.Attempts,
		"recomputed": result.Recomputed,
		"ttft":       result.FirstToken,
	})
	s.countOutcome(kind, result, err)
	if err != nil {
		entry.WithError(err).Warn("delivery: request failed.")
		return
	}
	entry.Info("delivery: request answered.")
}
