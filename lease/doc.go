// Package lease elects one process at a time as the holder of a named lease.
// The lease is a row of the table; clocks of different hosts are never
// compared. Each contender runs one Lease.
//
// The holder measures the lease's duration from before it sent its last
// renewal, and subtracts a margin. All other contenders measure it from when
// they first read the current version of the row, and add the margin. The
// holder's lease therefore expires for the holder itself before another
// process may take over, as long as the clocks of two hosts drift apart by
// less than the margin during one lease duration.
//
// Every takeover increments the fencing token. The holder sends it to endpoints
// that check it, through Do, which begins no effect without the lease and ends
// those in progress when it lapses; a release waits for them. For endpoints that
// don't check it, orders are idempotent: they state the desired result. A new
// holder sends them no orders until SuccessorWait has passed since its takeover
// (see MayOrder). By then every order of its predecessor has timed out.
package lease
