// Package relay carries one answer from engines to its caller.
//
// To the caller the answer is one gapless sequence of tokens, whatever
// happens behind it: frames that are late, crossed or repeated are dropped,
// a stream with a gap is read again, and a stream that breaks is resumed on
// another endpoint from the text so far. An answer ends only by the engine's
// end mark with a matching token count.
package relay
