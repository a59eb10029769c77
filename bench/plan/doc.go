// Package plan measures the control traffic of entries at the size planned for
// the next two years: membership, state updates, disruption notices, template
// versions and the calls of the table. The command bench -size plan uses it.
//
// It runs the real code of many entries in one process over TCP on the loopback
// interface, against an in-memory table that counts its calls. There are no
// requests, no endpoints and no network delay. Figures per member are those of
// the whole process divided by the number of members, so they include the table
// and the measurement itself.
package plan
