// Package quota keeps customers within their limits, and second tries within
// the retry budget of each service, over all entries together.
//
// The limit of a customer is kept by one entry, which all members derive from
// its name, and the others ask it for each request. It answers loads whose
// requests are large against an entry's part of a limit, where parts refuse
// much that is within the limit. An entry that can't reach the keeper falls
// back to its own part, which the keeper then leaves to it. Parts follow the
// demand that the entries told each other, and are equal while no peer is
// heard; members that were not heard count like the others, so that a
// partition can't lift the sum of the parts.
package quota
