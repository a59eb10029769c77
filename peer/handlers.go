package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

// Handlers handle messages and calls of peers. Each of them may be nil. They
// run on the reading goroutine of a connection and must not block, except for
// Changes and Handoff, which run on goroutines of their own.
type Handlers struct {
	// EntryState receives each new state of another member, whether or not it
	// is a neighbour.
	EntryState func(from string, s EntryState)
	// TemplateVersion receives the version of a template that is in force at a
	// neighbour and can be fetched from it.
	TemplateVersion func(from, name string, version uint64)
	// TemplateFetch returns a version of a template for a peer, and false if
	// this entry doesn't have it.
	TemplateFetch func(name string, version uint64) (json.RawMessage, bool)
	// Reserve reserves units of a customer's limit for a peer if they become
	// available within the given time. The second result is false if this entry
	// is not the owner of the limit.
	Reserve func(customer string, units float64, within time.Duration) (rate.Reservation, bool)
	// ReserveReplicated is Reserve for peers that may ask either owner of a limit.
	ReserveReplicated func(customer string, r LimitRequest) (rate.Reservation, bool)
	// Levels receives the levels of limits that a peer and this entry own, and
	// returns this entry's.
	Levels func(from string, levels []LimitLevel) []LimitLevel
	// Changes returns the changes of a feed that this entry follows. It returns
	// infra.ErrCompacted or follow.ErrUnavailable as follow.History.Since does.
	// It may block.
	Changes func(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error)
	// Place chooses the endpoint of a centrally placed prompt for a peer.
	Place func(PlaceRequest) PlaceResult
	// PlacedEnd records the end of a request that Place recorded. It must not block.
	PlacedEnd func(PlacedEnd)
	// Permit decides on a peer's request for a permit.
	Permit func(from string, r PermitRequest) PermitResult
	// Rollout receives a peer's report on a roll-out.
	Rollout func(from string, r RolloutReport) RolloutReply
	// Loads receives the load report of a peer and returns the sum for it.
	Loads func(from string, r LoadReport) LoadSum
	// CountsPushed receives the counts of a peer's own requests.
	CountsPushed func(from string, c IncarnationCounts)
	// Counts returns what this entry has recorded of the requests that began to
	// run at any entry.
	Counts func() []IncarnationCounts
	// Handoff adopts a durable request that a peer hands off. It may block.
	Handoff func(ctx context.Context, jobID string) error
}

func (h Handlers) entryState(from string, s EntryState) {
	if h.EntryState != nil {
		h.EntryState(from, s)
	}
}

func (h Handlers) templateVersion(from, name string, version uint64) {
	if h.TemplateVersion != nil {
		h.TemplateVersion(from, name, version)
	}
}

func (h Handlers) templateFetch(name string, version uint64) (json.RawMessage, bool) {
	if h.TemplateFetch == nil {
		return nil, false
	}
	return h.TemplateFetch(name, version)
}

func (h Handlers) reserve(p reserveParams) (rate.Reservation, bool) {
	r := p.request()
	switch {
	case p.Replicated && h.ReserveReplicated != nil:
		return h.ReserveReplicated(p.Customer, r)
	case h.Reserve != nil:
		return h.Reserve(p.Customer, r.Units, r.Within)
	default:
		return rate.Reservation{}, false
	}
}

func (h Handlers) changes(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error) {
	if h.Changes == nil {
		return infra.Update{}, errors.New("feeds are not served here")
	}
	return h.Changes(ctx, feed, after, wait)
}

func (h Handlers) place(p PlaceRequest) PlaceResult {
	if h.Place == nil {
		return PlaceResult{}
	}
	return h.Place(p)
}

func (h Handlers) placedEnd(e PlacedEnd) {
	if h.PlacedEnd != nil {
		h.PlacedEnd(e)
	}
}

func (h Handlers) permit(from string, r PermitRequest) PermitResult {
	if h.Permit == nil {
		return PermitResult{NotOwner: true}
	}
	return h.Permit(from, r)
}

func (h Handlers) loads(from string, r LoadReport) LoadSum {
	if h.Loads == nil {
		return LoadSum{}
	}
	return h.Loads(from, r)
}

func (h Handlers) countsPushed(from string, c IncarnationCounts) {
	if h.CountsPushed != nil && c.Member == from {
		h.CountsPushed(from, c)
	}
}

func (h Handlers) counts() []IncarnationCounts {
	if h.Counts == nil {
		return nil
	}
	return h.Counts()
}

func (h Handlers) handoff(ctx context.Context, jobID string) error {
	if h.Handoff == nil {
		return errors.New("handoff is not served here")
	}
	return h.Handoff(ctx, jobID)
}
