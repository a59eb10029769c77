// Package balance chooses the replica that serves a request. The gateway calls
// it once for each attempt; a Balancer may be used by many goroutines at once.
//
// For model engines it predicts the time to the first token on each replica
// from the prompt tokens queued there, the tokens of the request itself that
// are not cached, and the measured prefill rate of the service's engines.
// Cached prompt parts weigh heavily, because a replica that processes a large
// shared part again delays all other requests on it. For plain services it
// chooses the replica with the fewest requests per slot.
//
// In a deployment of many entries (Options.Grouped), the load that an entry sees of a
// replica is negligible. Long prompts are then placed in groups of replicas, each by
// one entry for all, and other requests use slots that are divided among the
// entries. It is designed for 17 to 410 entries before 90 engines of different speeds
// at 0.7 of their capacity.
//
// The load that this entry puts on replicas is exact. That of the other entries
// is as of their last state update. Replicas whose failure rate is far above
// the mean of their service are ejected for a while, at most a third of a
// service at a time.
package balance
