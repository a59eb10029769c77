// Package replica holds the replicas of each service and decides which of them
// get new work.
//
// The rows of the registry list the replicas. Notices of peers and the answers
// of replicas may report earlier than the registry that a replica is draining.
// An incarnation that is known to be draining never gets new work again.
//
// The registry feed and the notices of peers change a Set; the balancer and the
// scaling controller read its snapshots at the same time.
package replica
