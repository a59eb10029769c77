// Package quota keeps customers within their limits, and second tries within
// the retry budget of each service, over all entries together.
//
// Each entry enforces its part of a limit. The parts follow the demand that
// the entries told each other a second ago, and are equal while no peer is
// heard; members that were not heard count like the others, so that a
// partition can't lift the sum of the parts.
package quota
