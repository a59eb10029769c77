// Package drain holds the disruption notices of endpoint hosts: which hosts
// will be reclaimed or drained, why and when.
//
// Each entry has one Set. Notices come from the cloud API and the host list,
// which Watch polls, and from engines, operators and peers. The first notice
// for an incarnation of a host stays in force, whatever its source; later ones
// are ignored. A notice for a failure domain applies to all hosts in it.
package drain

import "time"

// Reason is the reason why a host drains, or the source that reported the
// drain.
type Reason string

// Reasons of a notice.
const (
	ReasonReclaim  Reason = "reclaim"
	ReasonHostList Reason = "host_list"
	ReasonEngine   Reason = "engine"
	ReasonOperator Reason = "operator"
)

// Notice announces that a host will be reclaimed or drained. With an empty
// HostID it applies to a whole failure domain.
type Notice struct {
	HostID string
	// Incarnation is the incarnation of the host, or the ID of the drain of a
	// failure domain.
	Incarnation   string
	FailureDomain string
	Reason        Reason
	// Remaining is the time until the host is reclaimed; 0 if it is unknown.
	// In a notice to be added it counts from when this process received it.
	Remaining time.Duration
	// Age is the time since the first process received the notice.
	Age time.Duration
}

// Key identifies the host incarnation or the drain of a failure domain that a
// notice applies to.
type Key struct {
	HostID        string
	Incarnation   string
	FailureDomain string
}

// Key returns the key that identifies the subject of the notice.
func (n Notice) Key() Key {
	if n.HostID != "" {
		return Key{HostID: n.HostID, Incarnation: n.Incarnation}
	}
	return Key{Incarnation: n.Incarnation, FailureDomain: n.FailureDomain}
}
