// Package endpoint defines the interfaces to the back ends that requests are
// routed to: model engines and plain services.
//
// Implementations are safe for concurrent use. Every error has an execution
// verdict (package verdict), which states whether the call may have run.
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

// Priority orders the streams of an engine; a higher value is scheduled first.
type Priority int

// Priorities of generation.
const (
	PriorityPatient Priority = 0
	PriorityNormal  Priority = 10
	PriorityUrgent  Priority = 20
	// PriorityResumeBoost is added for a resumed stream, so that it is
	// scheduled before new requests of the same urgency.
	PriorityResumeBoost Priority = 5
)

// GenerateRequest starts one attempt of an answer.
type GenerateRequest struct {
	// RequestID identifies the client's request, AttemptID this attempt.
	RequestID string
	AttemptID string
	Customer  string
	Model     string
	// Version is the model version that must generate the answer.
	Version  string
	Messages []Message
	// MaxTokens limits the complete answer, the resumed text included.
	MaxTokens int
	Priority  Priority
	// Resume is the answer so far; generation continues after it.
	Resume string
	// ResumeTokens is the number of tokens in Resume, and the offset of the
	// first frame.
	ResumeTokens int
	// KV is the name of an imported KV cache to continue from, as returned
	// by Engine.Import; empty for none.
	KV string
}

// Frame is one chunk of a streamed answer.
type Frame struct {
	RequestID string
	AttemptID string
	// Offset is the number of tokens of the answer before this frame.
	Offset int
	Text   string
	// Tokens is the number of tokens of Text.
	Tokens int
	// End marks the last frame. Total is then the token count of the
	// complete answer, and FinishReason is "stop" or "length".
	End          bool
	Total        int
	FinishReason string
	// Model and Version identify the model version that generated the frame,
	// as reported by the engine.
	Model   string
	Version string
	// CachedTokens is the number of prompt tokens that were found in the
	// prefix cache; it is set only on the first frame of an attempt.
	CachedTokens int
	// Load is the engine's load when the frame was sent; nil if the frame
	// has no load report.
	Load *Load
}

// Stream reads the frames of one answer. It must be used by one goroutine at
// a time.
type Stream interface {
	// ID names the stream on its engine, for Attach, Cancel and Export.
	ID() string
	// Next waits for the next frame. After the frame with End it returns
	// io.EOF. Any other error means that the stream was interrupted. The
	// end of ctx interrupts the stream, also between two calls.
	Next(ctx context.Context) (Frame, error)
	// Close stops reading. It does not cancel the stream on the engine.
	Close() error
}

// Load is the load of an engine. A report may be out of date when it is read.
type Load struct {
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedPromptTokens is the number of tokens that are not prefilled yet.
	QueuedPromptTokens int `json:"queued_prompt_tokens"`
	// PrefillRate is in tokens per second of the whole engine, DecodeRate in
	// tokens per second of one stream.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// MaxRunning is the batch size.
	MaxRunning int `json:"max_running"`
	// Leaving is set once the engine is notified that its host will be
	// reclaimed, or receives a drain order.
	Leaving bool `json:"leaving,omitempty"`
}

// CacheEvents are changes of an engine's prefix cache. Hashes are those of
// package prefix.
type CacheEvents struct {
	// First is the sequence number of the oldest returned event; a value
	// above the requested one means that events were lost. Next is the
	// sequence number with which to continue.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	// Events are in order of their sequence numbers.
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change of a prefix cache.
type CacheEvent struct {
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted,omitempty"`
}

// KV refers to an exported KV cache. The importing engine fetches it from
// Source.
type KV struct {
	// Source is the "ip:port" of the exporting engine.
	Source string `json:"source"`
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	// Tokens is the number of answer tokens generated at the export.
	Tokens int `json:"tokens"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders. Each states a desired state and is idempotent.
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
	// Fence is the fencing token of the lease under which the order is sent.
	Fence uint64 `json:"fence"`
}

// State is the state that an engine reports, with which orders are reconciled.
type State struct {
	Models []LoadedModel `json:"models"`
	Role   string        `json:"role,omitempty"`
	// Loading is set while a model is being loaded.
	Loading bool `json:"loading,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Fence is the highest fencing token received; 0 if the engine checks
	// none.
	Fence uint64 `json:"fence,omitempty"`
}

// LoadedModel is a model version that an engine can serve without loading it.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts an attempt. An error before the engine accepted it has
	// verdict.NotRun.
	Generate(ctx context.Context, r GenerateRequest) (Stream, error)
	// Attach opens a running or finished stream again at a token offset.
	// Its frames have the request and attempt IDs of that stream.
	Attach(ctx context.Context, streamID string, from int) (Stream, error)
	// Cancel stops a stream. It returns nil for an unknown stream.
	Cancel(ctx context.Context, streamID string) error
	// Export stops a stream and retains its KV cache for an import.
	Export(ctx context.Context, streamID string) (KV, error)
	// Import fetches an exported KV cache and returns the name to use in
	// GenerateRequest.KV.
	Import(ctx context.Context, kv KV) (string, error)
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events that start at a sequence number.
	CacheEvents(ctx context.Context, from uint64) (CacheEvents, error)
	// Order sends an order. Engines that check fencing tokens refuse an order
	// with an old one with verdict.NotRun and verdict.CodeFenced.
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
	// Key is the idempotency key within the service, as returned by
	// ScopedKey; empty for none.
	Key string
	// AttemptID identifies the only attempt that may send the call.
	AttemptID string
	// Fence is a fencing token for services that check it; 0 for none.
	Fence uint64
	// Timeout bounds the call; if it is 0, only the context does.
	Timeout time.Duration
}

// ScopedKey returns the idempotency key of a customer's call within a service.
// It includes the customer, since two customers may use the same key. Customer
// names contain no slash, so that scoped keys are unambiguous.
func ScopedKey(customer, key string) string { return customer + "/" + key }

// Reply is the answer of a plain service to a call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service.
type Service interface {
	// Call sends the call once and never retries it. An error before the
	// first byte was written has verdict.NotRun, any other error has
	// verdict.MayHaveRun.
	Call(ctx context.Context, c Call) (Reply, error)
	// Lookup returns the reply to the call with a key, and whether this
	// service has executed it. Services without lookup return ErrNoLookup.
	Lookup(ctx context.Context, key string) (Reply, bool, error)
}

// Client opens connections to endpoints by their address "ip:port".
type Client interface {
	Engine(addr string) Engine
	Service(addr string) Service
}
