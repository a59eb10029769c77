// Package scaling decides how many replicas of a service run in each failure
// domain, on-demand and reclaimable ones, and orders them.
//
// It answers a load that moves by a third within a minute, with bursts of half
// as much again, on replicas that take seconds to start, where all reclaimable
// replicas of a domain may be taken away at once and for a while no others are
// to be had. Counts go up at once and down slowly. A firm part of what the
// load needs runs on demand; the rest is reclaimable, with so many more that
// the loss of one domain's leaves enough. While reclaimable ones can't be had,
// on-demand ones stand in for those that are missing, and for those of the
// domain that would be missed most: reclaims of domains follow each other faster
// than replicas start.
//
// Planner decides and uses no network; Controller carries plans out under a
// lease.
package scaling
