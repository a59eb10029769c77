// Package guard keeps one entry within its part of what the table service can
// bear, and away from a table service that is down.
//
// Writes share a budget. While it is short, writes of a lower priority
// (platform.PriorityOf) wait first and are refused first: each priority may
// only take what leaves the reserve of the more important ones untouched, and
// nobody is served while a more important write waits.
//
// A breaker opens after some failures in a row. While it is open, calls fail
// at once as verdict.NotRun. Its probes come at times that differ between
// entries, and the budget starts empty when it closes, so that the end of an
// outage brings no storm.
package guard
