// Package delivery runs admitted requests and returns their answers to clients.
// Package callerapi calls it for each request; all requests may run
// concurrently.
//
// An attached request is cancelled when its client disconnects. A durable
// request is recorded before it is accepted, continues without its client, and
// can be followed at any entry. If its entry fails, another entry adopts it
// and calls Service.Resume.
//
// Services calls plain services. Calls that must not be repeated are executed
// through package once.
package delivery
