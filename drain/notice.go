// Package drain keeps the notices of endpoint hosts that will be taken.
//
// The first notice for an incarnation of a host wins and sticks; it doesn't
// matter whether the cloud API, the host list, the engine or a peer brought
// it. A notice for a failure domain marks all its hosts.
package drain

import "time"

// Reason says why a host leaves.
type Reason string

// Reasons of a notice.
const (
	ReasonReclaim  Reason = "reclaim"
	ReasonHostList Reason = "host_list"
	ReasonEngine   Reason = "engine"
	ReasonOperator Reason = "operator"
)

// Notice says that a host, or with an empty HostID a whole failure domain,
// is leaving.
type Notice struct {
	HostID string
	// Incarnation of the host, or the ID of the drain of a failure domain.
	Incarnation   string
	FailureDomain string
	Reason        Reason
	// Remaining is the time until the host is taken, counted from when this
	// process got the notice; 0 when it is not known.
	Remaining time.Duration
	// Age is the time since the first process got the notice.
	Age time.Duration
}

// Key identifies what a notice is about.
type Key struct {
	HostID        string
	Incarnation   string
	FailureDomain string
}

// Key returns what the notice is about.
func (n Notice) Key() Key {
	if n.HostID != "" {
		return Key{HostID: n.HostID, Incarnation: n.Incarnation}
	}
	return Key{Incarnation: n.Incarnation, FailureDomain: n.FailureDomain}
}
