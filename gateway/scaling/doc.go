// Package scaling decides how many replicas of each service run in each failure
// domain, on demand and reclaimable ones, and orders them.
//
// It is designed for a load that changes by a third within a minute, with
// bursts of half as much again, and for replicas that take seconds to start.
// All reclaimable replicas of a domain may be reclaimed at once, and no others
// may be available for a while. Counts are raised at once and lowered slowly. A
// fixed fraction of the replicas that the load needs runs on demand. The rest
// are reclaimable, with enough extra ones to cover the loss of one domain.
// While no reclaimable replicas are available, on-demand ones replace those
// that are missing, and also those of the domain whose loss would cost most,
// because reclaims of domains follow each other faster than replicas start.
//
// Planner computes the orders and uses no network. Controller runs one Planner
// per service and gives their orders while this entry holds the lease. All of
// them run in one goroutine.
package scaling
