package member

import (
	"math/rand/v2"
	"time"
)

// Bounds on the load that all members together cause at the table and at peers.
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
	// maxRareRowsPerSecond bounds the rows that the scans of all members read
	// where state updates prove that members are alive. maxRareScanPeriod
	// bounds the time between two scans, which stays below the age at which
	// rows are deleted.
	maxRareRowsPerSecond = MaxRowsPerSecond / 2
	maxRareScanPeriod    = 90 * time.Second

	// jitterFraction is the fraction of a period by which it varies randomly
	// in each direction.
	jitterFraction = 0.2
	// maxMissedContacts is the number of contact periods that FailureTimeout
	// allows to pass without a heartbeat or a state update.
	maxMissedContacts = 3
	// contactSlack extends both timeouts to allow for delays in the table, in
	// the network and between scans.
	contactSlack = 2 * time.Second
	// settleTime is the delay of the second scan on a first start, until
	// members that start at the same time have written their rows.
	settleTime = time.Second
	// refuteWindow is the time after a peer's suspicion within which a contact
	// must refute it; otherwise the member has failed.
	refuteWindow = 10 * time.Second
)

// HeartbeatPeriod returns the time between two heartbeat writes of one member.
func HeartbeatPeriod(members int) time.Duration {
	return max(minHeartbeatPeriod, timeForEvents(float64(members), MaxHeartbeatsPerSecond))
}

// ScanPeriod returns the time between two scans by one member. It grows with
// the square of the number of members, because every member reads the rows of
// all.
func ScanPeriod(members int) time.Duration {
	rows := float64(members) * float64(members)
	return max(minScanPeriod, timeForEvents(rows, MaxRowsPerSecond))
}

// UpdatePeriod returns the time between two state updates that one member
// sends to its peers.
func UpdatePeriod(members int) time.Duration {
	return max(minUpdatePeriod, timeForEvents(float64(members), MaxUpdatesPerSecond))
}

// FailureTimeout returns how long nothing may arrive from a member before it
// has failed. If a peer suspects the member, it may fail earlier, after
// refuteWindow.
func FailureTimeout(members int) time.Duration {
	return contactSlack + maxMissedContacts*contactPeriod(members)
}

// contactPeriod returns the longest regular time between two contacts with a
// member, by heartbeat or by state update.
func contactPeriod(members int) time.Duration {
	return max(HeartbeatPeriod(members), UpdatePeriod(members))
}

// UpdatePeriod returns the time between two state updates of this entry.
func (r *Registry) UpdatePeriod() time.Duration { return r.updatePeriod(r.Count()) }

// FailureTimeout returns how long nothing may arrive from a member before it
// has failed.
func (r *Registry) FailureTimeout() time.Duration { return r.failureTimeout(r.Count()) }

func (r *Registry) updatePeriod(members int) time.Duration {
	if r.opt.UpdatePeriod == nil {
		return UpdatePeriod(members)
	}
	return r.opt.UpdatePeriod(members)
}

// scanPeriod returns the time between two scans by this entry. If state updates
// prove that members are alive, scans only find members that the peers don't
// know.
func (r *Registry) scanPeriod(members int) time.Duration {
	if r.opt.UpdatePeriod == nil {
		return ScanPeriod(members)
	}
	rows := float64(members) * float64(members)
	return max(minScanPeriod, min(maxRareScanPeriod, timeForEvents(rows, maxRareRowsPerSecond)))
}

// heartbeatPeriod returns the time between two heartbeats of this entry. If
// state updates prove that members are alive, rows are written no more often
// than each entry scans them.
func (r *Registry) heartbeatPeriod(members int) time.Duration {
	if r.opt.UpdatePeriod == nil {
		return HeartbeatPeriod(members)
	}
	return max(HeartbeatPeriod(members), r.scanPeriod(members))
}

func (r *Registry) contactPeriod(members int) time.Duration {
	if r.opt.UpdatePeriod == nil {
		return contactPeriod(members)
	}
	return max(minHeartbeatPeriod, r.updatePeriod(members))
}

func (r *Registry) failureTimeout(members int) time.Duration {
	return contactSlack + maxMissedContacts*r.contactPeriod(members)
}

// suspectAfter returns how long nothing may arrive from a member before it is
// suspect: one contact period less than the failure timeout.
func (r *Registry) suspectAfter(members int) time.Duration {
	return contactSlack + (maxMissedContacts-1)*r.contactPeriod(members)
}

// Jitter varies d randomly by up to jitterFraction, so that the members' calls
// don't synchronise.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}

// StaggeredDelays returns a function that returns the delay before the next
// periodic action. The first delay is a random fraction of the period, which
// staggers members that start together; the following ones are the period with
// jitter.
func StaggeredDelays() func(period time.Duration) time.Duration {
	first := true
	return func(period time.Duration) time.Duration {
		if first {
			first = false
			return time.Duration(float64(period) * rand.Float64())
		}
		return Jitter(period)
	}
}

// timeForEvents returns how long a number of events takes at a rate per second.
func timeForEvents(events, rate float64) time.Duration {
	return time.Duration(events / rate * float64(time.Second))
}
