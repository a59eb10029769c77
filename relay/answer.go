package relay

import (
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// step is what has to happen after a frame was looked at.
type step int

const (
	// stepDrop ignores the frame.
	stepDrop step = iota
	// stepDeliver passes the frame's text on.
	stepDeliver
	// stepEnd passes the text on and ends the answer.
	stepEnd
	// stepReread reads the stream again from the answer's offset.
	stepReread
	// stepAbandon leaves the stream for another endpoint.
	stepAbandon
)

// answer is the state of one answer.
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

// judge decides what a frame of an attempt means for the answer. It changes
// nothing.
func (a *answer) judge(attempt string, f endpoint.Frame) step {
	if f.RequestID != a.request.ID || f.AttemptID != attempt {
		return stepDrop
	}
	if f.Model != a.request.Model || f.Version != a.request.Version {
		return stepAbandon
	}
	if f.Offset > a.tokens {
		return stepReread
	}
	if f.Offset < a.tokens {
		return a.judgeOld(f)
	}
	if !f.End {
		return stepDeliver
	}
	if f.Total != a.tokens+f.Tokens {
		return stepReread
	}
	return stepEnd
}

// judgeOld looks at a frame from before the answer's offset: a repetition is
// dropped, but one that reaches past the offset leaves a gap behind it.
func (a *answer) judgeOld(f endpoint.Frame) step {
	if f.End || f.Offset+f.Tokens > a.tokens {
		return stepReread
	}
	return stepDrop
}

// take appends the frame's text and returns it as the next piece.
func (a *answer) take(f endpoint.Frame) Chunk {
	invariant.Check(f.Offset == a.tokens, invariant.GaplessOffsets,
		"request %s: frame at %d, answer at %d", a.request.ID, f.Offset, a.tokens)
	invariant.Check(f.RequestID == a.request.ID, invariant.AnswerOwner,
		"request %s: frame of %s", a.request.ID, f.RequestID)
	p := Chunk{Offset: a.tokens, Text: f.Text, Tokens: f.Tokens}
	a.text.WriteString(f.Text)
	a.tokens += f.Tokens
	return p
}
