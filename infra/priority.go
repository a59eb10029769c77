package infra

import "context"

// Priority orders writes when they exceed the write budget that all entries
// share. Writes with a lower value are admitted first.
type Priority int

// Priorities of writes, most important first.
const (
	PriorityOnce Priority = iota
	PriorityAccept
	PriorityLease
	PriorityCheckpoint
)

type priorityKey struct{}

// WithPriority returns a context for writes with a priority.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the priority of writes made with ctx. The default is
// PriorityCheckpoint, the lowest one.
func PriorityOf(ctx context.Context) Priority {
	p, ok := ctx.Value(priorityKey{}).(Priority)
	if !ok {
		return PriorityCheckpoint
	}
	return p
}
