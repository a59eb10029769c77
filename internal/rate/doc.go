// Package rate measures and limits rates that several entries share.
//
// The types are not safe for concurrent use; their owners lock.
package rate
