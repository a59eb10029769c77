package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// maxPermitCalls is the number of limited replicas for which a permit is
	// asked for before the request is refused.
	maxPermitCalls = 3
	// A request that no replica accepts is asked back after the first one is
	// expected to, plus minBlockedSpread and a random part of up to the wait
	// divided by blockedSpreadDivisor.
	minBlockedSpread     = 20 * time.Millisecond
	blockedSpreadDivisor = 4
)

// choose chooses a replica and acquires a permit if it has a limit.
func (x *exchange) choose(ctx context.Context, q balance.Query, lastEvent string) (balance.Choice, error) {
	for asked := 1; ; asked++ {
		choice, err := x.h.Balancer.ChooseGlobal(ctx, q)
		if err != nil {
			return choice, x.noReplica(q, choice, err)
		}
		if err := x.refuseIfTooLate(choice); err != nil && lastEvent == "" {
			choice.Release()
			return choice, err
		}
		// The prompt may have crashed replicas since the request was admitted.
		if err := x.checkQuarantine(); err != nil {
			choice.Release()
			return choice, err
		}
		x.permit = x.h.Throttle.Acquire(ctx, choice.Replica, x.permitRequest(q, choice))
		if x.permit.OK && ctxtime.Sleep(ctx, x.permit.Delay) {
			return choice, nil
		}
		choice.Release()
		switch {
		case ctx.Err() != nil:
			return choice, verdict.New(verdict.NotRun, verdict.CodeCancelled, "request ended while it waited for a permit")
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
	x.h.Quarantine.Alive(r, a.Opened, sent)
	x.h.Liveness.Answered()
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

// Errors of a request whose replica stopped accepting it after it was chosen.
var (
	errReplicaLeft    = errors.New("replica is leaving")
	errReplicaLimited = errors.New("replica has a limit")
	errReplicaPaused  = errors.New("replica pauses")
)

// checkReplica reports whether the chosen replica still accepts the request, and
// this entry still sends it: it may have waited, opening a connection takes some
// time, and meanwhile its prompt may have crashed replicas.
func (x *exchange) checkReplica(r *replica.Replica) error {
	if since, _ := x.h.drainingFor(); since > drainSendPeriod && !x.mayHaveRun {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "request is late: %w", errDrainEnds).WithRetryAfter(retryAfterDrain)
	}
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	err := x.pass.Check(time.Now(), r)
	switch {
	case err != nil:
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
