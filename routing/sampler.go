package routing

import "sync/atomic"

// goldenGamma is the increment of the splitmix64 generator.
const goldenGamma = 0x9e3779b97f4a7c15

// sampler is a lock-free random number generator (splitmix64) that is safe for
// concurrent use.
type sampler struct {
	state atomic.Uint64
}

func (s *sampler) seed(seed uint64) { s.state.Store(seed) }

func (s *sampler) next() uint64 { return mix(s.state.Add(goldenGamma)) }

// below returns a number in [0, n).
func (s *sampler) below(n int) int {
	return int((s.next() >> 32) * uint64(n) >> 32)
}

// mix is the finalizer of splitmix64: each bit of x affects the whole result.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
