// Package routing chooses the endpoint that answers a request.
//
// A Fleet is one entry's view of all endpoints. It predicts the time to the
// first token on each candidate from load reports, which lag, and corrects
// them by the entry's own requests in flight. It then picks the cheapest
// candidate that meets the deadline.
//
// Package relay calls Choose and package delivery calls ChooseService for each
// attempt, and both report its outcome with Done. Package app passes in host
// lists, offers, load reports and cache events, and sends the probes that
// NextProbe returns. Package routing makes no network calls.
//
// All methods of a Fleet may be called concurrently: a choice reads an
// immutable view of the fleet and locks only single endpoints and shards of the
// prefix index. A host that is draining is called "leaving" in names.
package routing
