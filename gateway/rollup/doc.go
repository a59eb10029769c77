// Package rollup sums the loads that many entries put on services, and what they
// observed of replicas, so that each entry has the sum of all others within a
// second.
//
// It is designed for deployments of hundreds of entries, in which each entry
// sends so few requests that its own failures say nothing about a replica, and
// states that go from every entry to every other one would be seconds old. The
// load is summed by service: with sums by replica, all entries would choose the
// replicas that were idle at the last exchange. Each entry reports its load to the aggregator of its failure
// domain and gets the load of all others back in the reply. The aggregators
// exchange the sums of their domains. The traffic of an entry therefore does
// not grow with the number of entries.
//
// All entries of a domain use the same aggregator, the first of the candidates
// that answers. An aggregator that does not answer is not called for a while.
package rollup
