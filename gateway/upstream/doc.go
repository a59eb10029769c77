// Package upstream is the HTTP/1.1 client through which an entry sends requests
// to replicas. It reuses connections and reports for each failed request
// whether it may have run.
//
// The gateway handler calls Pool.Send on the goroutine of each request, for
// many requests at once. A request is never sent twice, and a connection serves
// one request at a time. Answers that belong to another request are skipped. A
// connection is closed instead of reused if such an answer arrived on it, if
// the answer was truncated or malformed, or if the request was not written completely.
package upstream
