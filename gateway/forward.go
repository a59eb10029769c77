package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// triesNotRun bounds the replicas that a request is offered to while it
	// has certainly not run.
	triesNotRun = 4
	// leastPatience is the time left below which a request isn't sent.
	leastPatience = 5 * time.Millisecond
	// retryFull is when a client may come back after all replicas were full.
	retryFull = 400 * time.Millisecond
	// retryNone is when a client may come back where there is no replica: a
	// new one takes seconds to start.
	retryNone = time.Second
)

// forward sends the request until it has an answer for the client.
func (x *exchange) forward() error {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.tried = make(map[string]bool)
	for offered := 1; ; offered++ {
		err := x.attempt(ctx, "")
		if err == nil {
			return nil
		}
		if x.answered || !x.again(ctx, err, offered) {
			return x.final(ctx, err)
		}
	}
}

// final gives a failure the verdict and code that the client gets.
func (x *exchange) final(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		v := verdict.MayHaveRun
		if !x.mayHaveRun {
			v = verdict.NotRun
		}
		err = verdict.New(v, verdict.CodeDeadline, "timeout: %w", err)
	}
	if verdict.Of(err) == verdict.NotRun && verdict.RetryAfterOf(err) == 0 {
		// No replica was reached; one that crashed is left out by then.
		return verdict.New(verdict.NotRun, verdict.CodeOf(err), "%w", err).WithRetryAfter(retryFull)
	}
	return err
}

// again decides whether a request that failed may be offered to another
// replica.
func (x *exchange) again(ctx context.Context, err error, offered int) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < leastPatience {
		return false
	}
	if errors.Is(err, balance.ErrNone) || verdict.CodeOf(err) == verdict.CodeOverloaded {
		return false
	}
	reason := "not run"
	if x.mayHaveRun {
		reason = "may run again"
		if !x.route.MayRepeat() || x.sends >= max(1, x.route.Attempts) {
			return false
		}
	}
	if offered >= triesNotRun {
		return false
	}
	// A request that never reached a replica is no second arrival anywhere.
	if x.sends > 0 && !x.h.Retries.TryWithdraw(x.service) {
		return false
	}
	x.h.Recorder.Retried(reason)
	return true
}

// attempt offers the request to one replica. lastEvent is set where a stream
// goes on.
func (x *exchange) attempt(ctx context.Context, lastEvent string) error {
	q := x.query()
	choice, err := x.h.Balancer.ChooseGlobal(ctx, q)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q: %w", x.service, err).WithRetryAfter(retryNone)
	}
	if err := x.hopeless(choice); err != nil && lastEvent == "" {
		return err
	}
	x.last, x.replica = choice, choice.Replica.ID
	ticket := x.h.Balancer.Begin(q, choice)
	outcome := balance.Neutral
	defer func() { ticket.End(outcome) }()
	answer, err := x.send(ctx, choice.Replica, lastEvent)
	if err != nil {
		outcome = failedOutcome(err)
		return err
	}
	defer answer.Close()
	outcome, err = x.take(ctx, ticket, answer, lastEvent)
	return err
}

// failedOutcome says what a request without an answer tells of its replica.
func failedOutcome(err error) balance.Outcome {
	switch verdict.CodeOf(err) {
	case verdict.CodeCancelled, verdict.CodeDeadline:
		return balance.Neutral
	default:
		return balance.Failed
	}
}

// hopeless refuses a request whose best replica is expected to be too late.
func (x *exchange) hopeless(c balance.Choice) error {
	left := time.Until(x.deadline)
	if c.FirstToken <= left {
		return nil
	}
	wait := min(c.FirstToken-left/2, left/2)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "first token expected after %v, %v left", c.FirstToken.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(wait)
}

func (x *exchange) query() balance.Query {
	q := balance.Query{Service: x.service, PromptTokens: x.req.PromptTokens, Exclude: x.tried}
	if s := x.cfg.Services[x.service]; s.Engine != nil {
		q.Slots, q.LatencyObjective = s.Engine.Slots, x.cfg.MinLatencyObjective(x.service)
	}
	if n := len(x.req.Parts); n > 1 {
		q.Parts = x.req.Parts[:n-1]
	}
	for _, p := range q.Parts {
		q.PromptTokens = max(q.PromptTokens, p.Tokens)
	}
	return q
}

// send sends the request to a replica and waits for the header of its answer.
func (x *exchange) send(ctx context.Context, r *replica.Replica, lastEvent string) (*upstream.Answer, error) {
	remaining := time.Until(x.deadline)
	if remaining < leastPatience {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "no time left to send")
	}
	f := Forwarding{
		Remaining: remaining, ReplicaID: r.ID, Keyed: x.cfg.RequiresKey(),
		Urgency: -1, LastEventID: lastEvent,
	}
	if lastEvent == "" {
		f.LastEventID = x.req.LastEventID
	}
	if x.owner != nil {
		f.Customer = x.owner.Name
	}
	if x.route.Kind == config.Stream {
		f.Urgency = x.urgency()
	}
	x.tried[r.ID] = true
	a, err := x.h.Pool.Send(ctx, &upstream.Request{
		Addr: r.Addr, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.h.Dialect.Forward(x.r, f), Body: x.body, Deadline: x.deadline.Add(writeSlack),
		Ours: func(status int, header http.Header) bool {
			reply := x.h.Dialect.Reply(status, header)
			return reply.RequestID == x.req.ID || reply.RequestID == "" && status >= http.StatusBadRequest
		},
	})
	if err == nil || verdict.Of(err) != verdict.NotRun {
		x.sends++
	}
	if err != nil && verdict.Of(err) != verdict.NotRun {
		x.mayHaveRun = true
	}
	return a, err
}

// urgency returns the rank of the request at an engine.
func (x *exchange) urgency() int {
	if x.owner != nil && x.owner.HasUrgency {
		return x.owner.Urgency
	}
	return x.route.Urgency
}

// choiceFields adds to a log line what the last choice was made from.
func (x *exchange) choiceFields(f logrus.Fields) {
	c := x.last
	f["candidates"], f["in_flight"] = c.Candidates, c.InFlight
	ageField(f, "registry_age_ms", x.h.RegistryAge)
	if c.FirstToken > 0 {
		f["predicted_ms"], f["cached"], f["prompt"], f["ahead"] = c.FirstToken.Milliseconds(), c.CachedTokens, x.req.PromptTokens, c.Ahead
	}
	if c.PlacedBy != "" {
		f["placed_by"] = c.PlacedBy
	}
	if c.RunnerUp != nil {
		f["runner_up"] = c.RunnerUp.ID
	}
}
