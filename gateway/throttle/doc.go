// Package throttle keeps the requests of all entries within what replicas state
// in their answers: a limit, which is the number of requests per second that a
// replica accepts from all entries together, and a pause, in which it accepts
// none from one entry.
//
// The load it answers is a replica in need among others that are not, or a whole
// service in need, behind up to hundreds of entries, each of which sends a
// replica less than one request a second. An equal part of such a limit is
// nothing, and a first request for each entry is many times the limit.
//
// A limit is known to all entries at once: the first that reads it in an answer
// spreads it over the peers' connections. Answers overtake each other, so an
// answer that lowers a limit always counts, and one that raises or ends it only
// if its request was sent after the limit was last stated. There is no polling:
// the requests that a limit still permits ask whether it goes on.
//
// For each request to a limited replica, an entry needs a permit of the limit's
// owner, the member that the replica's ID hashes to. Owners can't be certain to be
// the only one while members come and go, so two rules keep the sum of all permits
// below one and a half times the limit:
//
//   - The second member by hash grants permits to entries that don't reach the
//     first, at less than half the rate. An owner that was not asked before does
//     the same for handoverPeriod, because another one may still be asked.
//   - An entry that reaches neither uses its equal part of the limit. An entry
//     that reaches less than half of the members grants none.
//
// If each entry's part is a request a second or more, it uses most of it without
// permits, and the owner grants the rest.
//
// Permits that are short are divided by urgency and customer, so that neither
// pushes the other out, and repeated requests get them last. An entry that was
// denied asks again after a random time that grows with the number of entries
// that ask, so that the calls follow the limit and not the demand.
//
// Package gateway calls a Throttle on the goroutines of many requests, package
// peer on those of the connections.
package throttle
