package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Predictor predicts the time to the first token. *routing.Fleet implements
// it.
type Predictor interface {
	Predict(r routing.Request) (time.Duration, bool)
}

// Options configure a Service.
type Options struct {
	Relay     *relay.Relay
	Predictor Predictor
	// Jobs records durable requests, and Pacing says how often.
	Jobs             *job.Store
	CheckpointPolicy *job.CheckpointPolicy
	// Kinds returns a kind of the template in force.
	Kinds func(name string) (template.Kind, bool)
	// Recorder counts requests; nil for none.
	Recorder Recorder
	// Hold keeps the entry from ending while a durable request runs.
	Hold Holder
	// Cost returns the cost of an answer by its endpoint and token counts.
	Cost func(endpointID string, promptTokens, tokens int) float64
	Log  *logrus.Entry
}

// Service runs chat requests. It is safe for concurrent use.
type Service struct {
	options Options

	ctx    context.Context
	cancel context.CancelCauseFunc
	work   sync.WaitGroup

	mu sync.Mutex
	// answers are the durable requests that run here, by ID.
	answers map[string]*live
}

// Recorder counts what becomes of requests. *telemetry.Metrics implements it.
type Recorder interface {
	Answered(kind string)
	Failed(kind string, v verdict.Verdict)
	Retried(reason string)
	Recomputed(tokens int)
	FirstToken(kind string, d time.Duration)
}

// Holder counts work that the entry waits for when it stops.
type Holder interface {
	Hold()
	Leave()
}

// New returns a Service. Close must be called.
func New(o Options) *Service {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Service{options: o, ctx: ctx, cancel: cancel, answers: make(map[string]*live)}
}

// Close ends the work on durable requests, which adopters then take over.
// Their engines' streams go on.
func (s *Service) Close() {
	s.cancel(errClosed)
	s.work.Wait()
}

func (s *Service) live(id string) *live {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[id]
}

func (s *Service) liveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}

// addLive makes an answer the one that readers follow. Where an earlier run of
// the same request has not ended yet, as this entry lost the request and took
// it over again, that run is stopped first: two would write one record.
func (s *Service) addLive(id string, answer *live) {
	for {
		s.mu.Lock()
		old := s.answers[id]
		if old == nil {
			s.answers[id] = answer
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		old.cancel(errLeft)
		<-old.gone
	}
}

// removeLive forgets an answer, and lets its readers look elsewhere.
func (s *Service) removeLive(id string, answer *live) {
	s.mu.Lock()
	delete(s.answers, id)
	s.mu.Unlock()
	answer.leave()
	close(answer.gone)
}

// PredictedWait returns the predicted time to the first token, 0 if unknown.
func (s *Service) PredictedWait(r *Request) time.Duration {
	wait, ok := s.options.Predictor.Predict(routing.Request{
		RequestID:    r.ID,
		Customer:     r.Customer.Name,
		Model:        r.Model,
		Version:      r.Version,
		Hashes:       r.Hashes,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Urgency:      r.Kind.Urgency,
		Deadline:     r.Kind.Deadline.Std(),
	})
	if !ok {
		return 0
	}
	return wait
}

func (s *Service) cost(promptTokens int, result relay.Result) float64 {
	if s.options.Cost == nil {
		return 0
	}
	return s.options.Cost(result.EndpointID, promptTokens, result.Tokens)
}
