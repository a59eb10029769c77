// Package randomised tests the guarantees of a deployment under random faults.
// Each run plays the stand-ins, several entry hosts and their clients in one
// process and in virtual time, under a fault schedule drawn from a seed. After
// a run, the history of every client is checked against what the stand-ins
// recorded.
//
// The flags -first-seed and -seeds select the seeds of a long run.
package randomised
