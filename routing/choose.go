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
	// unavailableRetryAfter is the RetryAfter of the error when no endpoint
	// serves the model. fullRetryAfter is that of the error when all endpoints
	// are full.
	unavailableRetryAfter = time.Second
	fullRetryAfter        = 250 * time.Millisecond
)

// Values of Choice.Reason.
const (
	reasonCheapest    = "cheapest within deadline"
	reasonCached      = "cheapest within deadline, prefix cached"
	reasonAffinity    = "cheapest within deadline, rendezvous hash"
	reasonFastest     = "fastest, none within deadline"
	reasonLeastLoaded = "least loaded"
	reasonRoundRobin  = "round robin"
)

// Choose chooses an endpoint for a request and counts the request as in flight
// there. An error has the verdict verdict.NotRun and a RetryAfter.
func (f *Fleet) Choose(req Request) (Choice, error) {
	f.requests.Add(1)
	return f.reserve(engineKey(req.Model, req.Version), &req)
}

// ChooseService chooses an endpoint of a plain service. An error has the
// verdict verdict.NotRun and a RetryAfter.
func (f *Fleet) ChooseService(name string, exclude []string) (Choice, error) {
	return f.reserve(serviceKey(name), &Request{Exclude: exclude})
}

// pick is the result of a policy: a candidate, the runner-up and the reason.
// Its replica is nil when no endpoint can accept the request.
type pick struct {
	candidate
	runnerUp *replica
	reason   string
	// full is set if an eligible endpoint was skipped because its batch is
	// full.
	full bool
}

// reserve applies the policy until a reservation succeeds. It retries because a
// host may be marked as draining between the pick and the reservation.
func (f *Fleet) reserve(key groupKey, req *Request) (Choice, error) {
	// The sequence number is read before the view. A host whose leavingSeq is
	// not above it was marked before this choice began and must not be chosen.
	startSeq := f.leaveSeq.Load()
	now := f.now()
	for {
		v := f.view.Load()
		g := v.groups[key]
		if g == nil {
			return Choice{}, unavailableError(key)
		}
		p := f.pick(v, g, req, now)
		if p.replica == nil {
			return Choice{}, refusalError(key, p.full)
		}
		cached := min(int(p.cachedTokens()), req.PromptTokens)
		res, ok := p.replica.reserve(req, req.PromptTokens-cached, now)
		if !ok {
			continue
		}
		c := p.choice(res, cached)
		if seq := p.replica.host.leavingSeq.Load(); seq != 0 && seq <= startSeq {
			reportWorkAfterDrain(c.Endpoint.ID, c.HostID)
		}
		f.logChoice(req, &c)
		return c, nil
	}
}

// reportWorkAfterDrain reports a violation of invariant.NoWorkAfterDrain. It is
// a separate function so that its arguments are allocated only on a violation.
func reportWorkAfterDrain(endpointID, hostID string) {
	invariant.Check(false, invariant.NoWorkAfterDrain,
		"endpoint %s chosen on draining host %s", endpointID, hostID)
}

func refusalError(key groupKey, full bool) error {
	if full {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"all endpoints of %q are full", key.name).WithRetryAfter(fullRetryAfter)
	}
	return unavailableError(key)
}

func unavailableError(key groupKey) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"no endpoint serves %q version %q", key.name, key.version).WithRetryAfter(unavailableRetryAfter)
}

func (p *pick) choice(res reservation, cached int) Choice {
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
		reservation:   res,
	}
	if p.runnerUp != nil {
		c.RunnerUp = p.runnerUp.endpoint.ID
	}
	return c
}

// logChoice logs a choice. The fields are built only if the level is enabled.
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
