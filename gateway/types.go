package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
)

// Request is a client's request as its headers state it.
type Request struct {
	// ID is the client's name of this attempt.
	ID string
	// Key is the API key; empty where there is none.
	Key string
	// ClientTimeout is how long the client will wait; 0 where it doesn't say.
	ClientTimeout time.Duration
	// Parts are the prompt's parts in order. The last is the request's own,
	// or that of its session; the others are shared.
	Parts []balance.Part
	// TokensStated says that the next two fields are known.
	TokensStated bool
	// PromptTokens is the length of the prompt, OutputTokens the most that
	// the answer may have.
	PromptTokens, OutputTokens int
	// LastEventID is the last event that the client has of a stream.
	LastEventID string
}

// Forwarding is what the system says to a replica beside the request.
type Forwarding struct {
	// Remaining is how long the client still waits.
	Remaining time.Duration
	// ReplicaID must be that of the replica, or it doesn't run the request.
	ReplicaID string
	// Customer is set where the request has one.
	Customer string
	// Keyed says that requests carry keys, which replicas must not see.
	Keyed bool
	// Urgency is the rank of the request at an engine, 0 first; negative
	// where it isn't stated.
	Urgency int
	// LastEventID resumes a stream after that event.
	LastEventID string
}

// Reply is what the header of a replica's answer says.
type Reply struct {
	// RequestID is the attempt that it answers; empty where it isn't stated.
	RequestID string
	// NotRun is the replica's promise that the request has not run.
	NotRun bool
}

// Dialect knows the headers of clients and replicas. Implementations are safe
// for concurrent use and decide nothing.
type Dialect interface {
	// Decode reads a client's request. An error says what is malformed.
	Decode(r *http.Request) (Request, error)
	// Forward returns the header for a replica: that of the client without
	// what concerns one connection or is the system's to set.
	Forward(r *http.Request, f Forwarding) http.Header
	// Reply reads the header of a replica's answer.
	Reply(status int, header http.Header) Reply
	// Answer returns the header for the client.
	Answer(header http.Header) http.Header
}
