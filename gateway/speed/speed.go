package speed

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Estimate holds the speeds of a replica relative to the mean of its service. 2
// is twice as fast. Unknown is 1.
type Estimate struct{ Prefill, Decode, Work float64 }

// Kind is a kind of measured step.
type Kind int

// Kinds of measured steps.
const (
	// Prefill is the processing of a prompt until the first token.
	Prefill Kind = iota
	// Decode is the generation of tokens.
	Decode
	// Work is a request of a plain service.
	Work
)

// Options configure an Estimator.
type Options struct {
	// Current returns the service and incarnation of a registered replica, and
	// false if there is none with the ID.
	Current func(replica string) (service string, incarnation int64, ok bool)
}

// Estimator holds the estimates of all replicas. It is safe for concurrent use.
type Estimator struct {
	opt Options
}

// New returns an Estimator without samples.
func New(o Options) *Estimator { return &Estimator{opt: o} }

// Observe records how long a step of an answered request took, and how long it
// was predicted to take at speed 1 with the queue ahead taken into account.
func (e *Estimator) Observe(now time.Time, service, replica string, incarnation int64, k Kind, predicted, took time.Duration) {
}

// Of returns the current estimate of an incarnation.
func (e *Estimator) Of(now time.Time, service, replica string, incarnation int64) Estimate {
	return Estimate{1, 1, 1}
}

// Report returns this entry's samples for the rollup, by replica ID.
func (e *Estimator) Report(now time.Time) map[string]peer.SpeedSamples { return nil }

// SetPeers sets the sum over the other entries, which is of the given age. A nil
// sum means that there are no other entries to learn from.
func (e *Estimator) SetPeers(now time.Time, sum map[string]peer.SpeedSamples, age time.Duration) {
}
