package delivery

import (
	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Request is an admitted chat request.
type Request struct {
	ID       string
	Customer template.Customer
	Kind     template.Kind
	// TemplateVersion is the template version that applies to the request
	// until its end.
	TemplateVersion uint64
	Model           string
	Version         string
	Messages        []endpoint.Message
	Hashes          []uint64
	PromptTokens    int
	MaxTokens       int
	// IdempotencyKey is the client's idempotency key; empty for none. A repeat
	// with the same key joins the first request.
	IdempotencyKey string
	// Ticket is released when the answer ends.
	Ticket *admission.Ticket
}

// Chunk is a part of a streamed answer.
type Chunk = relay.Chunk

// Summary describes a complete answer.
type Summary struct {
	PromptTokens int
	Tokens       int
	FinishReason string
}

// Output writes an answer to its client. Its methods are called by one
// goroutine; an error means that the client has disconnected.
type Output interface {
	// Bound reports the endpoint that accepted the request. It is called again
	// if the request moves to another endpoint.
	Bound(endpointID string) error
	Write(chunk Chunk) error
	End(s Summary) error
}

// Status is the state of a durable request.
type Status struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Model string `json:"model"`
	// Tokens is the number of tokens generated. At an entry that does not run
	// the request it is the number last recorded.
	Tokens          int    `json:"tokens"`
	TemplateVersion uint64 `json:"template_version"`
	// Text and FinishReason are set once the answer is complete.
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Verdict and Error are set if the request has failed.
	Verdict string `json:"verdict,omitempty"`
	Error   string `json:"error,omitempty"`
}
