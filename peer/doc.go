// Package peer is the inner protocol between the entries of a deployment:
// JSON-RPC 2.0 over TCP, one goroutine per connection.
//
// Entries form a full mesh while they are few, and beyond that a graph with a
// bounded number of neighbours each. Over it travel, at once, notices and
// template versions, and with a digest each second the states of the members
// (demand and spend per customer), each with a version per origin.
//
// A connection carries only what changed since the last message on it. TCP
// keeps the order, and a connection that fails in any way is dropped and
// built up again with a compact summary of what each side has, so that a lost
// message can't leave a gap. There are no queues: a connection reads what it
// still has to send from shared state, so a peer that stalls costs no memory.
package peer
