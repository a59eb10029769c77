// Package once executes calls that must not be repeated at most once, in spite
// of retries, lost replies and crashed entries. Package delivery calls
// Store.Do for each such call; any number of calls may run concurrently, even
// with the same key and at several entries.
//
// A call is identified by (customer, service, idempotency key). Entries
// coordinate only through its row in the table:
//
//	absent ──insert──▶ dispatched{attempt} ──▶ ran | unknown
//	                        │   ▲
//	                        ▼   │ retry, compare-and-set
//	                       not_run
//
// The following rules ensure at-most-once execution:
//
//   - Only the attempt named by a confirmed dispatched row is sent, and only
//     once. The row is confirmed before the first byte is sent.
//   - Only the process that owns an attempt replaces it by not_run, and only
//     if it did not send the call or the send failed with verdict.NotRun.
//     Another process never does so, even if the owner appears to have
//     failed: the owner may be paused just before its send.
//   - Every write is conditional on the version of the row (or its absence)
//     that its writer read. A write that is delayed in the network therefore
//     can't take effect after any other write to the row.
//
// A verdict applies to the request that it answers. A client that received
// may_have_run for an earlier request must assume it until a later request
// with the same key returns a reply: while the table is unavailable, an entry
// can't determine whether the key was used before.
//
// NewSweeper deletes rows that have not changed for their time to live. An
// attempt that is older than Options.SendWindow on its owner's clock is not
// sent, so that a process that was paused for longer than the time to live
// does not send after its row was swept. A delayed insert that takes effect
// after the row was swept can only create a dispatched row whose call is never
// sent; that row is swept as well.
package once
