package speed

import "math"

const (
	// slowdownWeight is the weight of one sample in a slowdown.
	slowdownWeight = 0.1
	// maxSlowdown is the upper bound of a slowdown and of its samples.
	// minSlowdownSample is the lower bound of the samples.
	maxSlowdown, minSlowdownSample = 8.0, 0.5
)

// slowdown is the ratio of a replica's measured times to the first token to the
// predicted ones, as a decaying average of at least 1. It is the estimate of an
// entry without peers, which doesn't know the mean of all replicas well enough to
// tell that one is faster.
type slowdown float64

func (s *slowdown) observe(ratio float64) {
	ratio = min(max(ratio, minSlowdownSample), maxSlowdown)
	v := float64(*s)
	*s = slowdown(min(max(v*math.Exp(slowdownWeight*math.Log(ratio/v)), 1), maxSlowdown))
}

func (s slowdown) speed() float64 { return 1 / float64(s) }
