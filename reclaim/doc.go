// Package reclaim decides what happens to the streams on a host that will be
// reclaimed: finish in place, move the KV cache to another endpoint, or resume
// elsewhere from the prompt and the text so far.
//
// Plan is a pure function of estimates. Runner collects disruption notices,
// calls Plan and executes the decisions through a Carrier, which must fall back
// to a resume if a KV transfer fails. Runner.Run works until its context ends;
// Runner.Announce may be called concurrently with it.
package reclaim
