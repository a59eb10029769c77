package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Defaults of Options, and bounds of the retries.
const (
	defaultStallTimeout    = 5 * time.Second
	defaultProgressTimeout = 10 * time.Minute
	defaultOrderTimeout    = 2 * time.Second
	initialBackoff         = 20 * time.Millisecond
	maxBackoff             = time.Second
	maxRereadsPerStream    = 3
)

// Options configure a Relay. A duration of 0 takes its default.
type Options struct {
	Fleet   Fleet
	Client  endpoint.Client
	Retries Retries
	Log     *logrus.Entry
	// StallTimeout is how long a stream may be unresponsive before it is
	// read again or abandoned.
	StallTimeout time.Duration
	// ProgressTimeout is the time without progress after which a request is
	// abandoned.
	ProgressTimeout time.Duration
	// OrderTimeout is the timeout of cancel and export calls to an engine.
	OrderTimeout time.Duration
	// Restart generates a broken answer again from its beginning instead of
	// resuming it, as a baseline for experiments. Tokens that the client
	// has already received are not sent twice.
	Restart bool
	// OnResume is called when an answer is resumed, with the method used:
	// "kv" or "text". It may be nil.
	OnResume func(method string)
	// NewID returns a unique attempt ID.
	NewID func() string
}

// Relay relays answers. It is safe for concurrent use.
type Relay struct {
	options Options
	streams *streams
	counts  counters
}

// New returns a Relay.
func New(o Options) *Relay {
	if o.StallTimeout == 0 {
		o.StallTimeout = defaultStallTimeout
	}
	if o.ProgressTimeout == 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.OrderTimeout == 0 {
		o.OrderTimeout = defaultOrderTimeout
	}
	if o.OnResume == nil {
		o.OnResume = func(string) {}
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	return &Relay{options: o, streams: newStreams()}
}

// Counts returns the event counts since the start.
func (r *Relay) Counts() Counts { return r.counts.snapshot() }

// Streams lists the running streams on a host.
func (r *Relay) Streams(hostID string) []Stream {
	list := r.streams.onHost(hostID)
	out := make([]Stream, 0, len(list))
	for _, s := range list {
		out = append(out, s.describe())
	}
	return out
}

// Move moves the stream of a request off the given host. It returns false if
// the request has no stream there.
func (r *Relay) Move(hostID, requestID string, m Move) bool {
	for _, s := range r.streams.onHost(hostID) {
		if s.answer.request.ID == requestID {
			s.cancel(&m)
			return true
		}
	}
	return false
}

// Run relays one answer into sink and returns once it is complete. An error
// before an engine has accepted the request has the verdict NotRun, or
// MayHaveRun if a failed start may have taken effect.
func (r *Relay) Run(ctx context.Context, q *Request, sink Sink) (Result, error) {
	c := &call{
		relay:    r,
		request:  q,
		answer:   newAnswer(q),
		sink:     sink,
		started:  time.Now(),
		progress: time.Now(),
		log:      r.options.Log.WithField("request", q.ID),
	}
	defer c.releaseReserved()
	return c.run(ctx)
}

// releaseReserved releases a reserved choice that no attempt used.
func (c *call) releaseReserved() {
	if c.reserved != nil {
		c.relay.options.Fleet.Done(*c.reserved, routing.Outcome{})
	}
}

// call holds the state of one call of Run or Follow.
type call struct {
	relay    *Relay
	request  *Request
	answer   *answer
	sink     Sink
	result   Result
	log      *logrus.Entry
	started  time.Time
	progress time.Time
	// exclude lists the endpoints that the next attempt must not use.
	exclude []string
	// reserved is the choice already made for the next attempt, and kv the
	// name of the KV cache imported at its endpoint.
	reserved *routing.Choice
	kv       string
	// accepted is set once an engine has accepted an attempt. mayHaveRun is
	// set once an attempt has failed to start without a guarantee that it
	// took no effect.
	accepted, mayHaveRun bool
	// refused is set when the endpoint did not accept the last attempt.
	refused bool
}

// sinkError wraps an error of the sink, which stops the relay.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return fmt.Sprintf("sink: %v", e.err) }
func (e *sinkError) Unwrap() error { return e.err }

func (c *call) run(ctx context.Context) (Result, error) {
	if c.request.Attach != nil {
		done, err := c.adopt(ctx, *c.request.Attach)
		if done || c.mustStop(ctx, err) {
			return c.result, c.classify(ctx, err)
		}
	}
	backoff := initialBackoff
	for {
		done, err := c.attempt(ctx)
		if done {
			return c.result, nil
		}
		if c.mustStop(ctx, err) {
			return c.result, c.classify(ctx, err)
		}
		if c.isMove(err) {
			backoff = initialBackoff
			continue
		}
		if c.refused && !c.mayRetry() {
			return c.result, c.classify(ctx, err)
		}
		if !ctxtime.Sleep(ctx, backoff) {
			return c.result, c.classify(ctx, context.Cause(ctx))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// mustStop reports whether the call ends after err instead of starting another
// attempt. The deadline does not apply to a durable request, which is completed
// even if it is late.
func (c *call) mustStop(ctx context.Context, err error) bool {
	var sinkErr *sinkError
	if ctx.Err() != nil || errors.As(err, &sinkErr) {
		return true
	}
	if !c.request.Durable && c.notStarted() && verdict.Of(err) == verdict.NotRun && time.Since(c.started) >= c.request.Deadline {
		return true
	}
	return time.Since(c.progress) >= c.relay.options.ProgressTimeout
}

// notStarted reports whether no engine has accepted the request and no token of
// the answer exists.
func (c *call) notStarted() bool { return !c.accepted && c.answer.tokens == 0 }

// mayRetry reports whether another attempt may start. A request that no engine
// has accepted must withdraw from the retry budget; one that was accepted, or
// is durable, need not.
func (c *call) mayRetry() bool {
	c.refused = false
	budget := c.relay.options.Retries
	if budget == nil || c.request.Durable || !c.notStarted() {
		return true
	}
	return budget.Retry(c.request.Customer)
}

func (c *call) isMove(err error) bool {
	var m *Move
	return errors.As(err, &m)
}

// classify wraps the error that ends a request in its verdict: NotRun only if
// no engine can have accepted an attempt.
func (c *call) classify(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "relay: %w", context.Cause(ctx))
	}
	switch {
	case !c.notStarted():
		return verdict.Wrap(verdict.Ran, err)
	case c.mayHaveRun:
		return verdict.Wrap(verdict.MayHaveRun, err)
	default:
		return verdict.Wrap(verdict.NotRun, err)
	}
}

// choose returns the reserved choice, or else one made by the fleet.
func (c *call) choose() (routing.Choice, error) {
	if c.reserved != nil {
		choice := *c.reserved
		c.reserved = nil
		return choice, nil
	}
	left := c.request.Deadline - time.Since(c.started)
	choice, err := c.relay.options.Fleet.Choose(routing.Request{
		RequestID:    c.request.ID,
		Customer:     c.request.Customer,
		Model:        c.request.Model,
		Version:      c.request.Version,
		Hashes:       c.request.Hashes,
		PromptTokens: c.request.PromptTokens + c.answer.tokens,
		MaxTokens:    c.request.MaxTokens,
		Urgency:      c.request.Urgency,
		Deadline:     left,
		Exclude:      c.exclude,
		Resumed:      c.answer.tokens > 0,
	})
	if err != nil && len(c.exclude) > 0 {
		// An endpoint that failed once is better than none, so the next
		// attempt may use all endpoints again.
		c.exclude = nil
	}
	return choice, err
}
