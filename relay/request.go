package relay

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Request is one caller's request for an answer. It is not changed after it
// was handed to Run.
type Request struct {
	ID       string
	Customer string
	Model    string
	// Version is the model version that must answer.
	Version  string
	Messages []endpoint.Message
	// Hashes and PromptTokens are those of prefix.Hashes for the prompt.
	Hashes       []uint64
	PromptTokens int
	MaxTokens    int
	Urgency      template.Urgency
	// Deadline is the time left until the first token.
	Deadline time.Duration
	// Durable keeps the engine's stream when the work here ends early, for
	// whoever takes the request over.
	Durable bool
	// Resume is the answer so far of a request that is taken over, and
	// ResumeTokens its token count.
	Resume       string
	ResumeTokens int
	// Attach names a running stream to read first; nil for none.
	Attach *Binding
}

// Binding is where an attempt runs.
type Binding struct {
	HostID     string
	EndpointID string
	Addr       string
	StreamID   string
	AttemptID  string
}

// Chunk is the next part of an answer.
type Chunk struct {
	// Offset is the number of tokens before this piece.
	Offset int
	Text   string
	Tokens int
}

// Sink takes an answer in order. Its methods are called by one goroutine. An
// error stops the relay with that error.
type Sink interface {
	// Bound tells where the answer is generated from now on.
	Bound(ctx context.Context, b Binding) error
	// Write takes the next piece. It may block; the engine's stream is then
	// not read.
	Write(ctx context.Context, p Chunk) error
}

// Result describes a whole answer.
type Result struct {
	Tokens       int
	FinishReason string
	EndpointID   string
	CachedTokens int
	// FirstToken is the time from Run to the first piece.
	FirstToken time.Duration
	// Attempts counts engine streams, Recomputed the tokens that had to be
	// computed again after the first.
	Attempts   int
	Recomputed int
}

// Fleet chooses endpoints. *routing.Fleet implements it.
type Fleet interface {
	Choose(r routing.Request) (routing.Choice, error)
	Started(c routing.Choice, first endpoint.Frame)
	Progress(c routing.Choice, l endpoint.Load)
	Done(c routing.Choice, o routing.Outcome)
}

// Retries is the budget for attempts after the first.
type Retries interface {
	// Retry says whether a customer may start one more attempt now.
	Retry(customer string) bool
}
