// Package member knows which entries of the deployment exist and are alive.
//
// Each entry writes a heartbeat row to the table and scans the rows of the
// others, both with periods that grow with the number of members, so that
// the load on the table stays bounded. Messages between peers are signs of
// life as well; during an outage of the table they are the only ones.
//
// No clocks are compared across hosts: a member is gone once this entry has
// seen no sign of it for a period on its own monotonic clock. That is a hint
// and not a proof. Whoever takes over work of a member that is gone must
// claim it through the table.
//
// Incarnations of one ID are ordered by epoch, the version of the first
// commit of the heartbeat row.
package member
