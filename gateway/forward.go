package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
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
)

// forward offers the request to replicas until one answers it, or until it may
// not be sent again.
func (x *exchange) forward() error {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.tried = make(map[string]bool)
	x.h.Rollouts.Enter(x.service)
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
	if errors.Is(err, errDrainEnds) || errors.Is(err, balance.ErrNoReplica) || verdict.CodeOf(err) == verdict.CodeOverloaded || errors.As(err, &quarantined) || x.crashSuspect {
		return false
	}
	if x.fullElsewhere() {
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
	q, choice, err := x.chooseVersion(ctx, lastEvent)
	if err != nil {
		return err
	}
	x.lastChoice, x.replica, x.version = choice, choice.Replica.ID, choice.Replica.Version
	x.triedNew = x.triedNew || x.pass.OnTrial()
	ticket := x.h.Balancer.Begin(q, choice)
	outcome := balance.Neutral
	defer func() { ticket.End(outcome) }()
	defer x.recordVersion(ctx, ticket, choice)(&outcome, &err)
	outcome, err = x.exchangeWith(ctx, ticket, choice.Replica, lastEvent)
	if x.brokenByCrash(ctx) {
		outcome = balance.Crashed
	}
	return err
}

// brokenByCrash reports whether the last answer broke off, not yet settled, because its
// replica crashed. It reports that once for each answer.
func (x *exchange) brokenByCrash(ctx context.Context) bool {
	progress := x.broken
	x.broken = quarantine.Settled
	return progress != quarantine.Settled && len(x.sharedParts()) > 0 && ctx.Err() == nil && x.replicaCrashed(ctx, x.lastChoice.Replica, progress)
}

// exchangeWith sends the request to a replica and relays its answer. It returns the
// outcome to record for the replica.
func (x *exchange) exchangeWith(ctx context.Context, t *balance.Ticket, r *replica.Replica, lastEvent string) (balance.Outcome, error) {
	sent := time.Now()
	answer, err := x.send(ctx, r, lastEvent)
	if err != nil {
		x.broken = progressOfError(err)
		return outcomeOfError(err), err
	}
	defer answer.Close()
	x.observe(r, answer, sent)
	return x.relay(ctx, t, answer, lastEvent)
}

// progressOfError returns how far the answer had come to a request that failed
// before the header of its answer was complete.
func progressOfError(err error) quarantine.Progress {
	switch {
	case errors.Is(err, upstream.ErrAnswerBegun):
		return quarantine.Beginning
	case errors.Is(err, upstream.ErrNoAnswer) && verdict.Of(err) != verdict.NotRun && verdict.CodeOf(err) == verdict.CodeUnavailable:
		return quarantine.Waiting
	default:
		return quarantine.Settled
	}
}

// replicaCrashed reports whether the replica that broke off the answer is known to
// have crashed. The crash is recorded also if it becomes known later.
func (x *exchange) replicaCrashed(ctx context.Context, r *replica.Replica, progress quarantine.Progress) bool {
	customer, parts := x.customerName(), x.sharedPartIDs()
	x.h.Log.WithFields(logrus.Fields{
		"request": x.req.ID, "replica": r.ID, "born": r.Incarnation, "customer": customer, "progress": progress.String(),
		"parts": quarantine.PartNames(parts), "leaving": x.h.Balancer.IsLeaving(r),
	}).Warn("gateway: answer broke off.")
	suspect, brokenAt := x.h.Quarantine.Suspect(customer, parts, progress), time.Now()
	answering := progress != quarantine.Waiting
	onCrash := func() { x.h.Quarantine.Crashed(r, customer, parts, progress, brokenAt) }
	if progress != quarantine.Beginning && !suspect {
		// Most connections that break off so are no crash.
		x.h.Liveness.Watch(r, answering, onCrash)
		return false
	}
	if !x.h.Liveness.Crashed(ctx, r, answering, onCrash) {
		return false
	}
	x.crashSuspect = suspect
	return true
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
	var quarantined *quarantine.Refusal
	switch {
	case errors.As(err, &quarantined):
		return balance.Neutral
	case code == verdict.CodeCancelled, code == verdict.CodeDeadline:
		return balance.Neutral
	case errors.Is(err, errDrainEnds), errors.Is(err, errReplicaLeft), errors.Is(err, errReplicaLimited), errors.Is(err, errReplicaPaused), errors.Is(err, rollout.ErrClosed):
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
	remaining := x.h.untilLast(time.Until(x.deadline))
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
		Addr: r.Addr, ID: x.req.ID, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.h.Dialect.ReplicaHeader(x.r, f), Body: x.body, Deadline: x.deadline.Add(writeSlack),
		Matches: func(status int, header http.Header) bool {
			return x.h.Dialect.DecodeReply(status, header).RequestID == x.req.ID
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
	if x.h.Rollouts != nil {
		f["version"] = x.version
		if x.triedNew {
			f["version_on_trial"] = true
		}
	}
	if c.ViewAge > 0 {
		f["load_age_ms"] = c.ViewAge.Milliseconds()
	}
	addAgeField(f, "registry_age_ms", x.h.RegistryAge)
	if c.FirstToken > 0 {
		f["predicted_ms"], f["cached"], f["prompt"], f["ahead"] = c.FirstToken.Milliseconds(), c.CachedTokens, x.req.PromptTokens, c.QueuedTokens
	}
	if c.Speed > 0 {
		f["speed"] = math.Round(100*c.Speed) / 100
	}
	if c.PlacedBy != "" {
		f["placed_by"] = c.PlacedBy
		if c.Group != "" {
			f["group"], f["group_wait_ms"] = c.Group, c.GroupWait.Milliseconds()
		}
	}
	if c.RunnerUp != nil {
		f["runner_up"] = c.RunnerUp.ID
	}
}
