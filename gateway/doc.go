// Package gateway is the HTTP handler of an entry. It forwards requests, whose
// bodies it doesn't interpret, and event streams to replicas by route.
//
// A request passes these steps, each on the goroutine of its connection:
//
//  1. The Dialect decodes the headers of the request; the configuration
//     determines the route and the customer.
//  2. The request is charged to the customer's limit, and the balancer chooses
//     a replica. A request that can't be answered in time is refused at once
//     with the verdict NotRun.
//  3. The request is sent once. It is sent to another replica only if it has
//     certainly not run or the route allows it to run again, and only within
//     the retry budget that all entries share.
//  4. A complete answer is relayed to the client. If the answer is interrupted
//     after its header was sent, the connection to the client is closed, so
//     that a partial answer can't look complete. On resumable routes, a broken
//     stream continues at another replica after its last complete event.
//
// Only the Dialect depends on the names of headers on the wire. Package app
// builds one Handler per process, which serves many requests at once.
package gateway
