// Package reclaim decides what becomes of the streams on a host that will be
// reclaimed: finish in place, move the KV cache, or resume elsewhere from the
// prompt and the text so far.
//
// Plan is a pure function of estimates. Its caller carries the decisions out
// and falls back to a resume where one fails.
package reclaim
