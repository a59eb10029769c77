package operatorapi

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Templates reads and changes templates. *template.Store implements it.
type Templates interface {
	List(ctx context.Context) ([]template.Head, error)
	Head(ctx context.Context, name string) (template.Head, error)
	Get(ctx context.Context, name string, version uint64) (*template.Template, error)
	History(ctx context.Context, name string) ([]template.HistoryEntry, error)
	Drafts(ctx context.Context, name string) ([]template.Draft, error)
	Draft(ctx context.Context, name, id string) (template.Draft, error)
	Edit(ctx context.Context, base uint64, author string, t *template.Template) (template.Draft, error)
	Approve(ctx context.Context, name, id, author string) (uint64, error)
}

// StatusSource reports the state of the deployment.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// Drainer starts drains of hosts and failure domains, and reports their
// progress.
type Drainer interface {
	// Drain starts a drain. It has no effect if that drain was already
	// started.
	Drain(ctx context.Context, target DrainTarget) error
	// Drains returns the status of all drains that were started.
	Drains(ctx context.Context) ([]DrainStatus, error)
}

// Readiness is one condition for this entry to accept new requests. Ready
// returns true and an empty reason if the condition is met.
type Readiness interface {
	Ready() (ok bool, reason string)
}

// ReadinessFunc adapts a function to Readiness.
type ReadinessFunc func() (ok bool, reason string)

// Ready implements Readiness.
func (f ReadinessFunc) Ready() (bool, string) { return f() }

// TemplateReadiness returns a Readiness that is met while the template watcher
// has a template that is up to date.
func TemplateReadiness(w interface {
	Ready() bool
	Fresh() bool
}) Readiness {
	return ReadinessFunc(func() (bool, string) {
		switch {
		case !w.Ready():
			return false, "no template yet"
		case !w.Fresh():
			return false, "the template may be out of date"
		default:
			return true, ""
		}
	})
}
