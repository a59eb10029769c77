// Package balance chooses the replica that gets a request.
//
// For model engines it predicts the time to the first token on each replica:
// the prompt tokens that are ahead there and those of the request itself that
// are not cached, at the rate at which replicas were seen to read prompts. It
// answers loads of long prompts with large shared parts, where one replica
// that reads a shared part anew costs all requests beside it. For plain
// services it takes the replica with the fewest requests a slot.
//
// What this entry has in flight is known exactly; that of the other entries
// as they told it last. Replicas that fail far more often than their service
// does are left out for a while, never more than a third of a service.
package balance
