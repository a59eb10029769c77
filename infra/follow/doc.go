// Package follow keeps a local copy of a group of rows in sync with the table
// service, through a feed of changes.
//
// A Follower takes a full snapshot once and then waits for changes. It takes
// another snapshot only after the feed has compacted the changes that it
// needs. While the service is unavailable it retains the last copy, whose age
// it reports.
//
// A History retains what one follower has read and serves it to peers. A
// Shared reads a feed through the History of a peer, and reads the service
// directly while no peer is available.
package follow
