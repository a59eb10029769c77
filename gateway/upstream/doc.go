// Package upstream sends requests to replicas over kept HTTP/1.1 connections,
// and knows for each failed one whether it may have run.
//
// It never sends a request twice. A connection serves one request at a time,
// on the goroutine of its caller. Answers that belong to another request are
// skipped, and a connection that showed one, that broke off, or whose request
// was not taken in whole is closed instead of kept.
package upstream
