// Package lease gives one process at a time the right to act, by a row of the
// table and without comparing clocks of hosts.
//
// The holder counts from before it sent its last renewal, less a margin. All
// others count from when they first saw the row as it is, plus the margin. So
// the holder's own check fails before anyone else may take over, as long as
// the clocks of two hosts run at speeds that differ by less than the margin
// over one lease.
//
// Every takeover raises the fencing number. The holder checks Held before
// every effect, and passes the number on to endpoints that check it. For
// those that don't, orders state a desired end, and a new holder gives none
// until SuccessorWait has passed since its takeover (MayOrder), by which time
// every order of its predecessor has timed out.
package lease
