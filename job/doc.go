// Package job keeps durable requests: accepted once, answered whole, by any
// entry, whatever dies in between.
//
// Rows of one request:
//
//	job/<shard>/<customer>/<id>                state, rewritten as it goes on
//	jobreq/<customer>/<id>                     prompt, written once
//	jobkey/<customer>/<idempotency key>        id of the first request
//	jobown/<owner>/<incarnation>/<customer>/<id>   while it is not finished
//
// and one row of each entry process:
//
//	jobmark/<owner>/<incarnation>              number of its last batch
//
// All writes of a process go through one batcher: many accepts, bindings and
// checkpoints make one commit, so that commits grow with time and not with
// requests. Each commit rewrites the process's mark, conditional on the
// mark's version. A commit whose answer is lost is therefore decided by
// reading the mark back, and a delayed one can't take effect after the next.
//
// Adopters scan the marks, which are as many as processes, and only for a
// dead process its jobown rows, which are as many as requests to adopt.
//
// Every write of a request is conditional on the version its owner last saw,
// and a claim raises the record's fencing number. A paused owner that wakes
// after its request was claimed gets verdict.CodeFenced.
package job
