// Package replica holds the replicas of each service and decides which of them
// get new work.
//
// The registry lists the replicas. Notices of peers and the answers of replicas
// may report earlier than the registry that a replica is draining. Once an
// incarnation was reported to be draining, it never gets new work again.
//
// The registry feed and the notices of peers change a Set, while the balancer
// and the scaling controller concurrently read its snapshots.
package replica
