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

// Predictor predicts the time to the first token of a request. Predict returns
// false if it has no prediction. *routing.Fleet implements it.
type Predictor interface {
	Predict(r routing.Request) (time.Duration, bool)
}

// Options configure a Service.
type Options struct {
	Relay     *relay.Relay
	Predictor Predictor
	// Jobs records durable requests. CheckpointPolicy determines how often the
	// answer of a running request is recorded.
	Jobs             *job.Store
	CheckpointPolicy *job.CheckpointPolicy
	// Kinds returns a request kind of the current template.
	Kinds func(name string) (template.Kind, bool)
	// Recorder counts the outcomes of requests; it may be nil.
	Recorder Recorder
	// DrainGate prevents the entry from stopping while a durable request runs.
	DrainGate DrainGate
	// Cost returns the cost of an answer, given its endpoint and token counts.
	// If it is nil, answers have no cost.
	Cost func(endpointID string, promptTokens, tokens int) float64
	Log  *logrus.Entry
}

// Service runs chat requests. It is safe for concurrent use.
type Service struct {
	options Options

	ctx     context.Context
	cancel  context.CancelCauseFunc
	running sync.WaitGroup

	mu sync.Mutex
	// liveAnswers holds the answers of the durable requests that run at this
	// entry, by request ID.
	liveAnswers map[string]*liveAnswer
}

// Recorder counts the outcomes of requests. *telemetry.Metrics implements it.
type Recorder interface {
	Answered(kind string)
	Failed(kind string, v verdict.Verdict)
	Retried(reason string)
	Recomputed(tokens int)
	FirstToken(kind string, d time.Duration)
}

// DrainGate counts the work that the entry waits for before it stops.
type DrainGate interface {
	Hold()
	Leave()
}

// New returns a Service. Close must be called.
func New(o Options) *Service {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Service{options: o, ctx: ctx, cancel: cancel, liveAnswers: make(map[string]*liveAnswer)}
}

// Close stops running durable requests, which other entries then adopt. Their
// streams on the engines continue.
func (s *Service) Close() {
	s.cancel(errClosed)
	s.running.Wait()
}

// liveAnswer returns the answer of a durable request that runs at this entry,
// or nil.
func (s *Service) liveAnswer(id string) *liveAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveAnswers[id]
}

func (s *Service) liveAnswerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.liveAnswers)
}

// addLiveAnswer registers an answer, so that readers can follow it. If this
// entry lost the request and claimed it again, an earlier run may not have
// ended yet. That run is stopped first, since both would write the same record.
func (s *Service) addLiveAnswer(id string, answer *liveAnswer) {
	for {
		s.mu.Lock()
		old := s.liveAnswers[id]
		if old == nil {
			s.liveAnswers[id] = answer
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		old.cancel(errContinuesElsewhere)
		<-old.ended
	}
}

// removeLiveAnswer unregisters an answer and detaches its readers, which then
// continue from the record or the engine's stream.
func (s *Service) removeLiveAnswer(id string, answer *liveAnswer) {
	s.mu.Lock()
	delete(s.liveAnswers, id)
	s.mu.Unlock()
	answer.detachReaders()
	close(answer.ended)
}

// PredictedWait returns the predicted time to the first token, or 0 if there is
// no prediction.
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

// cost returns the cost of an answer, or 0 if Options.Cost is nil.
func (s *Service) cost(promptTokens int, result relay.Result) float64 {
	if s.options.Cost == nil {
		return 0
	}
	return s.options.Cost(result.EndpointID, promptTokens, result.Tokens)
}
