// Package rate measures and limits rates that several entries share: a token
// bucket, a decaying average of a rate, and the division of a limit into
// shares.
//
// The types are not safe for concurrent use; packages quota and admission,
// which use them, hold their own locks.
package rate
