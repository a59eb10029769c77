// Package randomised tests the guarantees of a deployment under random faults.
// Each run executes the stand-ins, several entry hosts and their clients in one
// process and in virtual time, under a fault schedule drawn from a seed. After
// a run, the records of all clients are checked against those of the stand-ins.
//
// The flags -first-seed and -seeds select the seeds of a long run.
package randomised
