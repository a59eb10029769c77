// Package experiment runs a workload under a policy and a fault schedule, and
// reports the cost, the latencies and every violated guarantee. It runs the
// real code of the entries against the stand-ins in one process, in real time.
// The commands bench and demo use it.
package experiment

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
)

// Policy names how the entries route requests and which hosts a run uses.
type Policy string

// Policies. All but PolicyDefault are baselines to compare it with.
const (
	PolicyDefault          Policy = "coltsfootcleat"
	PolicyRoundRobin       Policy = "round-robin"
	PolicyLeastInFlight    Policy = "least-in-flight"
	PolicyAffinityOnly     Policy = "affinity-only"
	PolicyRestartOnReclaim Policy = "restart-on-reclaim"
	PolicyOnDemandOnly     Policy = "on-demand-only"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{
		PolicyDefault, PolicyRoundRobin, PolicyLeastInFlight,
		PolicyAffinityOnly, PolicyRestartOnReclaim, PolicyOnDemandOnly,
	}
}

// experiment returns the settings of the entries under a policy.
func (p Policy) experiment() app.Experiment {
	switch p {
	case PolicyRoundRobin, PolicyLeastInFlight, PolicyAffinityOnly:
		return app.Experiment{Policy: routing.Policy(p)}
	case PolicyRestartOnReclaim:
		return app.Experiment{RestartOnReclaim: true}
	default:
		return app.Experiment{}
	}
}

// Config describes one run.
type Config struct {
	Deployment string
	Policy     Policy
	Schedule   Schedule
	Seed       uint64
	// Duration is the period in which requests arrive.
	Duration time.Duration
	// Load scales the arrival rates; 1 is the current size of the
	// deployment.
	Load float64
	// Network is the second number of the loopback network 127.N.
	Network int
	// Log receives the log lines of the entries. If nil, they are
	// discarded.
	Log io.Writer
	// Progress is called before each request with the elapsed fraction of
	// Duration. It may be nil.
	Progress func(done float64)
}

func (c Config) validate() error {
	if !slices.Contains(Policies(), c.Policy) {
		return fmt.Errorf("unknown policy %q", c.Policy)
	}
	if !slices.Contains(Schedules(), c.Schedule) {
		return fmt.Errorf("unknown schedule %q", c.Schedule)
	}
	if c.Duration <= 0 || c.Load <= 0 {
		return fmt.Errorf("duration %s and load %g must be above 0", c.Duration, c.Load)
	}
	return nil
}
