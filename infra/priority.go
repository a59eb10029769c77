package infra

import "context"

// Priority orders writes when the shared write budget is short. A lower value
// goes first.
type Priority int

// Priorities of writes, most important first.
const (
	PriorityOnce Priority = iota
	PriorityAccept
	PriorityLease
	PriorityCheckpoint
)

type priorityKey struct{}

// WithPriority returns a context whose writes have the priority.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the priority of writes made with ctx. Without one it is
// PriorityCheckpoint, the lowest.
func PriorityOf(ctx context.Context) Priority {
	p, ok := ctx.Value(priorityKey{}).(Priority)
	if !ok {
		return PriorityCheckpoint
	}
	return p
}
