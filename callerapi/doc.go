// Package callerapi implements the HTTP interface for clients: chat
// completions, durable requests and calls of plain services.
//
// Each entry serves one Server on its caller listener. A handler authenticates
// the client, checks the request against the template in force, obtains a
// ticket from package admission and passes the request on to package delivery.
// Handlers run concurrently, one per request; the Server has no mutable state
// of its own.
//
// Every refusal and failure reports, in its body and in the header X-Verdict,
// an execution verdict: whether the request may have run.
package callerapi
