// Package endpoint defines what the system needs from the back ends it
// routes to: model engines and plain services.
//
// Implementations are safe for concurrent use. Every error carries a verdict
// (package verdict).
package endpoint

import (
	"context"
	"net/http"
	"time"
)

// Message is one message of a chat prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Priority orders work inside an engine; a higher value goes first.
type Priority int

// Priorities of generation.
const (
	PriorityPatient Priority = 0
	PriorityNormal  Priority = 10
	PriorityUrgent  Priority = 20
	// PriorityResumeBoost is added for a resumed stream, so that it goes
	// before new work of the same urgency.
	PriorityResumeBoost Priority = 5
)

// GenerateRequest starts one attempt of an answer.
type GenerateRequest struct {
	// RequestID names the caller's request, AttemptID this attempt of it.
	RequestID string
	AttemptID string
	Customer  string
	Model     string
	// Version is the model version the answer must come from.
	Version  string
	Messages []Message
	// MaxTokens limits the whole answer, the resumed part included.
	MaxTokens int
	Priority  Priority
	// Resume is the answer so far; generation goes on behind it.
	Resume string
	// ResumeTokens is the number of tokens of Resume: the first frame has
	// this offset.
	ResumeTokens int
	// KV names an imported KV cache to go on from; empty for none.
	KV string
}

// Frame is one piece of an answer.
type Frame struct {
	RequestID string
	AttemptID string
	// Offset is the number of tokens of the whole answer before this frame.
	Offset int
	Text   string
	// Tokens is the number of tokens of Text.
	Tokens int
	// End marks the last frame. Total is then the token count of the whole
	// answer, and FinishReason is "stop" or "length".
	End          bool
	Total        int
	FinishReason string
	// Model and Version are what the engine says it ran.
	Model   string
	Version string
	// CachedTokens is the prompt's length found in the prefix cache; it is
	// set on an attempt's first frame only.
	CachedTokens int
	// Load is the engine's load when the frame was sent; nil for none.
	Load *Load
}

// Stream is a running answer. It is used by one goroutine.
type Stream interface {
	// ID names the stream on its engine, for Attach, Cancel and Export.
	ID() string
	// Next waits for the next frame. After the frame with End it returns
	// io.EOF. Any other error means that the stream broke. The end of ctx
	// breaks the stream, also between two calls.
	Next(ctx context.Context) (Frame, error)
	// Close stops reading. It does not cancel the stream on the engine.
	Close() error
}

// Load is an engine's load. Reports lag behind.
type Load struct {
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedPromptTokens still have to be prefilled.
	QueuedPromptTokens int `json:"queued_prompt_tokens"`
	// PrefillRate and DecodeRate are tokens per second; DecodeRate is that
	// of one stream.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// MaxRunning is the batch size.
	MaxRunning int `json:"max_running"`
	// Leaving is set once the engine knows that its host will be reclaimed.
	Leaving bool `json:"leaving,omitempty"`
}

// CacheEvents are changes of an engine's prefix cache. Hashes are those of
// package prefix.
type CacheEvents struct {
	// First is the sequence number of the oldest event returned; a value
	// above the one asked for means that events were lost. Next is the number
	// to ask for next time.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	// Events in order.
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change of a prefix cache.
type CacheEvent struct {
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted,omitempty"`
}

// KV names an exported KV cache. The importing engine fetches it from Source.
type KV struct {
	// Source is the "ip:port" of the exporting engine.
	Source string `json:"source"`
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	// Tokens is the number of answer tokens generated at the export.
	Tokens int `json:"tokens"`
}

// OrderKind is what an order asks an engine to do.
type OrderKind string

// Kinds of orders. Each states a desired end and is idempotent.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	OrderDrain  OrderKind = "drain"
)

// Order is an instruction to an engine.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which it is given.
	Fence uint64 `json:"fence"`
}

// State is what an engine reports about itself, for reconciling orders.
type State struct {
	Models []LoadedModel `json:"models"`
	Role   string        `json:"role,omitempty"`
	// Loading is set while an order to load is being carried out.
	Loading bool `json:"loading,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Fence is the highest fencing number seen; 0 where none is checked.
	Fence uint64 `json:"fence,omitempty"`
}

// LoadedModel is a model version an engine can serve now.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts an attempt. An error before the engine accepted it is
	// verdict.NotRun.
	Generate(ctx context.Context, r GenerateRequest) (Stream, error)
	// Attach reads a running or finished stream again from a token offset.
	// Frames carry the stream's own request and attempt IDs.
	Attach(ctx context.Context, streamID string, from int) (Stream, error)
	// Cancel stops a stream. An unknown stream is no error.
	Cancel(ctx context.Context, streamID string) error
	// Export stops a stream and keeps its KV cache for an import.
	Export(ctx context.Context, streamID string) (KV, error)
	// Import fetches an exported KV cache and returns the name to use in
	// GenerateRequest.KV.
	Import(ctx context.Context, kv KV) (string, error)
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events from a sequence number on.
	CacheEvents(ctx context.Context, from uint64) (CacheEvents, error)
	// Order gives an order. An old fencing number is refused with
	// verdict.NotRun and verdict.CodeFenced by engines that check.
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (State, error)
}

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path starts with "/" and may have a query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key within the service, as ScopedKey gives it;
	// empty for none.
	Key string
	// AttemptID names the one attempt that may send the call.
	AttemptID string
	// Fence is a fencing number for services that check it; 0 for none.
	Fence uint64
	// Timeout bounds the call; 0 leaves it to the context.
	Timeout time.Duration
}

// ScopedKey is the idempotency key by which a service knows a customer's call.
// Two customers may use the same key of their own. Names of customers have no
// slash.
func ScopedKey(customer, key string) string { return customer + "/" + key }

// Reply is a plain service's answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service.
type Service interface {
	// Call sends the call once and never again by itself. An error before
	// the first byte was written is verdict.NotRun, any other one
	// verdict.MayHaveRun.
	Call(ctx context.Context, c Call) (Reply, error)
	// Lookup asks whether a key was executed by this service. Services that
	// can't be asked return ErrNoLookup.
	Lookup(ctx context.Context, key string) (Reply, bool, error)
}

// Client opens connections to endpoints by their address "ip:port".
type Client interface {
	Engine(addr string) Engine
	Service(addr string) Service
}
