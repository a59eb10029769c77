// Package once runs calls that may not be repeated at most once, whatever
// retries, lost answers and dying entries do.
//
// Each call is named by (customer, service, idempotency key). Its row in the
// table is the only thing that entries agree on:
//
//	absent ──insert──▶ dispatched{attempt} ──▶ ran | unknown
//	                        │   ▲
//	                        ▼   │ retry, compare-and-set
//	                       not_run
//
// The rules that make it at-most-once:
//
//   - Only the attempt named by a confirmed dispatched row sends, and only
//     once. The confirmation comes before the first byte goes out.
//   - Only the process that owns an attempt writes not_run over it, and only
//     when it did not send, or when the send failed as verdict.NotRun.
//     Another process never does, not even when the owner seems dead: it may
//     be paused just before its send.
//   - Every write is conditional on the version (or the absence) that its
//     writer saw. A write that is delayed in the network therefore can't take
//     effect once any other write to the row did.
//
// A verdict is about the request that it answers. A caller that was told
// may_have_run by an earlier request keeps that until a later one with the
// same key returns a reply: while the table is down nobody can know whether
// the key was used before.
//
// NewSweeper deletes rows that have not changed for a time to live. An attempt
// that is older than Options.SendWindow on its owner's clock is not sent, so
// that a process that was paused for longer than the time to live does not
// send after its row was swept. A delayed insert that outlives the row can
// only leave a dispatched row that nobody sends, which is swept in its turn.
package once
