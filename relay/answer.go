package relay

import (
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// frameAction is the action to take for a received frame.
type frameAction int

const (
	// actionDrop ignores the frame.
	actionDrop frameAction = iota
	// actionDeliver delivers the frame's text to the sink.
	actionDeliver
	// actionEnd delivers the frame's text and completes the answer.
	actionEnd
	// actionReread reads the stream again from the answer's offset.
	actionReread
	// actionAbandon abandons the stream, so that the answer is resumed on
	// another endpoint.
	actionAbandon
)

// answer holds the text of one answer received so far.
type answer struct {
	request *Request
	text    strings.Builder
	tokens  int
}

func newAnswer(r *Request) *answer {
	a := &answer{request: r, tokens: r.ResumeTokens}
	a.text.WriteString(r.Resume)
	return a
}

// classifyFrame returns the action for a frame of the given attempt. It does
// not change the answer.
func (a *answer) classifyFrame(attempt string, f endpoint.Frame) frameAction {
	if f.RequestID != a.request.ID || f.AttemptID != attempt {
		return actionDrop
	}
	if f.Model != a.request.Model || f.Version != a.request.Version {
		return actionAbandon
	}
	if f.Offset > a.tokens {
		return actionReread
	}
	if f.Offset < a.tokens {
		return a.classifyOldFrame(f)
	}
	if !f.End {
		return actionDeliver
	}
	if f.Total != a.tokens+f.Tokens {
		return actionReread
	}
	return actionEnd
}

// classifyOldFrame returns the action for a frame that begins before the
// answer's offset. A repetition is dropped. A frame that extends beyond the
// offset, or an end mark, means that the stream and the answer don't match, so
// the stream is read again.
func (a *answer) classifyOldFrame(f endpoint.Frame) frameAction {
	if f.End || f.Offset+f.Tokens > a.tokens {
		return actionReread
	}
	return actionDrop
}

// appendFrame appends the frame's text and returns it as the next chunk.
func (a *answer) appendFrame(f endpoint.Frame) Chunk {
	invariant.Check(f.Offset == a.tokens, invariant.GaplessOffsets,
		"request %s: frame at %d, answer at %d", a.request.ID, f.Offset, a.tokens)
	invariant.Check(f.RequestID == a.request.ID, invariant.AnswerOwner,
		"request %s: frame of %s", a.request.ID, f.RequestID)
	chunk := Chunk{Offset: a.tokens, Text: f.Text, Tokens: f.Tokens}
	a.text.WriteString(f.Text)
	a.tokens += f.Tokens
	return chunk
}
