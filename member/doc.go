// Package member tracks which entries of the deployment exist and which of
// them are live, suspect, leaving or failed. An entry runs one Registry.
//
// Each entry writes a heartbeat row to the table and scans the rows of the
// others, both with periods that grow with the number of members, so that
// the load on the table stays bounded. A message from a peer also proves that
// the peer is reachable; during an outage of the table, messages are the only
// evidence of it.
//
// Clocks of different hosts are never compared: a member has failed once this
// entry has received nothing from it for FailureTimeout on its own monotonic
// clock. That is a hint, not a proof. An entry that takes over work of a
// failed member must claim it through the table.
//
// Incarnations of one ID are ordered by epoch, the version of the first
// commit of the heartbeat row.
package member
