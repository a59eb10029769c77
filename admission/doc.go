// Package admission decides whether a request may start now, must wait, or is
// refused. A refusal guarantees that the request has not run.
//
// The request handlers call Controller.Admit once per request and Ticket.Done
// when the request has ended; both may run concurrently with the setters that
// apply the current template and the state of the peers.
//
// Each entry enforces its local share of a customer's global limit. The shares
// follow the demand that the entries report to each other, so that no shared
// counter is needed. An entry that receives no state from its peers enforces an
// equal share.
package admission
