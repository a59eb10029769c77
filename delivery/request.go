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
	// TemplateVersion is the version the request keeps to its end.
	TemplateVersion uint64
	Model           string
	Version         string
	Messages        []endpoint.Message
	Hashes          []uint64
	PromptTokens    int
	MaxTokens       int
	// IdempotencyKey makes a repeat join the first request; empty for none.
	IdempotencyKey string
	// Ticket is given back when the answer ends.
	Ticket *admission.Ticket
}

// Chunk is the next part of an answer.
type Chunk = relay.Chunk

// Summary ends a whole answer.
type Summary struct {
	PromptTokens int
	Tokens       int
	FinishReason string
}

// Output takes an answer for its caller. Its methods are called by one
// goroutine; an error means that the caller is gone.
type Output interface {
	// Bound tells which endpoint took the request. It may be called again
	// when the request moves.
	Bound(endpointID string) error
	Write(p Chunk) error
	End(s Summary) error
}

// Status is the state of a durable request.
type Status struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Model string `json:"model"`
	// Tokens generated so far, as last recorded.
	Tokens          int    `json:"tokens"`
	TemplateVersion uint64 `json:"template_version"`
	// Text and FinishReason are set once the answer is whole.
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Verdict and Error are set when the request failed.
	Verdict string `json:"verdict,omitempty"`
	Error   string `json:"error,omitempty"`
}
