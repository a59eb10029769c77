package routing

import "sync/atomic"

// golden is the increment of the splitmix64 generator.
const golden = 0x9e3779b97f4a7c15

// sampler is a random number generator that concurrent callers share without
// a lock (splitmix64).
type sampler struct {
	state atomic.Uint64
}

func (s *sampler) seed(seed uint64) { s.state.Store(seed) }

func (s *sampler) next() uint64 { return mix(s.state.Add(golden)) }

// below returns a number in [0, n).
func (s *sampler) below(n int) int {
	return int((s.next() >> 32) * uint64(n) >> 32)
}

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
