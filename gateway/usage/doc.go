// Package usage counts the requests of customers by time window, and reports
// each window once for the whole deployment.
//
// Every entry counts its own requests in a Counter. The Reporter of the lease
// holder gets the counts of all entries for a window from its Source, commits
// them to the table and sends them.
package usage
