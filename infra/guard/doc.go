// Package guard limits the load that one entry puts on the table service, and
// stops calls to a table service that is down.
//
// All writes of an entry share a rate budget. While the budget is nearly used
// up, writes of a lower priority (infra.PriorityOf) are the first that wait
// and are refused: a write may not use the reserve of a higher priority, and no
// write is granted while one of a higher priority waits.
//
// A circuit breaker opens after a number of consecutive failures. While it is
// open, calls fail at once as verdict.NotRun. Its probes are jittered, so that
// entries don't probe at the same time, and the budget starts empty when it
// closes, so that the end of an outage causes no burst of load.
package guard
