// Package protocol holds the JSON bodies and paths of the HTTP interface of
// model engines and plain services, which endpoint/standin serves and
// endpoint/rest calls.
//
// A generation is an OpenAI-compatible chat completion. Fields that OpenAI's
// interface lacks are in an object "coltsfootcleat" of the request and of each
// chunk, and in headers.
package protocol

import (
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/httpjson"
)

// Paths of an engine.
const (
	PathGenerate = "/v1/chat/completions"
	PathAttach   = "/engine/streams/attach"
	PathCancel   = "/engine/streams/cancel"
	PathExport   = "/engine/streams/export"
	PathImport   = "/engine/kv/import"
	PathKV       = "/engine/kv"
	PathLoad     = "/engine/load"
	PathEvents   = "/engine/events"
	PathOrder    = "/engine/order"
	PathState    = "/engine/state"
)

// PathLookup is the path of the lookup of executed keys of a plain service.
const PathLookup = "/.well-known/executions"

// Headers of engines and services.
const (
	HeaderRequest = "X-Request-Id"
	HeaderAttempt = "X-Attempt-Id"
	HeaderStream  = "X-Stream-Id"
	HeaderVersion = "X-Model-Version"
	HeaderFence   = "X-Fence"
	HeaderKey     = "Idempotency-Key"
)

// Done is the data of the event after the last chunk.
const Done = "[DONE]"

// Object names of chat completions.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
)

// GenerateBody is the body of a generation.
type GenerateBody struct {
	Model     string             `json:"model"`
	Messages  []endpoint.Message `json:"messages"`
	MaxTokens int                `json:"max_tokens,omitempty"`
	Stream    bool               `json:"stream"`
	Extension GenerateExtension  `json:"coltsfootcleat"`
}

// GenerateExtension holds the fields of endpoint.GenerateRequest that OpenAI's
// body lacks.
type GenerateExtension struct {
	RequestID    string            `json:"request_id,omitempty"`
	AttemptID    string            `json:"attempt_id,omitempty"`
	Customer     string            `json:"customer,omitempty"`
	Version      string            `json:"version,omitempty"`
	Priority     endpoint.Priority `json:"priority,omitempty"`
	Resume       string            `json:"resume,omitempty"`
	ResumeTokens int               `json:"resume_tokens,omitempty"`
	KV           string            `json:"kv,omitempty"`
}

// Chunk is one event of a streamed answer, or a complete answer.
type Chunk struct {
	ID        string           `json:"id"`
	Object    string           `json:"object"`
	Created   int64            `json:"created"`
	Model     string           `json:"model"`
	Choices   []Choice         `json:"choices"`
	Usage     *Usage           `json:"usage,omitempty"`
	Extension *Extension       `json:"coltsfootcleat,omitempty"`
	Error     *httpjson.Detail `json:"error,omitempty"`
}

// Choice is the only choice of a chunk or of a complete answer.
type Choice struct {
	Index        int               `json:"index"`
	Delta        *Delta            `json:"delta,omitempty"`
	Message      *endpoint.Message `json:"message,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

// Delta is the text of a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of a complete answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Extension holds the fields of endpoint.Frame that OpenAI's chunk lacks.
type Extension struct {
	RequestID    string         `json:"request_id,omitempty"`
	AttemptID    string         `json:"attempt_id,omitempty"`
	Offset       int            `json:"offset"`
	Tokens       int            `json:"tokens"`
	End          bool           `json:"end,omitempty"`
	Total        int            `json:"total,omitempty"`
	Version      string         `json:"version,omitempty"`
	CachedTokens int            `json:"cached_tokens,omitempty"`
	Load         *endpoint.Load `json:"load,omitempty"`
}

// ImportAnswer is the JSON answer to an import of a KV cache. Name refers to
// the imported cache.
type ImportAnswer struct {
	Name string `json:"name"`
}

// KVContent describes an exported KV cache; the engine that imports it
// fetches it from the one that exported it.
type KVContent struct {
	Customer string `json:"customer"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	// Seed identifies the model, its version and the prompt; PromptTokens
	// and Tokens are the lengths of the prompt and of the answer so far.
	Seed         uint64 `json:"seed"`
	PromptTokens int    `json:"prompt_tokens"`
	Tokens       int    `json:"tokens"`
}

// LookupAnswer is the JSON answer to a lookup. Found is set if the key was
// executed, and Reply is the reply to it.
type LookupAnswer struct {
	Found bool            `json:"found"`
	Reply *endpoint.Reply `json:"reply,omitempty"`
}

// ChunkOf returns the chunk that contains a frame.
func ChunkOf(f endpoint.Frame) Chunk {
	choice := Choice{Delta: &Delta{Content: f.Text}}
	if f.End {
		choice.FinishReason = &f.FinishReason
	}
	return Chunk{
		ID: f.RequestID, Object: ObjectChunk, Model: f.Model, Choices: []Choice{choice},
		Extension: &Extension{
			RequestID: f.RequestID, AttemptID: f.AttemptID, Offset: f.Offset, Tokens: f.Tokens,
			End: f.End, Total: f.Total, Version: f.Version, CachedTokens: f.CachedTokens, Load: f.Load,
		},
	}
}

// FrameOf returns the frame in a chunk, or false if the chunk has none.
func FrameOf(c *Chunk) (endpoint.Frame, bool) {
	if c.Extension == nil || len(c.Choices) != 1 || c.Choices[0].Delta == nil {
		return endpoint.Frame{}, false
	}
	x, choice := c.Extension, c.Choices[0]
	f := endpoint.Frame{
		RequestID: x.RequestID, AttemptID: x.AttemptID, Offset: x.Offset, Text: choice.Delta.Content, Tokens: x.Tokens,
		End: x.End, Total: x.Total, Model: c.Model, Version: x.Version, CachedTokens: x.CachedTokens, Load: x.Load,
	}
	if choice.FinishReason != nil {
		f.FinishReason = *choice.FinishReason
	}
	return f, true
}

// CompletionOf returns the complete answer with the given last frame and text.
func CompletionOf(last endpoint.Frame, text string) Chunk {
	message := endpoint.Message{Role: "assistant", Content: text}
	c := ChunkOf(last)
	c.Object = ObjectCompletion
	c.Choices = []Choice{{Message: &message, FinishReason: &last.FinishReason}}
	c.Usage = &Usage{CompletionTokens: last.Total, TotalTokens: last.Total}
	return c
}

// BodyOf returns the body of a streamed generation.
func BodyOf(r endpoint.GenerateRequest) GenerateBody {
	return GenerateBody{
		Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true,
		Extension: GenerateExtension{
			RequestID: r.RequestID, AttemptID: r.AttemptID, Customer: r.Customer, Version: r.Version,
			Priority: r.Priority, Resume: r.Resume, ResumeTokens: r.ResumeTokens, KV: r.KV,
		},
	}
}

// Request returns the generation request that a body contains.
func (b GenerateBody) Request() endpoint.GenerateRequest {
	x := b.Extension
	return endpoint.GenerateRequest{
		RequestID: x.RequestID, AttemptID: x.AttemptID, Customer: x.Customer, Model: b.Model, Version: x.Version,
		Messages: b.Messages, MaxTokens: b.MaxTokens, Priority: x.Priority,
		Resume: x.Resume, ResumeTokens: x.ResumeTokens, KV: x.KV,
	}
}
