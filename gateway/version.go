package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// chooseVersion chooses a replica among those whose version may be used. A request
// with a permit for a version on trial uses the others if that has no replica for it.
func (x *exchange) chooseVersion(ctx context.Context, lastEvent string) (balance.Query, balance.Choice, error) {
	q := x.balanceQuery(lastEvent)
	a := rollout.Attempt{
		Service: x.service, Route: x.route.Name, Again: x.sends > 0 || lastEvent != "" || len(x.tried) > 0,
		Once: x.route.Kind == config.Once,
	}
	x.pass = x.h.Rollouts.Pass(time.Now(), a)
	q.Filter, q.Local, q.Trial = x.pass.Filter(), x.pass.OnTrial(), x.pass.OnTrial()
	choice, err := x.choose(ctx, q, lastEvent)
	if err == nil || !x.pass.OnTrial() {
		return q, choice, err
	}
	x.pass.Return()
	a.Again = true
	x.pass = x.h.Rollouts.Pass(time.Now(), a)
	q.Filter, q.Local, q.Trial = x.pass.Filter(), false, false
	choice, err = x.choose(ctx, q, lastEvent)
	return q, choice, err
}

// recordVersion counts an attempt as in progress at its version. The returned function
// records how it ended, given its outcome and error.
func (x *exchange) recordVersion(ctx context.Context, t *balance.Ticket, c balance.Choice) func(*balance.Outcome, *error) {
	pass, events, sends := x.pass, x.events, x.sends
	pass.Begin(c.Replica)
	began := time.Now()
	return func(o *balance.Outcome, err *error) {
		if errors.Is(*err, rollout.ErrClosed) && pass.OnTrial() {
			pass.Return()
		}
		result := resultOf(*o, *err)
		if *o == balance.Neutral && x.sends > sends && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			result = rollout.Failed // it took all of the request's time
		}
		a := rollout.Answer{Result: result}
		if result == rollout.Answered {
			a.First, a.Pace = timesOf(t, c, x.events-events, time.Since(began))
		}
		pass.End(time.Now(), c.Replica, a)
	}
}

// resultOf returns what the end of an attempt says about the version of its replica. A
// replica that fails answers so; an answer that is missing or incomplete may be due to
// a crash, which breaks off other answers too.
func resultOf(o balance.Outcome, err error) rollout.Result {
	switch {
	case o == balance.Answered:
		return rollout.Answered
	case o == balance.Failed && (err == nil || verdict.Of(err) == verdict.Ran):
		return rollout.Failed
	case o == balance.Failed, o == balance.Crashed:
		return rollout.Broken
	default:
		return rollout.Ignored
	}
}

// timesOf returns the times of an answer as evidence on the version of its replica.
func timesOf(t *balance.Ticket, c balance.Choice, events int, took time.Duration) (first, pace float64) {
	after, started := t.FirstToken()
	if !started {
		return 0, 0
	}
	first = after.Seconds()
	if c.Unscaled > 0 {
		first /= c.Unscaled.Seconds()
	}
	if events > 1 {
		pace = (took - after).Seconds() / float64(events-1)
	}
	return first, pace
}
