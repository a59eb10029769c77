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

// Defaults of Options.
const (
	defaultStall     = 5 * time.Second
	defaultGiveUp    = 10 * time.Minute
	defaultOrder     = 2 * time.Second
	firstPause       = 20 * time.Millisecond
	longestPause     = time.Second
	rereadsPerStream = 3
)

// Options configure a Relay. The zero value of a duration takes the default.
type Options struct {
	Fleet   Fleet
	Client  endpoint.Client
	Retries Retries
	Log     *logrus.Entry
	// Stall is how long a stream may be silent before it counts as broken.
	Stall time.Duration
	// GiveUp bounds the time without any progress of an accepted answer.
	GiveUp time.Duration
	// OrderTimeout bounds cancel, export and import calls.
	OrderTimeout time.Duration
	// Restart starts an answer again from its beginning instead of resuming
	// it, as a baseline for experiments. What the caller has is not sent
	// twice.
	Restart bool
	// OnResume is told how an answer goes on elsewhere, "kv" or "text"; nil for
	// none.
	OnResume func(how string)
	// NewID returns a unique attempt ID.
	NewID func() string
}

// Relay carries answers. It is safe for concurrent use.
type Relay struct {
	options Options
	streams *streams
	counts  counters
}

// New returns a Relay.
func New(o Options) *Relay {
	if o.Stall == 0 {
		o.Stall = defaultStall
	}
	if o.GiveUp == 0 {
		o.GiveUp = defaultGiveUp
	}
	if o.OrderTimeout == 0 {
		o.OrderTimeout = defaultOrder
	}
	if o.OnResume == nil {
		o.OnResume = func(string) {}
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	return &Relay{options: o, streams: newStreams()}
}

// Counts returns what happened since the start.
func (r *Relay) Counts() Counts { return r.counts.snapshot() }

// Streams lists the running streams on a host.
func (r *Relay) Streams(hostID string) []Stream {
	list := r.streams.on(hostID)
	out := make([]Stream, 0, len(list))
	for _, s := range list {
		out = append(out, s.describe())
	}
	return out
}

// Move tells the stream of a request on a host to leave it. It returns false
// when there is none.
func (r *Relay) Move(hostID, requestID string, m Move) bool {
	for _, s := range r.streams.on(hostID) {
		if s.answer.request.ID == requestID {
			s.cancel(&m)
			return true
		}
	}
	return false
}

// Run carries one answer into sink and returns once it is whole. An error
// before anything was generated is verdict.NotRun.
func (r *Relay) Run(ctx context.Context, q *Request, sink Sink) (Result, error) {
	c := &carrier{
		relay:    r,
		request:  q,
		answer:   newAnswer(q),
		sink:     sink,
		started:  time.Now(),
		progress: time.Now(),
		log:      r.options.Log.WithField("request", q.ID),
	}
	defer c.release()
	return c.run(ctx)
}

// release gives back a choice that no attempt used.
func (c *carrier) release() {
	if c.reserved != nil {
		c.relay.options.Fleet.Done(*c.reserved, routing.Outcome{})
	}
}

// carrier is the work of one Run.
type carrier struct {
	relay    *Relay
	request  *Request
	answer   *answer
	sink     Sink
	result   Result
	log      *logrus.Entry
	started  time.Time
	progress time.Time
	exclude  []string
	// reserved is the choice already made for the next attempt, and kv the
	// name of the KV cache imported there.
	reserved *routing.Choice
	kv       string
	// accepted is set once an engine has taken an attempt; mayHaveRun once
	// the start of one has failed without it being known.
	accepted, mayHaveRun bool
	// refused is set when an endpoint did not take the last attempt.
	refused bool
}

// errSink wraps an error of the sink: the relay must stop.
type errSink struct{ err error }

func (e *errSink) Error() string { return fmt.Sprintf("sink: %v", e.err) }
func (e *errSink) Unwrap() error { return e.err }

func (c *carrier) run(ctx context.Context) (Result, error) {
	if c.request.Attach != nil {
		done, err := c.adopt(ctx, *c.request.Attach)
		if done || c.final(ctx, err) {
			return c.result, c.classify(ctx, err)
		}
	}
	pause := firstPause
	for {
		done, err := c.attempt(ctx)
		if done {
			return c.result, nil
		}
		if c.final(ctx, err) {
			return c.result, c.classify(ctx, err)
		}
		if c.moved(err) {
			pause = firstPause
			continue
		}
		if c.refused && !c.mayRetry() {
			return c.result, c.classify(ctx, err)
		}
		if !ctxtime.Sleep(ctx, pause) {
			return c.result, c.classify(ctx, context.Cause(ctx))
		}
		pause = min(2*pause, longestPause)
	}
}

// final says whether the carrier must stop after err. A durable request was
// accepted for good: no deadline ends it.
func (c *carrier) final(ctx context.Context, err error) bool {
	var broken *errSink
	if ctx.Err() != nil || errors.As(err, &broken) {
		return true
	}
	if !c.request.Durable && c.untouched() && verdict.Of(err) == verdict.NotRun && time.Since(c.started) >= c.request.Deadline {
		return true
	}
	return time.Since(c.progress) >= c.relay.options.GiveUp
}

// untouched says that nothing of the answer exists yet.
func (c *carrier) untouched() bool { return !c.accepted && c.answer.tokens == 0 }

// mayRetry asks the retry budget for one more attempt of a request that no
// engine has taken. What was accepted goes on without asking.
func (c *carrier) mayRetry() bool {
	c.refused = false
	budget := c.relay.options.Retries
	if budget == nil || c.request.Durable || !c.untouched() {
		return true
	}
	return budget.Retry(c.request.Customer)
}

func (c *carrier) moved(err error) bool {
	var m *Move
	return errors.As(err, &m)
}

// classify gives the error that ends a request its verdict: NotRun only while
// no engine can have taken an attempt.
func (c *carrier) classify(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "relay: %w", context.Cause(ctx))
	}
	switch {
	case !c.untouched():
		return verdict.Wrap(verdict.Ran, err)
	case c.mayHaveRun:
		return verdict.Wrap(verdict.MayHaveRun, err)
	default:
		return verdict.Wrap(verdict.NotRun, err)
	}
}

// choose asks the fleet for an endpoint, unless one is reserved.
func (c *carrier) choose() (routing.Choice, error) {
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
		// Endpoints that failed once are better than none.
		c.exclude = nil
	}
	return choice, err
}
