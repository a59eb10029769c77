package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
)

// Request holds what the headers of a client's request state.
type Request struct {
	// ID is the client's ID of this attempt.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// ClientTimeout is the time that the client waits for the answer; 0 if it
	// is not stated.
	ClientTimeout time.Duration
	// Parts are the prompt parts in order. The last one belongs to this request
	// or its session alone; the others may be shared with other requests.
	Parts []balance.Part
	// TokensStated is set if PromptTokens and OutputTokens are.
	TokensStated bool
	// PromptTokens is the length of the prompt, OutputTokens the maximum length
	// of the answer.
	PromptTokens, OutputTokens int
	// LastEventID is the ID of the last event of a stream that the client has
	// received.
	LastEventID string
}

// Forwarding holds what the entry adds to a request that it sends to a replica.
type Forwarding struct {
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// ReplicaID is the ID of the intended replica. A replica with another ID
	// doesn't run the request.
	ReplicaID string
	// Customer is the name of the customer; empty if the request has none.
	Customer string
	// Keyed is set if requests have API keys, which must not be forwarded to
	// replicas.
	Keyed bool
	// Urgency is the priority of the request at an engine. 0 is the highest; a
	// negative number means that none is stated.
	Urgency int
	// LastEventID resumes a stream after the event with this ID.
	LastEventID string
}

// Reply holds what the header of a replica's answer states.
type Reply struct {
	// RequestID is the ID of the attempt that the answer belongs to; empty if
	// none or several are stated.
	RequestID string
	// NotRun is the replica's guarantee that the request has not run.
	NotRun bool
	// Leaving is set if the replica only finishes the requests that it has.
	Leaving bool
	// Limit is the number of requests per second that the replica accepts from
	// all entries together; 0 if it states none.
	Limit float64
	// Pause is the time in which the replica accepts no requests from this
	// entry; 0 if it states none.
	Pause time.Duration
	// Invalid lists statements that can't be understood. Those of them that
	// would set Limit say neither that there is a limit nor that there is none.
	Invalid []string
}

// Dialect translates between the headers of clients and replicas and the types
// of this package. Implementations must only translate, and must be safe for
// concurrent use.
type Dialect interface {
	// DecodeRequest decodes the headers of a client's request. It returns an
	// error if they are malformed.
	DecodeRequest(r *http.Request) (Request, error)
	// ReplicaHeader returns the header that is sent to a replica. It is the
	// client's header without connection-specific fields, with the fields that
	// the entry sets itself in place of the client's.
	ReplicaHeader(r *http.Request, f Forwarding) http.Header
	// DecodeReply decodes the header of a replica's answer.
	DecodeReply(status int, header http.Header) Reply
	// ClientHeader returns the header that is sent to the client, given the
	// header of a replica's answer.
	ClientHeader(header http.Header) http.Header
}
