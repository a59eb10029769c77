package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// maxOffers is the maximum number of replicas that a request is offered to.
	// A request that may have run is also limited by the attempts of its route.
	maxOffers = 4
	// minTimeToSend is the minimum time until the deadline for a request to be
	// sent.
	minTimeToSend = 5 * time.Millisecond
	// retryAfterOverload is the Retry-After of a request that was refused by
	// every replica it was offered to, or that reached no replica.
	retryAfterOverload = 400 * time.Millisecond
	// retryAfterNoReplica is the least Retry-After of a request whose service
	// has no replica: a new one takes seconds to start.
	retryAfterNoReplica = time.Second
	// maxPermitCalls is the number of limited replicas for which a permit is
	// asked for before the request is refused.
	maxPermitCalls = 3
	// A request that no replica accepts is asked back after the first one is
	// expected to, plus minBlockedSpread and a random part of up to the wait
	// divided by blockedSpreadDivisor.
	minBlockedSpread     = 20 * time.Millisecond
	blockedSpreadDivisor = 4
)

// forward offers the request to replicas until one answers it, or until it may
// not be sent again.
func (x *exchange) forward() error {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.tried = make(map[string]bool)
	for offered := 1; ; offered++ {
		err := x.attempt(ctx, "")
		if err == nil {
			return nil
		}
		if x.headerSent || !x.shouldRetry(ctx, err, offered) {
			return x.finalError(ctx, err)
		}
	}
}

// finalError sets the verdict, code and Retry-After that the client gets for a
// failed request.
func (x *exchange) finalError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		v := verdict.MayHaveRun
		if !x.mayHaveRun {
			v = verdict.NotRun
		}
		err = verdict.New(v, verdict.CodeDeadline, "timeout: %w", err)
	}
	if verdict.Of(err) == verdict.NotRun && verdict.RetryAfterOf(err) == 0 {
		// No replica was reached. By the time of the client's retry, crashed
		// replicas are no longer chosen.
		return verdict.New(verdict.NotRun, verdict.CodeOf(err), "%w", err).WithRetryAfter(retryAfterOverload)
	}
	return err
}

// shouldRetry decides whether a failed request may be offered to another
// replica, and withdraws from the retry budget if so.
func (x *exchange) shouldRetry(ctx context.Context, err error, offered int) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < minTimeToSend {
		return false
	}
	var quarantined *quarantine.Refusal
	if errors.Is(err, balance.ErrNoReplica) || verdict.CodeOf(err) == verdict.CodeOverloaded || errors.As(err, &quarantined) || x.crashSuspect {
		return false
	}
	reason := "not run"
	if x.mayHaveRun {
		reason = "may run again"
		if !x.route.MayRepeat() || x.sends >= max(1, x.route.Attempts) {
			return false
		}
	}
	if offered >= maxOffers {
		return false
	}
	// A request that has not reached any replica adds no load, so sending it
	// elsewhere needs no withdrawal from the retry budget.
	if x.sends > 0 && !x.h.Retries.TryWithdraw(x.service) {
		return false
	}
	x.h.Recorder.Retried(reason)
	return true
}

// attempt offers the request to one replica and relays the answer. If a stream
// is resumed, lastEvent is the ID of the last event that was sent to the
// client; else it is empty.
func (x *exchange) attempt(ctx context.Context, lastEvent string) error {
	q := x.balanceQuery(lastEvent)
	choice, err := x.choose(ctx, q, lastEvent)
	if err != nil {
		return err
	}
	x.lastChoice, x.replica = choice, choice.Replica.ID
	x.brokenAtStart = false
	ticket := x.h.Balancer.Begin(q, choice)
	outcome := balance.Neutral
	defer func() { ticket.End(outcome) }()
	sent := time.Now()
	answer, err := x.send(ctx, choice.Replica, lastEvent)
	if err != nil {
		outcome = outcomeOfError(err)
		return err
	}
	defer answer.Close()
	x.observe(choice.Replica, answer, sent)
	outcome, err = x.relay(ctx, ticket, answer, lastEvent)
	if x.brokenAtStart && len(x.sharedParts()) > 0 && ctx.Err() == nil && x.replicaCrashed(ctx, choice.Replica) {
		outcome = balance.Crashed
		x.recordCrash(choice.Replica)
	}
	return err
}

