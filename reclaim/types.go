package reclaim

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Action is what becomes of a stream.
type Action string

// Actions.
const (
	// ActionFinish leaves the stream where it is.
	ActionFinish Action = "finish"
	// ActionMoveKV exports the KV cache, imports it at the target and goes on
	// there with nothing computed again.
	ActionMoveKV Action = "move_kv"
	// ActionResume goes on at the target from the prompt and the text so far.
	ActionResume Action = "resume"
)

// Stream is a running answer on a leaving host.
type Stream struct {
	ID      string
	HostID  string
	Model   string
	Version string
	Urgency template.Urgency
	// Hashes are the prompt's block hashes of package prefix.
	Hashes []uint64
	// PromptTokens and GeneratedTokens are what the KV cache holds;
	// RemainingTokens is how many more are expected.
	PromptTokens    int
	GeneratedTokens int
	RemainingTokens int
	// DecodeRate is in tokens per second, on the leaving host.
	DecodeRate float64
	// KVBytes is the size of the KV cache; 0 where it can't be moved.
	KVBytes int64
}

// Target is an endpoint that may take streams over.
type Target struct {
	EndpointID string
	HostID     string
	Model      string
	Version    string
	// Leaving excludes the target.
	Leaving bool
	// PrefillRate and DecodeRate are in tokens per second.
	PrefillRate float64
	DecodeRate  float64
	// QueuedPromptTokens are prefilled before anything new.
	QueuedPromptTokens int
	// FreeSlots is the room in the batch; negative while streams wait.
	FreeSlots int
	// Batch is the size of the batch.
	Batch int
	// Import says that the endpoint can import a KV cache.
	Import bool
}

// Targets is what the plan may use.
type Targets struct {
	Endpoints []Target
	// Bandwidth is what a leaving host can send, in bytes per second.
	Bandwidth float64
	// Part is the part of bandwidth and slots that this entry may count on,
	// as every entry plans for its own streams; 0 means all.
	Part float64
	// Cached returns the tokens at the start of a stream's prompt that an
	// endpoint is expected to hold; nil means none.
	Cached func(streamID, endpointID string) int
}

// Decision is what becomes of one stream.
type Decision struct {
	StreamID string
	Action   Action
	// Target is the endpoint that takes the stream over; empty where it
	// finishes in place, or where no endpoint serves its model now.
	Target string
	// Start is when to begin. The stream goes on in place until then.
	Start time.Time
	// Transfer is the expected time of the KV transfer.
	Transfer time.Duration
	// Stall is the expected time without tokens from Start on.
	Stall time.Duration
	// Recomputed is the expected number of tokens computed again.
	Recomputed int
	Reason     string
}
