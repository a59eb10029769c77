// Package follow keeps a local copy of a group of rows in step with the table
// service, through a feed of changes.
//
// A follower reads everything once, then waits for changes. It reads
// everything again only where the feed has lost its history. While the
// service is away it keeps the last copy and tells how old that is.
package follow
