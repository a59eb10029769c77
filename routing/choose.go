package routing

import (
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// unavailableRetry is how long a caller waits when no endpoint can serve.
const unavailableRetry = time.Second

// Choose picks an endpoint for a request and counts the request in flight
// there. Its error is verdict.NotRun with a RetryAfter.
func (f *Fleet) Choose(req Request) (Choice, error) {
	// The sequence is read before the view: a host marked before this line
	// is missing from the view.
	began := f.leaveSeq.Load()
	for {
		g := f.view.Load().engines[modelKey{req.Model, req.Version}]
		best := f.fastest(g, &req)
		if best.replica == nil {
			return Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
				"no endpoint serves model %q version %q", req.Model, req.Version).WithRetryAfter(unavailableRetry)
		}
		held, ok := best.replica.reserve(req.PromptTokens, f.now())
		if !ok {
			continue
		}
		best.reservation = held
		f.checkStays(best, began)
		return best, nil
	}
}

// checkStays asserts that the host was not leaving when the choice began.
func (f *Fleet) checkStays(c Choice, began uint64) {
	seq := c.replica.host.leavingSeq.Load()
	invariant.Check(seq == 0 || seq > began, invariant.NoWorkAfterDrain,
		"endpoint %s chosen on leaving host %s", c.Endpoint.ID, c.HostID)
}

func (f *Fleet) fastest(g *group, req *Request) Choice {
	var best Choice
	if g == nil {
		return best
	}
	for _, r := range g.replicas {
		if r.host.leaving() || slices.Contains(req.Exclude, r.endpoint.ID) {
			continue
		}
		r.mu.Lock()
		e := r.predict(req.PromptTokens)
		r.mu.Unlock()
		if best.replica != nil && e.ttft >= best.PredictedTTFT {
			continue
		}
		runnerUp := best.Endpoint.ID
		best = r.choice("fastest")
		best.PredictedTTFT = e.ttft
		best.RunnerUp = runnerUp
	}
	return best
}

func (r *replica) choice(reason string) Choice {
	return Choice{
		Endpoint:      r.endpoint,
		HostID:        r.host.ID,
		Incarnation:   r.host.Incarnation,
		FailureDomain: r.host.FailureDomain,
		Reason:        reason,
		replica:       r,
	}
}

// ChooseService picks an endpoint of a plain service. Its error is
// verdict.NotRun with a RetryAfter.
func (f *Fleet) ChooseService(name string, exclude []string) (Choice, error) {
	began := f.leaveSeq.Load()
	for {
		g := f.view.Load().services[name]
		best := f.fastest(g, &Request{Exclude: exclude})
		if best.replica == nil {
			return Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
				"no endpoint serves %q", name).WithRetryAfter(unavailableRetry)
		}
		held, ok := best.replica.reserve(0, f.now())
		if !ok {
			continue
		}
		best.reservation = held
		f.checkStays(best, began)
		return best, nil
	}
}
