// Package liveness decides whether a replica that broke off an answer has
// crashed.
//
// One look at its port is not enough. A process that ends closes its sockets one
// after the other, so the port may accept connections for a moment longer. A
// supervisor may hold the port for the next process, which may run at once. A
// host that is lost refuses nothing. A Watcher therefore watches a suspect for
// some seconds, and takes it for crashed at the first of these signs:
//
//   - Its port refuses a connection. A connection that the port accepts is kept
//     open as long as the replica keeps it, so that the next look follows when
//     it ends.
//   - Its address can't be reached several times in a row, while other replicas
//     answer this entry.
//   - Its port ends each connection at once for a while, as one does behind which
//     no process is left. A replica with too many connections does the same to those
//     that it doesn't accept, so that this is a sign only if an answer broke off that
//     had begun.
//   - The registry lists another incarnation, or none and the port doesn't serve.
//
// A replica that says meanwhile that it is leaving ends as planned, and so does one
// that the registry drops while its port serves: it may leave without saying so.
//
// A Watcher is safe for concurrent use. One goroutine watches each suspect.
package liveness
