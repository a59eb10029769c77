// Package job stores durable requests. An accepted request is recorded once and
// gets a complete answer, even if entries or engines fail in the meantime.
//
// Package delivery accepts requests and updates them through a Store. An
// Adopter runs in each entry and claims the requests of failed entries. Both
// are safe for concurrent use by all requests of the process.
//
// Rows of one request:
//
//	job/<shard>/<customer>/<id>                state, updated as it progresses
//	jobreq/<customer>/<id>                     prompt, written once
//	jobkey/<customer>/<idempotency key>        ID of the first request
//	jobown/<owner>/<incarnation>/<customer>/<id>   exists until the request ends
//
// and one row of each entry process:
//
//	jobmark/<owner>/<incarnation>              number of its last batch
//
// All writes of a process go through one batcher, which combines many accepts,
// bindings and checkpoints into one commit. The number of commits therefore
// depends on time rather than on the number of requests. Each commit rewrites
// the process's mark, conditional on the mark's version. The result of a
// commit whose reply was lost is resolved by reading the mark, and a delayed
// commit can't take effect after a later one.
//
// Adopters scan the marks, one for each process. Only for a failed process do
// they scan its jobown rows, one for each request to adopt.
//
// Every write to a request's row is conditional on the version that its owner
// last wrote, and a claim increases the record's fencing token. An owner that
// was paused while its request was claimed gets verdict.CodeFenced.
package job
