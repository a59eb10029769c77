package standin

import (
	"container/heap"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// queue orders streams by priority, then by arrival.
type queue struct{ streams []*stream }

func (q *queue) push(s *stream) { heap.Push(q, s) }

func (q *queue) pop() *stream { return heap.Pop(q).(*stream) }

func (q *queue) peek() *stream {
	if len(q.streams) == 0 {
		return nil
	}
	return q.streams[0]
}

func (q *queue) remove(s *stream) {
	for i, other := range q.streams {
		if other == s {
			heap.Remove(q, i)
			return
		}
	}
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.streams) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.streams[i], q.streams[j]
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return a.arrival < b.arrival
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.streams[i], q.streams[j] = q.streams[j], q.streams[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.streams = append(q.streams, x.(*stream)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := q.streams[len(q.streams)-1]
	q.streams = q.streams[:len(q.streams)-1]
	return last
}

// scheduleLocked fills the batch from the waiting streams, and runs the prefill
// of the stream with the highest priority in the batch. It interrupts the
// prefill of a stream with a lower priority.
func (e *Engine) scheduleLocked() {
	for e.running < e.cfg.MaxRunning && e.waiting.Len() > 0 {
		s := e.waiting.pop()
		s.state = statePrefill
		s.prefillLeft = -1
		e.running++
		e.prefills.push(s)
	}
	next, current := e.prefills.peek(), e.prefilling
	if next == nil {
		e.recordLoadLocked()
		return
	}
	if current != nil {
		if next.request.Priority <= current.request.Priority {
			e.recordLoadLocked()
			return
		}
		e.pausePrefillLocked(current)
	}
	e.startPrefillLocked(e.prefills.pop())
	e.recordLoadLocked()
}

// pausePrefillLocked interrupts a prefill and queues the rest of it.
func (e *Engine) pausePrefillLocked(s *stream) {
	e.stopTimerLocked(s.timer)
	s.prefillLeft = max(0, s.prefillLeft-time.Since(s.started))
	e.prefilling = nil
	e.prefills.push(s)
}

func (e *Engine) startPrefillLocked(s *stream) {
	if s.prefillLeft < 0 {
		e.preparePrefillLocked(s)
	}
	e.prefilling = s
	s.started = time.Now()
	s.timer = e.afterLocked(s.prefillLeft, func() { e.startDecodeLocked(s) })
}

// preparePrefillLocked looks the context up in the cache, sets the duration of
// the prefill and counts the attempt.
func (e *Engine) preparePrefillLocked(s *stream) {
	cached := e.cachedLocked(s)
	s.uncached = s.contextTokens - cached
	s.prefillLeft = seconds(float64(s.uncached) / e.cfg.PrefillRate)
	a := s.attempt
	a.KVTokens = s.kvTokens
	a.CachedTokens = cached
	a.PrefilledTokens = s.uncached
	a.RecomputedTokens = min(s.uncached, s.request.ResumeTokens)
	e.totals.add(a)
	e.cache.use(s.hashes)
}

// cachedLocked returns the number of tokens of a stream's context that need no
// prefill.
func (e *Engine) cachedLocked(s *stream) int {
	cached := e.cache.match(s.hashes) * prefix.BlockTokens
	return min(s.contextTokens, max(cached, s.kvTokens))
}

func (e *Engine) startDecodeLocked(s *stream) {
	e.prefilling = nil
	e.cache.add(s.hashes)
	s.uncached = 0
	s.state = stateDecode
	s.firstTokenAt = time.Now()
	s.tokenInterval = seconds(1 / e.cfg.DecodeRate)
	rest := max(0, s.total-s.request.ResumeTokens-1)
	s.timer = e.afterLocked(time.Duration(rest)*s.tokenInterval, func() { e.completeStreamLocked(s) })
	s.notify()
	e.scheduleLocked()
}

func (e *Engine) completeStreamLocked(s *stream) {
	e.endStreamLocked(s, s.total, nil)
	e.running--
	e.scheduleLocked()
}

// abortStreamLocked ends a stream early with a cause. It does nothing if the
// stream has ended.
func (e *Engine) abortStreamLocked(s *stream, cause error) {
	if s.state == stateDone {
		return
	}
	tokens := s.generated(time.Now())
	e.stopTimerLocked(s.timer)
	switch s.state {
	case stateWaiting:
		e.waiting.remove(s)
	default:
		e.prefills.remove(s)
		if e.prefilling == s {
			e.prefilling = nil
		}
		e.running--
	}
	e.endStreamLocked(s, tokens, cause)
	if !e.crashed {
		e.scheduleLocked()
	}
}

// endStreamLocked marks a stream as ended after a number of tokens, and retains
// it for EngineConfig.Retention, so that clients can attach to it.
func (e *Engine) endStreamLocked(s *stream, tokens int, cause error) {
	if s.state == stateDecode && !e.crashed {
		e.cache.add(s.contextHashes(tokens))
	}
	s.state = stateDone
	s.finalTokens = tokens
	s.cause = cause
	s.attempt.GeneratedTokens = tokens - s.request.ResumeTokens
	s.attempt.Ended = true
	e.totals.GeneratedTokens += int64(s.attempt.GeneratedTokens)
	s.notify()
	if !e.crashed {
		e.afterLocked(e.cfg.Retention, func() { delete(e.streams, s.id) })
	}
}

// contextHashes returns the block hashes of the prompt and the first tokens
// of the answer.
func (s *stream) contextHashes(tokens int) []uint64 {
	text := prefix.Text(s.request.Messages) + s.script.text(0, tokens)
	hashes, _ := prefix.Hashes(s.request.Customer, text)
	return hashes
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