// choose chooses a replica and acquires a permit if it has a limit.
func (x *exchange) choose(ctx context.Context, q balance.Query, lastEvent string) (balance.Choice, error) {
	for asked := 1; ; asked++ {
		choice, err := x.h.Balancer.ChooseGlobal(ctx, q)
		if err != nil {
			return choice, x.noReplica(q, choice, err)
		}
		if err := x.refuseIfTooLate(choice); err != nil && lastEvent == "" {
			return choice, err
		}
		// The prompt may have crashed replicas since the request was admitted.
		if err := x.checkQuarantine(); err != nil {
			return choice, err
		}
		x.permit = x.h.Throttle.Acquire(ctx, choice.Replica, x.permitRequest(q, choice))
		switch {
		case x.permit.OK && ctxtime.Sleep(ctx, x.permit.Delay):
			return choice, nil
		case ctx.Err() != nil:
			return choice, verdict.New(verdict.NotRun, verdict.CodeCancelled, "client left while its request waited for a permit")
		case asked == maxPermitCalls:
			block := x.h.Throttle.BlockOf(choice.Replica, q.Class)
			return choice, x.noReplica(q, choice, &balance.BlockedError{Expected: block.Expected, Limited: asked})
		}
	}
}

// permitRequest returns what decides on a permit for the request. It waits for one
// only if it has to, and then no longer than for its customer's limit.
func (x *exchange) permitRequest(q balance.Query, c balance.Choice) throttle.Request {
	r := throttle.Request{Class: q.Class, Customer: x.customerName(), Alternatives: c.Alternatives}
	if !c.Alternatives && q.Class != throttle.Repeat {
		r.Within = x.cfg.MinLatencyObjective(x.service) / limitDelayDivisor
	}
	return r
}

// noReplica returns the refusal of a request that no replica accepts.
func (x *exchange) noReplica(q balance.Query, c balance.Choice, err error) error {
	var blocked *balance.BlockedError
	if !errors.As(err, &blocked) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q: %w", x.service, err).WithRetryAfter(x.replicaExpectedIn(c.Candidates))
	}
	if x.sends == 0 {
		x.h.Balancer.RecordUnserved(q)
	}
	wait := max(0, time.Until(blocked.Expected))
	// Others wait for the same moment.
	wait += minBlockedSpread + time.Duration(rand.Float64()*float64(wait)/blockedSpreadDivisor)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "service %q: %w", x.service, err).WithRetryAfter(wait)
}

// replicaExpectedIn returns the time until a replica of the service is expected
// to accept requests, given how many do now. If all of them are leaving, that is
// when a replacement which was ordered as the first began to leave has started.
func (x *exchange) replicaExpectedIn(candidates int) time.Duration {
	since, scaling := x.h.Balancer.LeavingSince(x.service), x.cfg.Services[x.service].Scaling
	if candidates > 0 || since.IsZero() || scaling == nil {
		return retryAfterNoReplica
	}
	return max(retryAfterNoReplica, scaling.Boot-time.Since(since))
}

