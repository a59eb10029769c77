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
	// defaultServiceTimeout bounds a call whose kind sets no deadline.
	defaultServiceTimeout = 10 * time.Second
	// waitFactor bounds, in timeouts of one sending, how long a caller waits
	// for the outcome: its own call may wait for that of another entry.
	waitFactor = 2
)

// ServiceCall is an admitted call of a plain service.
type ServiceCall struct {
	RequestID string
	Customer  string
	Service   string
	Kind      template.Kind
	// Repeatable calls may be sent again after a failure.
	Repeatable bool
	// Key is the idempotency key; it is set where Repeatable is false.
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
	fleet   ServiceFleet
	client  endpoint.Client
	once    *once.Store
	retries Retries
	meter   Recorder
	log     *logrus.Entry
}

// Retries is the budget for attempts after the first.
type Retries interface {
	Retry(customer string) bool
}

// NewServices returns a Services.
func NewServices(fleet ServiceFleet, client endpoint.Client, store *once.Store, retries Retries, meter Recorder, log *logrus.Entry) *Services {
	return &Services{fleet: fleet, client: client, once: store, retries: retries, meter: meter, log: log}
}

// Call runs one call and returns the reply and the endpoint that gave it. The
// endpoint is empty where the reply was recorded earlier.
func (s *Services) Call(ctx context.Context, c ServiceCall) (endpoint.Reply, string, error) {
	reply, endpointID, err := s.call(ctx, c)
	switch {
	case s.meter == nil:
	case err != nil:
		s.meter.Failed(c.Kind.Name, verdict.Of(err))
	default:
		s.meter.Answered(c.Kind.Name)
	}
	return reply, endpointID, err
}

func (s *Services) call(ctx context.Context, c ServiceCall) (endpoint.Reply, string, error) {
	ctx, cancel := context.WithTimeout(ctx, waitFactor*timeoutOf(c))
	defer cancel()
	if c.Repeatable {
		return s.repeatable(ctx, c)
	}
	// The send may go on after Do has returned.
	used := make(chan string, 1)
	key := once.Key{Customer: c.Customer, Service: c.Service, Key: c.Key}
	reply, err := s.once.Do(ctx, key, digest(c), func(ctx context.Context, attempt string) (endpoint.Reply, error) {
		reply, endpointID, err := s.send(ctx, c, attempt, nil)
		used <- endpointID
		return reply, err
	})
	select {
	case endpointID := <-used:
		return reply, endpointID, err
	default:
		return reply, "", err
	}
}

// digest is what a repeat under the same key must match: another method, path
// or body is another call.
func digest(c ServiceCall) [sha256.Size]byte {
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

// repeatable sends a call again to another endpoint while the retry budget
// and the deadline allow it.
func (s *Services) repeatable(ctx context.Context, c ServiceCall) (endpoint.Reply, string, error) {
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

// timeoutOf bounds one sending of a call.
func timeoutOf(c ServiceCall) time.Duration {
	if d := c.Kind.Deadline.Std(); d > 0 {
		return d
	}
	return defaultServiceTimeout
}

// send sends a call once.
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
		Timeout:   timeoutOf(c),
	})
	s.fleet.Done(choice, routing.Outcome{Err: err})
	return reply, choice.Endpoint.ID, err
}

// scopedKey keeps the calls of two customers with the same key apart in the
// service.
func scopedKey(c ServiceCall) string {
	if c.Key == "" {
		return ""
	}
	return endpoint.ScopedKey(c.Customer, c.Key)
}
