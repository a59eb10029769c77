package member

import (
	"math/rand/v2"
	"time"
)

// Bounds on the load that membership puts on the whole fleet.
const (
	// MaxHeartbeatsPerSecond bounds the heartbeat writes of all members.
	MaxHeartbeatsPerSecond = 20
	// MaxRowsPerSecond bounds the rows that the scans of all members read.
	MaxRowsPerSecond = 400
	// MaxUpdatesPerSecond bounds the state updates that all members publish
	// to their peers.
	MaxUpdatesPerSecond = 4
)

const (
	minHeartbeatPeriod = 2 * time.Second
	minScanPeriod      = 2 * time.Second
	minUpdatePeriod    = time.Second

	// jitterPart is the part of a period by which it varies at random.
	jitterPart = 0.2
	// lostSigns is how many signs of life in a row may be lost.
	lostSigns = 3
	// signSlack is added to the time without signs, for delays on the way.
	signSlack = 2 * time.Second
	// refuteWindow is how long a suspected member has to show a sign of life
	// before it counts as gone.
	refuteWindow = 10 * time.Second
)

// HeartbeatPeriod returns the time between two heartbeat writes of a member.
func HeartbeatPeriod(members int) time.Duration {
	return max(minHeartbeatPeriod, perSecond(float64(members), MaxHeartbeatsPerSecond))
}

// ScanPeriod returns the time between two scans of a member. It grows with
// the square of the members, because each scan reads a row of each of them.
func ScanPeriod(members int) time.Duration {
	rows := float64(members) * float64(members)
	return max(minScanPeriod, perSecond(rows, MaxRowsPerSecond))
}

// UpdatePeriod returns the time between two state updates of a member to its
// peers.
func UpdatePeriod(members int) time.Duration {
	return max(minUpdatePeriod, perSecond(float64(members), MaxUpdatesPerSecond))
}

// FailureTimeout returns how long a member may show no sign of life before it
// counts as gone. A suspicion of its peers makes it shorter.
func FailureTimeout(members int) time.Duration {
	return signSlack + lostSigns*signPeriod(members)
}

// suspectAfter returns how long a member may show no sign of life before it
// is suspected: one lost sign fewer than GoneAfter allows.
func suspectAfter(members int) time.Duration {
	return signSlack + (lostSigns-1)*signPeriod(members)
}

func signPeriod(members int) time.Duration {
	return max(HeartbeatPeriod(members), UpdatePeriod(members))
}

// Jitter returns a duration near d, so that members don't fall into step.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterPart + 2*jitterPart*rand.Float64()))
}

// Phase returns a function that gives the waits between periodic actions. The
// first wait is a random part of the period, so that members that start
// together are spread over it; the following ones have jitter.
func Phase() func(period time.Duration) time.Duration {
	first := true
	return func(period time.Duration) time.Duration {
		if first {
			first = false
			return time.Duration(float64(period) * rand.Float64())
		}
		return Jitter(period)
	}
}

// perSecond returns the time in which events pass at a rate.
func perSecond(events, rate float64) time.Duration {
	return time.Duration(events / rate * float64(time.Second))
}
