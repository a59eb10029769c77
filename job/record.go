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

// Finished reports whether the state is final.
func (s State) Finished() bool { return s == StateDone || s == StateFailed }

// Record is one durable request.
type Record struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Kind is the name of the request kind, and TemplateVersion the version of
	// the template at which the request was accepted.
	Kind            string `json:"kind"`
	TemplateVersion uint64 `json:"template_version"`
	Model           string `json:"model"`
	Version         string `json:"version"`
	MaxTokens       int    `json:"max_tokens,omitempty"`
	// IdempotencyKey is the client's idempotency key; empty for none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// BodyHash distinguishes a repeat from a different request with the same
	// key.
	BodyHash string `json:"body_hash,omitempty"`

	// Owner and OwnerIncarnation identify the process that runs the request.
	// Fence is its fencing token, which grows with each claim.
	Owner            string `json:"owner"`
	OwnerIncarnation string `json:"owner_incarnation"`
	Fence            uint64 `json:"fence"`

	State State `json:"state"`
	// Stream locates the engine's stream while the request runs.
	Stream     Stream     `json:"stream"`
	Checkpoint Checkpoint `json:"checkpoint"`
	// Answer is set in a final state.
	Answer *Answer `json:"answer,omitempty"`

	// PromptObject names the prompt's object if the prompt is too large for a
	// row.
	PromptObject string `json:"prompt_object,omitempty"`
	// Messages is the prompt, which has a separate row. Claim reads it, Get
	// does not.
	Messages []endpoint.Message `json:"-"`
	// Joined is set by Accept if an earlier request had the same key.
	Joined bool `json:"-"`
}

// Stream locates a stream on an engine, so that another entry can read it.
type Stream struct {
	HostID     string `json:"host_id,omitempty"`
	EndpointID string `json:"endpoint_id,omitempty"`
	// Addr is the engine's "ip:port".
	Addr string `json:"addr,omitempty"`
	// ID is empty until an engine has accepted the request.
	ID string `json:"id,omitempty"`
	// AttemptID is contained in each frame of the stream.
	AttemptID string `json:"attempt_id,omitempty"`
}

// Checkpoint is the part of the answer that was generated and recorded.
type Checkpoint struct {
	Tokens int  `json:"tokens,omitempty"`
	Text   Text `json:"text"`
}

// Answer is the complete answer of a request, or its failure.
type Answer struct {
	Text         Text   `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Verdict, Code and Message describe a failure.
	Verdict string       `json:"verdict,omitempty"`
	Code    verdict.Code `json:"code,omitempty"`
	Message string       `json:"message,omitempty"`
}

// Text is stored inline in its row, or in the object store if it is large.
type Text struct {
	Inline string `json:"inline,omitempty"`
	// Object is the name of the object; empty for an inline text.
	Object string `json:"object,omitempty"`
}

// Prefixes of table rows.
const (
	jobPrefix     = "job/"
	requestPrefix = "jobreq/"
	keyPrefix     = "jobkey/"
	ownerPrefix   = "jobown/"
	markPrefix    = "jobmark/"
)

// key joins the escaped parts into a row key. Since separators are escaped, a
// part can't refer to the rows of another customer or owner.
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
func (r *Record) ownerRow() string {
	return key(ownerPrefix, r.Owner, r.OwnerIncarnation, r.Customer, r.ID)
}

// jobRow returns the key of a request's row, within its shard for the sweeper.
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
