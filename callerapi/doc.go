// Package callerapi is the HTTP interface to callers: chat completions,
// durable requests and plain services.
//
// Every refusal and failure carries a verdict that says whether the request
// may have run, in the body and in the header X-Verdict.
package callerapi
