package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	blockTokens = prefix.BlockTokens
	// unavailableRetry is how long a caller waits when no endpoint serves the
	// model, fullRetry when all are full.
	unavailableRetry = time.Second
	fullRetry        = 250 * time.Millisecond
)

// Reasons of choices.
const (
	reasonCheapest    = "cheapest within deadline"
	reasonCached      = "cheapest within deadline, prefix cached"
	reasonAffinity    = "cheapest within deadline, rendezvous hash"
	reasonFastest     = "fastest, none within deadline"
	reasonLeastLoaded = "least loaded"
	reasonRoundRobin  = "round robin"
)

// Choose picks an endpoint for a request and counts the request in flight
// there. Its error is verdict.NotRun with a RetryAfter.
func (f *Fleet) Choose(req Request) (Choice, error) {
	f.requests.Add(1)
	return f.reserve(engineKey(req.Model, req.Version), &req)
}

// ChooseService picks an endpoint of a plain service. Its error is
// verdict.NotRun with a RetryAfter.
func (f *Fleet) ChooseService(name string, exclude []string) (Choice, error) {
	return f.reserve(serviceKey(name), &Request{Exclude: exclude})
}

// pick is an endpoint with what led to it.
type pick struct {
	candidate
	runnerUp *replica
	reason   string
	// full is set when endpoints serve the model but none has room.
	full bool
}

// reserve picks until a reservation holds: a host may be marked as leaving in
// between.
func (f *Fleet) reserve(key groupKey, req *Request) (Choice, error) {
	// The sequence is read before the view: a host marked before this line
	// is missing from the view.
	began := f.leaveSeq.Load()
	now := f.now()
	for {
		v := f.view.Load()
		g := v.groups[key]
		if g == nil {
			return Choice{}, unavailable(key)
		}
		p := f.pick(v, g, req, now)
		if p.replica == nil {
			return Choice{}, refusal(key, p.full)
		}
		cached := min(int(p.cached()), req.PromptTokens)
		held, ok := p.replica.reserve(req, req.PromptTokens-cached, now)
		if !ok {
			continue
		}
		c := p.choice(held, cached)
		if seq := p.replica.host.leavingSeq.Load(); seq != 0 && seq <= began {
			reportBroken(c.Endpoint.ID, c.HostID)
		}
		f.logChoice(req, &c)
		return c, nil
	}
}

// reportBroken is apart so that its arguments cost nothing while all is well.
func reportBroken(endpointID, hostID string) {
	invariant.Check(false, invariant.NoWorkAfterDrain,
		"endpoint %s chosen on leaving host %s", endpointID, hostID)
}

func refusal(key groupKey, full bool) error {
	if full {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"all endpoints of %q are full", key.name).WithRetryAfter(fullRetry)
	}
	return unavailable(key)
}

func unavailable(key groupKey) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"no endpoint serves %q version %q", key.name, key.version).WithRetryAfter(unavailableRetry)
}

func (p *pick) choice(held reservation, cached int) Choice {
	r := p.replica
	c := Choice{
		Endpoint:      r.endpoint,
		HostID:        r.host.ID,
		Incarnation:   r.host.Incarnation,
		FailureDomain: r.host.FailureDomain,
		PredictedTTFT: p.est.ttft,
		CachedTokens:  cached,
		Reason:        p.reason,
		replica:       r,
		reservation:   held,
	}
	if p.runnerUp != nil {
		c.RunnerUp = p.runnerUp.endpoint.ID
	}
	return c
}

// logChoice writes the decision's line. Fields are built only if it is seen.
func (f *Fleet) logChoice(req *Request, c *Choice) {
	if !f.log.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	f.log.WithFields(logrus.Fields{
		"request":        req.RequestID,
		"customer":       req.Customer,
		"endpoint":       c.Endpoint.ID,
		"host":           c.HostID,
		"reason":         c.Reason,
		"runner_up":      c.RunnerUp,
		"ttft_ms":        c.PredictedTTFT.Milliseconds(),
		"cached":         c.CachedTokens,
		"prompt":         req.PromptTokens,
		"resumed":        req.Resumed,
		"failure_domain": c.FailureDomain,
	}).Info("routing: endpoint chosen.")
}