// observe records what the header of an answer states about its replica. An
// answer with StatusMisdirectedRequest comes from another replica, which has
// taken over the address.
func (x *exchange) observe(r *replica.Replica, a *upstream.Answer, sent time.Time) {
	x.stated = Reply{}
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	x.stated = x.h.Dialect.DecodeReply(a.Status, a.Header)
	invalid := len(x.stated.Invalid) > 0
	if invalid {
		x.h.Log.WithFields(logrus.Fields{"replica": r.ID, "statements": x.stated.Invalid}).Warn("gateway: statements of a replica are ignored.")
	}
	if x.stated.Leaving {
		x.knownLeaving = x.h.Balancer.IsLeaving(r)
		x.h.Recorder.Stated(r.ID, "leaving", x.knownLeaving)
		x.h.Balancer.MarkLeaving(r)
	}
	if x.stated.Limit > 0 || !invalid {
		known := x.h.Throttle.Observe(r, x.stated.Limit, sent)
		if x.stated.Limit > 0 {
			x.h.Recorder.Stated(r.ID, "limit", known)
		}
	}
	if x.stated.Pause > 0 {
		x.h.Recorder.Stated(r.ID, "pause", x.h.Throttle.Pause(r, x.stated.Pause))
	}
}

// replicaCrashed reports whether the replica that broke off an answer has
// crashed. A draining replica ends as planned.
func (x *exchange) replicaCrashed(ctx context.Context, r *replica.Replica) bool {
	return !x.h.Balancer.IsLeaving(r) && x.h.Pool.Refuses(ctx, r.Addr)
}

// recordCrash records that the replica crashed as it began to answer the
// request.
func (x *exchange) recordCrash(r *replica.Replica) {
	parts := x.sharedPartIDs()
	x.crashSuspect = x.h.Quarantine.Suspect(x.customerName(), parts)
	x.h.Quarantine.Crashed(r, x.customerName(), parts)
}

// checkQuarantine refuses the request if its prompt would crash a replica.
func (x *exchange) checkQuarantine() error {
	if x.onTrial {
		return nil
	}
	var err error
	x.onTrial, err = x.h.Quarantine.Check(x.customerName(), x.sharedPartIDs())
	var refusal *quarantine.Refusal
	if errors.As(err, &refusal) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "quarantine: %w", refusal).WithRetryAfter(refusal.RetryAfter())
	}
	return err
}

// customerName returns the name of the request's customer, or "" if it has none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// outcomeOfError returns the outcome that is recorded for the replica of a
// request without an answer.
func outcomeOfError(err error) balance.Outcome {
	code := verdict.CodeOf(err)
	switch {
	case code == verdict.CodeCancelled, code == verdict.CodeDeadline:
		return balance.Neutral
	case errors.Is(err, errReplicaLeft), errors.Is(err, errReplicaLimited), errors.Is(err, errReplicaPaused):
		return balance.Neutral
	default:
		return balance.Failed
	}
}

// refuseIfTooLate refuses a request whose first token is expected after the
// deadline even at the chosen replica.
func (x *exchange) refuseIfTooLate(c balance.Choice) error {
	remaining := time.Until(x.deadline)
	if c.FirstToken <= remaining {
		return nil
	}
	wait := min(c.FirstToken-remaining/2, remaining/2)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "first token expected after %v, %v left", c.FirstToken.Round(time.Millisecond), remaining.Round(time.Millisecond)).WithRetryAfter(wait)
}

// balanceQuery returns the properties of the request that the balancer chooses
// a replica by.
func (x *exchange) balanceQuery(lastEvent string) balance.Query {
	q := balance.Query{Service: x.service, PromptTokens: x.req.PromptTokens, Exclude: x.tried, Class: x.class(lastEvent)}
	if s := x.cfg.Services[x.service]; s.Engine != nil {
		q.Slots, q.LatencyObjective = s.Engine.Slots, x.cfg.MinLatencyObjective(x.service)
	}
	q.Parts = x.sharedParts()
	for _, p := range q.Parts {
		q.PromptTokens = max(q.PromptTokens, p.Tokens)
	}
	return q
}

// class returns the class of the request for the limits of replicas. A stream
// that is resumed is as urgent as it was at first, because its client has seen a
// part of the answer.
func (x *exchange) class(lastEvent string) throttle.Class {
	switch {
	case x.sends > 0 && lastEvent == "":
		return throttle.Repeat
	case x.urgency() <= x.cfg.HighestUrgency(x.service):
		return throttle.Urgent
	default:
		return throttle.Normal
	}
}

