package delivery

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/once"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// defaultServiceTimeout limits a call whose kind sets no deadline.
	defaultServiceTimeout = 10 * time.Second
	// callTimeoutFactor is the ratio of the time limit of a call to the timeout
	// of one send. It exceeds 1, since a call may wait for the outcome of a
	// send by another entry.
	callTimeoutFactor = 2
)

// ServiceCall is an admitted call to a plain service.
type ServiceCall struct {
	RequestID string
	Customer  string
	Service   string
	Kind      template.Kind
	// Repeatable calls may be sent again after a failure.
	Repeatable bool
	// Key is the idempotency key; it is set if Repeatable is false.
	Key    string
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceFleet chooses endpoints of plain services. *routing.Fleet
// implements it.
type ServiceFleet interface {
	ChooseService(name string, exclude []string) (routing.Choice, error)
	Done(c routing.Choice, o routing.Outcome)
}

// Services calls plain services. It is safe for concurrent use.
type Services struct {
	fleet    ServiceFleet
	client   endpoint.Client
	once     *once.Store
	retries  Retries
	recorder Recorder
	log      *logrus.Entry
}

// Retries is the retry budget.
type Retries interface {
	// Retry withdraws a retry from the customer's budget, and reports whether
	// the budget allowed it.
	Retry(customer string) bool
}

// NewServices returns a Services.
func NewServices(fleet ServiceFleet, client endpoint.Client, store *once.Store, retries Retries, recorder Recorder, log *logrus.Entry) *Services {
	return &Services{fleet: fleet, client: client, once: store, retries: retries, recorder: recorder, log: log}
}

// Call executes one call and returns the reply and the endpoint that sent it.
// The endpoint is empty if the reply is that of an earlier request.
func (s *Services) Call(ctx context.Context, c ServiceCall) (endpoint.Reply, string, error) {
	reply, endpointID, err := s.call(ctx, c)
	switch {
	case s.recorder == nil:
	case err != nil:
		s.recorder.Failed(c.Kind.Name, verdict.Of(err))
	default:
		s.recorder.Answered(c.Kind.Name)
	}
	return reply, endpointID, err
}

func (s *Services) call(ctx context.Context, c ServiceCall) (endpoint.Reply, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutFactor*sendTimeout(c))
	defer cancel()
	if c.Repeatable {
		return s.sendWithRetries(ctx, c)
	}
	// The send may continue after Do has returned.
	usedEndpoint := make(chan string, 1)
	key := once.Key{Customer: c.Customer, Service: c.Service, Key: c.Key}
	reply, err := s.once.Do(ctx, key, callHash(c), func(ctx context.Context, attempt string) (endpoint.Reply, error) {
		reply, endpointID, err := s.send(ctx, c, attempt, nil)
		usedEndpoint <- endpointID
		return reply, err
	})
	select {
	case endpointID := <-usedEndpoint:
		return reply, endpointID, err
	default:
		return reply, "", err
	}
}

// callHash returns the hash of a call's method, path and body. A repeat with
// the same key must have the same hash.
func callHash(c ServiceCall) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(c.Method))
	h.Write([]byte{0})
	h.Write([]byte(c.Path))
	h.Write([]byte{0})
	h.Write(c.Body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// sendWithRetries sends a call, and after a failure retries it at another
// endpoint while the kind's retries, the retry budget and the deadline allow
// it.
func (s *Services) sendWithRetries(ctx context.Context, c ServiceCall) (endpoint.Reply, string, error) {
	var exclude []string
	for attempt := 0; ; attempt++ {
		reply, endpointID, err := s.send(ctx, c, uuid.NewString(), exclude)
		if err == nil || ctx.Err() != nil {
			return reply, endpointID, err
		}
		if attempt >= c.Kind.Retries || !s.retries.Retry(c.Customer) {
			return reply, endpointID, err
		}
		exclude = append(exclude, endpointID)
	}
}

// sendTimeout returns the timeout of one send of a call.
func sendTimeout(c ServiceCall) time.Duration {
	if d := c.Kind.Deadline.Std(); d > 0 {
		return d
	}
	return defaultServiceTimeout
}

// send sends a call once, to an endpoint that is not in exclude, and returns
// the reply and the ID of the endpoint.
func (s *Services) send(ctx context.Context, c ServiceCall, attempt string, exclude []string) (endpoint.Reply, string, error) {
	choice, err := s.fleet.ChooseService(c.Service, exclude)
	if err != nil {
		return endpoint.Reply{}, "", verdict.Wrap(verdict.NotRun, err)
	}
	reply, err := s.client.Service(choice.Endpoint.Addr).Call(ctx, endpoint.Call{
		Method:    c.Method,
		Path:      c.Path,
		Header:    c.Header,
		Body:      c.Body,
		Key:       scopedKey(c),
		AttemptID: attempt,
		Timeout:   sendTimeout(c),
	})
	s.fleet.Done(choice, routing.Outcome{Err: err})
	return reply, choice.Endpoint.ID, err
}

// scopedKey returns the idempotency key to send to the service. It contains the
// customer, so that the same key of two customers refers to different calls.
func scopedKey(c ServiceCall) string {
	if c.Key == "" {
		return ""
	}
	return endpoint.ScopedKey(c.Customer, c.Key)
}
