// Package plan measures the control paths of entries at the size planned for
// the next two years: membership, digests, notices, template versions and the
// calls of the table.
//
// It runs the real code of many entries in one process over TCP on the
// loopback interface, against an in-memory table that counts its calls. There
// are no requests, no endpoints and no network delay. Figures per member are
// those of the whole process divided by the members, so they include the
// table and the measuring itself.
package plan
