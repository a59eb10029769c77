// Package routing chooses the endpoint that answers a request.
//
// A Fleet is one entry's view of all endpoints. It predicts the time to the
// first token on each candidate from lagging load reports, corrected by the
// entry's own requests in flight, and takes the cheapest candidate that meets
// the deadline. Nothing here talks to the network: callers feed in host
// lists, load reports and cache events, and send the probes it asks for.
package routing
