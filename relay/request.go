package relay

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Request is one client's request for an answer. It must not be changed once it
// has been passed to Run.
type Request struct {
	ID       string
	Customer string
	Model    string
	// Version is the model version that must generate the answer.
	Version  string
	Messages []endpoint.Message
	// Hashes and PromptTokens describe the prompt, as returned by
	// prefix.Hashes.
	Hashes       []uint64
	PromptTokens int
	MaxTokens    int
	Urgency      template.Urgency
	// Deadline is the time left until the first token.
	Deadline time.Duration
	// Durable keeps the engine's stream running when Run ends early, for
	// the entry that adopts the request.
	Durable bool
	// Resume is the answer so far of an adopted request, and ResumeTokens
	// its token count.
	Resume       string
	ResumeTokens int
	// Attach identifies a running stream to read first; nil for none.
	Attach *Binding
}

// Binding identifies the engine stream of an attempt and where it runs.
type Binding struct {
	HostID     string
	EndpointID string
	Addr       string
	StreamID   string
	AttemptID  string
}

// Chunk is the next part of a streamed answer.
type Chunk struct {
	// Offset is the number of tokens before this chunk.
	Offset int
	Text   string
	Tokens int
}

// Sink receives an answer in order. Its methods are called from one goroutine.
// An error stops the relay with that error.
type Sink interface {
	// Bound is called with the stream that generates the answer from now
	// on.
	Bound(ctx context.Context, b Binding) error
	// Write receives the next chunk. It may block; the engine's stream is
	// not read meanwhile.
	Write(ctx context.Context, chunk Chunk) error
}

// Result describes a complete answer.
type Result struct {
	Tokens       int
	FinishReason string
	EndpointID   string
	CachedTokens int
	// FirstToken is the time from the call of Run to the first chunk.
	FirstToken time.Duration
	// Attempts is the number of engine streams. Recomputed is the number of
	// tokens that attempts after the first had to compute again.
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
	// Retry withdraws one retry from a customer's budget. It returns false
	// if the customer may not start another attempt now.
	Retry(customer string) bool
}
