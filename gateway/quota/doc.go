// Package quota enforces the limits of customers over all entries together, and
// the retry budget of each service.
//
// Each customer's limit has an owner: the one entry that package ownership
// selects by the customer's name. The other entries send it a reservation call
// for each request. Local shares alone would not do: a single request may be
// larger than an entry's share, so much that is within the limit would be
// refused.
//
// An entry that can't reach the owner falls back to its local share. The owner
// reduces the global limit by the shares of unreachable members. Shares follow
// the demand that the entries reported to each other, and are equal while no
// peer has reported. Members without a report count like the average of the
// others, so that a partition can't raise the sum of the shares.
//
// Above 16 members, limits are replicated: the first two members by hash hold the
// level of a limit (replica.go, levels.go) and exchange it (exchange.go). An entry that
// doesn't reach the first calls the second (ask.go). Requests of a customer that exceeds
// its limit are served in order of urgency (order.go). This is designed for tens to
// hundreds of entries with 16 customers, whose requests are larger than an entry's share
// of a limit, and of which some ask for several times their limits.
// docs/design/limits.md describes it.
//
// GlobalLimiter decides for the HTTP handler of an entry, and Limiter holds its
// token buckets; RetryBudget is independent of both. All three are safe for
// concurrent use.
package quota
