// Package usage counts the requests of customers by windows of time, and
// reports each window once for the whole deployment.
package usage
