package balance

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
)

// Part is one part of a prompt. Lists of parts are in the order of the prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Query is a request that needs a replica.
type Query struct {
	Service string
	// Slots is the number of requests that one replica runs at once; 0 for
	// plain services, which are not model engines.
	Slots int
	// Parts are the parts of the prompt that other prompts share.
	Parts []Part
	// PromptTokens is the length of the complete prompt.
	PromptTokens int
	// LatencyObjective is the minimum latency objective of the service's
	// requests.
	LatencyObjective time.Duration
	// Exclude holds the IDs of the replicas that earlier attempts were sent to.
	Exclude map[string]bool
	// Class is the request's class for replicas that have a limit.
	Class throttle.Class
	// Group is the group of replicas that a placer chooses from, and MaxWait the wait
	// above which it declines. See PlaceInGroup.
	Group   string
	MaxWait time.Duration
	// Unplaced is the number of the requests of the asking entry in progress on replicas
	// of the group that no placer placed, by replica ID.
	Unplaced map[string]int
	// Filter selects the eligible replicas; nil selects all. Calls to other entries
	// omit it, and the callee applies its own filter.
	Filter func(*replica.Replica) bool
	// Local is set for requests that no other entry places. Trial is set besides if
	// the request tries the replicas, also those that fail.
	Local, Trial bool
}

// candidates returns the replicas that the filter lets pass.
func (q Query) candidates(ready []*replica.Replica) []*replica.Replica {
	if q.Filter == nil {
		return ready
	}
	out := make([]*replica.Replica, 0, len(ready))
	for _, r := range ready {
		if q.Filter(r) {
			out = append(out, r)
		}
	}
	return out
}

// sharedTokens returns how many tokens of the prompt are in shared parts.
func (q Query) sharedTokens() int {
	sum := 0
	for _, p := range q.Parts {
		sum += p.Tokens
	}
	return sum
}

// Choice is the selected replica and the predictions that led to it.
type Choice struct {
	Replica *replica.Replica
	// FirstToken is the predicted time to the first token; 0 for plain
	// services.
	FirstToken time.Duration
	// Unscaled is FirstToken without what is known of how slow the replica is.
	Unscaled time.Duration
	// CachedTokens is the number of prompt tokens that are expected to be in
	// the replica's cache.
	CachedTokens int
	// QueuedTokens is the estimated number of queued prompt tokens that the
	// replica processes first.
	QueuedTokens int
	// InFlight is the estimated number of requests on the replica.
	InFlight int
	// RunnerUp is the second best replica; nil if there is none.
	RunnerUp *replica.Replica
	// Alternatives is set if the request could be sent to a replica without a
	// limit.
	Alternatives bool
	// Candidates is the number of replicas of the service that were ready.
	Candidates int
	// PlacedBy is the entry that placed a long prompt; empty if this entry
	// chose the replica locally.
	PlacedBy string
	// Group is the group that a long prompt was placed in, and GroupWait the wait
	// there as its placer predicted it.
	Group     string
	GroupWait time.Duration
	// ViewAge is the age of the loads of the other entries.
	ViewAge time.Duration
	// ended reports the end of a placed request to its placer. It may be nil.
	ended func()
	// Speed is the estimate of the replica's speed that the choice is based on:
	// of its prefill, or of its work if it is one of a plain service.
	Speed float64
	// atSpeed1 is the prediction of FirstToken for a replica of speed 1. relative is
	// set if the estimates are relative to the mean of the service.
	atSpeed1 time.Duration
	relative bool
}
