package operatorapi

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Templates is what the server needs of template.Store.
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

// StatusSource tells the state of the deployment.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// Drainer begins graceful stops and tells their progress.
type Drainer interface {
	// Drain begins a stop. Beginning it again changes nothing.
	Drain(ctx context.Context, target DrainTarget) error
	// Drains returns the stops that were begun.
	Drains(ctx context.Context) ([]DrainStatus, error)
}

// Readiness says whether this entry takes new work; reason is empty where it
// does.
type Readiness interface {
	Ready() (ok bool, reason string)
}

// ReadyFunc is a function as a Readiness.
type ReadyFunc func() (ok bool, reason string)

// Ready implements Readiness.
func (f ReadyFunc) Ready() (bool, string) { return f() }

// TemplateReadiness is ready while the template's watcher lets new work in.
func TemplateReadiness(w interface {
	Ready() bool
	Fresh() bool
}) Readiness {
	return ReadyFunc(func() (bool, string) {
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
