package delivery

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
)

// Predictor predicts the time to the first token. *routing.Fleet implements
// it.
type Predictor interface {
	Predict(r routing.Request) (time.Duration, bool)
}

// Options configure a Service.
type Options struct {
	// EntryID and Incarnation name this entry as the owner of requests.
	EntryID     string
	Incarnation string
	Relay       *relay.Relay
	Client      endpoint.Client
	Predictor   Predictor
	// Cost returns the cost of an answer by its endpoint and token counts.
	Cost func(endpointID string, promptTokens, tokens int) float64
	Log  *logrus.Entry
}

// Service runs chat requests. It is safe for concurrent use.
type Service struct {
	options Options
}

// New returns a Service.
func New(o Options) *Service {
	return &Service{options: o}
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
