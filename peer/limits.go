package peer

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitsPerSecond bounds the limits that an entry sends on all of its
	// connections, and limitsBurst those on one of them at once: the limits of
	// any number of endpoints may change with each answer. What waits is
	// superseded by newer values.
	limitsPerSecond = 40
	limitsBurst     = 256
)

// LimitLog holds the limits that endpoints have stated, which a Mesh spreads to
// all entries. Implementations must be safe for concurrent use.
type LimitLog interface {
	// Add adds a limit from a peer and reports whether it was new. Only new ones
	// are passed on.
	Add(from string, l ReplicaLimit) bool
	// Since returns up to limit limits that changed after position, and the
	// position after the last one returned.
	Since(position uint64, limit int) ([]ReplicaLimit, uint64)
	// OnBroadcast registers f to be called when Since has more to return. f must
	// not block.
	OnBroadcast(f func())
}

// ReplicaLimit is the limit that an endpoint has stated.
type ReplicaLimit struct {
	Endpoint    string `json:"e"`
	Incarnation int64  `json:"i,omitempty"`
	// PerSecond is the number of requests per second that the endpoint accepts
	// from all entries together, 0 if it doesn't state a limit any more.
	PerSecond float64 `json:"l,omitempty"`
	// Version orders the values that entries announce. Each entry that changes a
	// value increases it.
	Version uint64 `json:"v"`
}

// replicaLimits broadcasts limits. It is sent at once.
type replicaLimits struct {
	Limits []ReplicaLimit `json:"l"`
}

// PermitRequest asks an owner of a limit for a permit to send one request.
type PermitRequest struct {
	// Limit is the limit as the sender knows it.
	Limit ReplicaLimit `json:"l"`
	// Class is a throttle.Class.
	Class    int    `json:"k,omitempty"`
	Customer string `json:"c,omitempty"`
	// Alternatives is set if another endpoint accepts the request without a
	// permit.
	Alternatives bool `json:"a,omitempty"`
	// WithinMS is how long the request can wait for a permit.
	WithinMS int64 `json:"p,omitempty"`
}

// PermitResult is the reply to PermitRequest.
type PermitResult struct {
	// Granted is set if the request may be sent after DelayMS.
	Granted bool  `json:"g,omitempty"`
	DelayMS int64 `json:"d,omitempty"`
	// WaitMS is the time until a permit is expected to be available, AskInMS the
	// time after which the sender may ask again.
	WaitMS  int64 `json:"w,omitempty"`
	AskInMS int64 `json:"n,omitempty"`
	// NotOwner is set if the peer doesn't grant permits of the limit.
	NotOwner bool `json:"e,omitempty"`
	// Newer is the limit as the peer knows it, if that is newer than what the
	// sender knows.
	Newer *ReplicaLimit `json:"l,omitempty"`
}

func (l *link) handleLimits(n replicaLimits) {
	if l.mesh.o.Limits == nil {
		return
	}
	for _, limit := range n.Limits {
		l.mesh.o.Limits.Add(l.peer.ID, limit)
	}
}

// sendLimits sends the limits that changed since the last call, within the limit
// of their rate. The next state update continues.
func (l *link) sendLimits(ctx context.Context) error {
	if l.mesh.o.Limits == nil {
		return nil
	}
	now := time.Now()
	l.limitLimiter.SetLimitAt(now, rate.Limit(limitsPerSecond/float64(max(1, l.mesh.linkCount()))))
	batch, position := l.mesh.o.Limits.Since(l.limitPosition, int(l.limitLimiter.TokensAt(now)))
	if len(batch) == 0 {
		return nil
	}
	l.limitLimiter.AllowN(now, len(batch))
	l.limitPosition = position
	return l.conn.Notify(ctx, methodLimits, replicaLimits{Limits: batch})
}

// Permit asks a peer, as an owner of a limit, for a permit.
func (m *Mesh) Permit(ctx context.Context, peer string, r PermitRequest) (PermitResult, error) {
	var result PermitResult
	err := m.callCached(ctx, peer, methodPermit, r, &result)
	return result, err
}
