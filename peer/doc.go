// Package peer implements the protocol between the entries of a deployment:
// JSON-RPC 2.0 over TCP, with one reading and one writing goroutine per
// connection.
//
// Small deployments form a full mesh. In larger ones each entry connects to a
// bounded number of neighbours. Disruption notices and template versions
// propagate over the mesh at once. The states of the members, such as the
// demand and spend per customer, propagate with a state update each second and
// are versioned per origin.
//
// A connection sends only what changed since its last message. TCP preserves
// the order, and a connection that fails in any way is closed and replaced by
// a new one, on which both sides first exchange the versions of the states
// that they have. A lost message therefore can't leave a gap. There are no
// send queues: a connection reads what it has to send from shared state, so a
// peer that stalls uses no memory.
//
// Calls between entries, such as reservations and handoffs, use the same
// connections, or connections of their own to members that are no neighbours.
package peer
