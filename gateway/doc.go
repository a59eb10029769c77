// Package gateway forwards opaque requests and event streams to replicas by
// route.
//
// A request passes these steps, each on the goroutine of its connection:
//
//  1. The dialect decodes its headers; the configuration says route and
//     customer.
//  2. The customer's limit is charged, and the balancer chooses a replica. A
//     request that can't be answered in time is refused at once, as not run.
//  3. It is sent once. Only where it has certainly not run, or where the
//     route lets it run again, is it sent to a second replica, within the
//     retry budget of all entries.
//  4. The answer is passed on whole, or the connection to the client is cut so
//     that a partial answer can't look complete. A stream goes on at another
//     replica after its last whole event where the route allows that.
//
// What the wire calls things is known to the Dialect alone.
package gateway
