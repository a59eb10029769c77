package job

import (
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra/sweep"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// State is the state of a request.
type State string

// States of a request.
const (
	StateAccepted State = "accepted"
	StateRunning  State = "running"
	StateDone     State = "done"
	StateFailed   State = "failed"
)

// Finished says whether the state is final.
func (s State) Finished() bool { return s == StateDone || s == StateFailed }

// Record is one durable request.
type Record struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Kind is the request kind of the template version it began with.
	Kind            string `json:"kind"`
	TemplateVersion uint64 `json:"template_version"`
	Model           string `json:"model"`
	Version         string `json:"version"`
	MaxTokens       int    `json:"max_tokens,omitempty"`
	// IdempotencyKey is the caller's; empty for none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// BodyHash tells a repeat from another request under the same key.
	BodyHash string `json:"body_hash,omitempty"`

	// Owner and OwnerIncarnation name the process that serves it. Fence grows
	// with each claim.
	Owner            string `json:"owner"`
	OwnerIncarnation string `json:"owner_incarnation"`
	Fence            uint64 `json:"fence"`

	State State `json:"state"`
	// Stream locates the engine's stream while it runs.
	Stream     Stream     `json:"stream"`
	Checkpoint Checkpoint `json:"checkpoint"`
	// Answer is set in a final state.
	Answer *Answer `json:"answer,omitempty"`

	// PromptObject is the prompt's object, where it is too large for a row.
	PromptObject string `json:"prompt_object,omitempty"`
	// Messages is the prompt. It has a row of its own: Get leaves it out,
	// Claim fills it in.
	Messages []endpoint.Message `json:"-"`
	// Joined is set by Accept when an earlier request had the same key.
	Joined bool `json:"-"`
}

// Stream locates a stream on an engine, for whoever reads it on.
type Stream struct {
	HostID     string `json:"host_id,omitempty"`
	EndpointID string `json:"endpoint_id,omitempty"`
	// Addr is the engine's "ip:port".
	Addr string `json:"addr,omitempty"`
	// ID is empty while no engine has taken the request.
	ID string `json:"id,omitempty"`
	// AttemptID is on each frame of the stream.
	AttemptID string `json:"attempt_id,omitempty"`
}

// Checkpoint is the answer so far.
type Checkpoint struct {
	Tokens int  `json:"tokens,omitempty"`
	Text   Text `json:"text"`
}

// Answer is how a request ended.
type Answer struct {
	Text         Text   `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Verdict, Code and Message describe a failure.
	Verdict string       `json:"verdict,omitempty"`
	Code    verdict.Code `json:"code,omitempty"`
	Message string       `json:"message,omitempty"`
}

// Text is a text kept in its row, or in the object store when it is large.
type Text struct {
	Inline string `json:"inline,omitempty"`
	// Object is the object's key.
	Object string `json:"object,omitempty"`
}

// Prefixes of table rows.
const (
	jobPrefix     = "job/"
	requestPrefix = "jobreq/"
	keyPrefix     = "jobkey/"
	ownPrefix     = "jobown/"
	markPrefix    = "jobmark/"
)

// key joins escaped parts, so that no part can reach into another's rows.
func key(prefix string, parts ...string) string {
	for i, part := range parts {
		if i > 0 {
			prefix += "/"
		}
		prefix += url.PathEscape(part)
	}
	return prefix
}

func (r *Record) row() string        { return jobRow(r.Customer, r.ID) }
func (r *Record) requestRow() string { return key(requestPrefix, r.Customer, r.ID) }
func (r *Record) keyRow() string     { return key(keyPrefix, r.Customer, r.IdempotencyKey) }
func (r *Record) ownRow() string {
	return key(ownPrefix, r.Owner, r.OwnerIncarnation, r.Customer, r.ID)
}

// jobRow returns the key of a request's state, in its shard for the sweep.
func jobRow(customer, id string) string {
	return key(sweep.Shard(jobPrefix, customer+"/"+id), customer, id)
}

func encode(v any) ([]byte, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInternal, "job: encode: %w", err)
	}
	return value, nil
}

func decode(value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("job: decode: %w", err)
	}
	return nil
}