// sharedParts returns the prompt parts that other requests may have as well.
func (x *exchange) sharedParts() []balance.Part {
	return x.req.Parts[:max(0, len(x.req.Parts)-1)]
}

func (x *exchange) sharedPartIDs() []uint64 {
	parts := x.sharedParts()
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.ID)
	}
	return out
}

// send sends the request to a replica and waits for the header of its answer.
func (x *exchange) send(ctx context.Context, r *replica.Replica, lastEvent string) (*upstream.Answer, error) {
	remaining := time.Until(x.deadline)
	if remaining < minTimeToSend {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "no time left to send")
	}
	f := Forwarding{
		Remaining: remaining, ReplicaID: r.ID, Keyed: x.cfg.RequiresKey(),
		Urgency: -1, LastEventID: lastEvent,
	}
	if lastEvent == "" {
		f.LastEventID = x.req.LastEventID
	}
	f.Customer = x.customerName()
	if x.route.Kind == config.Stream {
		f.Urgency = x.urgency()
	}
	x.tried[r.ID] = true
	a, err := x.h.Pool.Send(ctx, &upstream.Request{
		Addr: r.Addr, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.h.Dialect.ReplicaHeader(x.r, f), Body: x.body, Deadline: x.deadline.Add(writeSlack),
		Matches: func(status int, header http.Header, first bool) bool {
			reply := x.h.Dialect.DecodeReply(status, header)
			return reply.RequestID == x.req.ID || first && reply.RequestID == "" && status >= http.StatusBadRequest
		},
		Check: func() error { return x.checkReplica(r) },
	})
	if err == nil || verdict.Of(err) != verdict.NotRun {
		x.sends++
	}
	if errors.Is(err, errReplicaLimited) {
		delete(x.tried, r.ID) // it may still accept the request with a permit
	}
	if err != nil && verdict.Of(err) != verdict.NotRun {
		x.mayHaveRun = true
	}
	return a, err
}

// Errors of a request whose replica stopped accepting it after it was chosen.
var (
	errReplicaLeft    = errors.New("replica is leaving")
	errReplicaLimited = errors.New("replica has a limit")
	errReplicaPaused  = errors.New("replica pauses")
)

// checkReplica reports whether the chosen replica still accepts the request,
// because opening a connection to it may have taken some time.
func (x *exchange) checkReplica(r *replica.Replica) error {
	var err error
	switch {
	case x.h.Balancer.IsLeaving(r):
		err = errReplicaLeft
	case x.permit.Limit == 0 && x.h.Throttle.Limited(r):
		err = errReplicaLimited
	case x.h.Throttle.Paused(r):
		err = errReplicaPaused
	default:
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "replica %s: %w", r.ID, err)
}

// urgency returns the priority of the request at an engine. The urgency of the
// customer, if it has one, overrides that of the route.
func (x *exchange) urgency() int {
	if x.customer != nil && x.customer.HasUrgency {
		return x.customer.Urgency
	}
	return x.route.Urgency
}

// addChoiceFields adds the inputs of the last choice of a replica to the fields
// of a log line.
func (x *exchange) addChoiceFields(f logrus.Fields) {
	c := x.lastChoice
	f["candidates"], f["in_flight"] = c.Candidates, c.InFlight
	addAgeField(f, "registry_age_ms", x.h.RegistryAge)
	if c.FirstToken > 0 {
		f["predicted_ms"], f["cached"], f["prompt"], f["ahead"] = c.FirstToken.Milliseconds(), c.CachedTokens, x.req.PromptTokens, c.QueuedTokens
	}
	if c.PlacedBy != "" {
		f["placed_by"] = c.PlacedBy
	}
	if c.RunnerUp != nil {
		f["runner_up"] = c.RunnerUp.ID
	}
}
