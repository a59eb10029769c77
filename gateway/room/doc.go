// Package room performs admission control: it decides for each request, before a
// replica is chosen, whether its service has room for it.
//
// It is designed for tens to hundreds of entries that each send a replica one
// request in several seconds, so that no entry alone can detect that the replicas of
// a service are overloaded. Each entry reports the demand that arrives at it, the
// work that waits for its first token, and the work that replicas accept. The sums
// over all entries arrive twice a second and are about half a second old.
//
// A service is short of room only if work is waiting: as long as the waiting work is
// small, everything is admitted, whatever the estimate of the capacity says. Beyond
// that the demand is limited to the capacity, corrected by the waiting work. The
// capacity is calibrated by the work that the replicas accept while work waits.
//
// Room is allocated by urgency, then by max-min fairness over customers, above a
// floor for everyone. The result is a fraction of the demand of each customer and
// urgency. Requests are admitted by a place in [0, 1) that is derived from their
// content, so that a request that is repeated at once is refused again, and sizes,
// routes and prompt parts are admitted alike.
//
// The package uses neither the network nor a clock.
package room
