package reclaim

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Action is the planned treatment of a stream on a draining host.
type Action string

// Actions.
const (
	// ActionFinish lets the stream finish in place.
	ActionFinish Action = "finish"
	// ActionMoveKV exports the KV cache, imports it at the target and
	// continues there without recomputing anything.
	ActionMoveKV Action = "move_kv"
	// ActionResume resumes the stream at the target from the prompt and the
	// text so far.
	ActionResume Action = "resume"
)

// Stream is a running answer on a draining host.
type Stream struct {
	ID      string
	HostID  string
	Model   string
	Version string
	Urgency template.Urgency
	// Hashes are the prompt's block hashes, as returned by prefix.Hashes.
	Hashes []uint64
	// PromptTokens and GeneratedTokens are the numbers of tokens in the KV
	// cache; RemainingTokens is how many more are expected.
	PromptTokens    int
	GeneratedTokens int
	RemainingTokens int
	// DecodeRate is in tokens per second, on the draining host.
	DecodeRate float64
	// KVBytes is the size of the KV cache; 0 if it can't be moved.
	KVBytes int64
}

// Target is an endpoint to which streams may be moved.
type Target struct {
	EndpointID string
	HostID     string
	Model      string
	Version    string
	// Leaving is set while the endpoint drains, and excludes it.
	Leaving bool
	// PrefillRate and DecodeRate are in tokens per second.
	PrefillRate float64
	DecodeRate  float64
	// QueuedPromptTokens is the number of queued prompt tokens, which are
	// prefilled before any new request.
	QueuedPromptTokens int
	// FreeSlots is the number of free slots in the batch; negative while
	// streams wait.
	FreeSlots int
	// Batch is the number of slots in the batch.
	Batch int
	// Import is set if the endpoint can import a KV cache.
	Import bool
}

// Targets are the endpoints and resources that a plan may use.
type Targets struct {
	Endpoints []Target
	// Bandwidth is the rate at which a draining host can send, in bytes per
	// second.
	Bandwidth float64
	// Share is the share of bandwidth and slots that this entry may use,
	// because every entry plans for its own streams; 0 means all.
	Share float64
	// Cached returns how many tokens at the start of a stream's prompt an
	// endpoint is expected to have cached; nil means none.
	Cached func(streamID, endpointID string) int
}

// Decision is the plan for one stream.
type Decision struct {
	StreamID string
	Action   Action
	// Target is the endpoint that continues the stream; empty if the stream
	// finishes in place or no endpoint serves its model now.
	Target string
	// Start is the time to begin the action. Until then the stream continues
	// in place.
	Start time.Time
	// Transfer is the expected duration of the KV transfer.
	Transfer time.Duration
	// Stall is the expected time without new tokens from Start on.
	Stall time.Duration
	// Recomputed is the expected number of tokens that are computed again.
	Recomputed int
	// Reason is a short text on why the action was chosen, for the log.
	Reason string
}
