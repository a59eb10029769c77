// Package relay relays one answer from engines to its client.
//
// Relay.Run serves one request: it chooses an endpoint, starts an engine stream
// and writes the answer to a Sink. Many calls of Run may be active at once, and
// Relay.Move may move any of their streams off its host at any time.
//
// The client receives one gapless sequence of tokens despite faults of the
// streams: late, misdelivered and repeated frames are dropped, a stream with a
// gap is read again, and a broken stream is resumed on another endpoint from
// the text so far. An answer is complete only when the engine's end mark
// arrives with a matching token count.
package relay
