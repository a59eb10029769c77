package rollout

import (
	"slices"
	"time"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service, To string
	// Duration is the time until the deadline, counted from the order.
	Duration time.Duration
}

// Bounds limit what a version gets that isn't proved: Share of the requests of its
// service plus Slack requests, and none later than Rollback after it is known to be
// bad.
type Bounds struct {
	Share, Slack float64
	Rollback     time.Duration
}

// The controller aims at parts of the bounds, which leave room for requests that are
// counted late. The verdict is due before the deadline, so the part of the share is
// about half of it for all requests until then.
const shareAim, slackAim = 0.75, 0.45

// mostAim is the part of the bounds that is used at most.
const mostAim = 0.95

// permits returns the number of requests that may be sent to a version that isn't
// proved, of the requests of its service.
func (b Bounds) permits(requests int) int {
	return int(shareAim*b.Share*float64(requests) + slackAim*b.Slack)
}

// mostPermits returns the number of permits with which the bound holds even if no more
// requests come.
func (b Bounds) mostPermits(requests int) int {
	return int(mostAim * (b.Share*float64(requests) + b.Slack))
}

// maxPermitLife returns how long permits may last.
func (b Bounds) maxPermitLife() time.Duration { return b.Rollback / 4 }

// Stage is how far the roll-out of an order has come.
type Stage string

// Stages of a roll-out. Completed and RolledBack are final.
const (
	// Trial hands out permits for the new version.
	Trial Stage = "trial"
	// Moving has closed the old versions; requests there are still in progress.
	Moving Stage = "moving"
	// Completed is set once no entry uses the old versions any more.
	Completed Stage = "completed"
	// RolledBack has closed the new version.
	RolledBack Stage = "rolled back"
)

// Final reports whether the stage is the last one of its order.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// Row is the state of a service's newest order in the table.
type Row struct {
	To         string `json:"to"`
	DurationMS int64  `json:"duration_ms"`
	Stage      Stage  `json:"stage"`
	// Reason explains the stage to operators.
	Reason string `json:"reason,omitempty"`
	// ElapsedMS is the time since the order when the row was written.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Reserved bounds the number of permits that were handed out. It is written
	// before they are, so that a new holder never hands out more than the bound.
	Reserved int `json:"reserved"`
	// Allowed are the versions that may be used without a permit: those that
	// served before the first order, and those that were proved.
	Allowed []string `json:"allowed"`
	// Closed are the versions with the verdict that they are bad.
	Closed []string `json:"closed,omitempty"`
	// Status is the stage that the status row was last written for.
	Status Stage `json:"status,omitempty"`
	// Evidence is what a new holder can't learn from the reports of the entries. It is
	// written whenever something else in the row changes.
	Evidence *SavedEvidence `json:"evidence,omitempty"`
	// Fence is the fencing token of the holder that wrote the row.
	Fence uint64 `json:"fence"`
}

// Withdrawn is the reason of a roll-out whose order was deleted during the trial. It
// is no verdict on the version, which a later order may try again.
const Withdrawn = "order withdrawn"

// continues reports whether the row is the state of an order.
func (r Row) continues(o Order) bool {
	return r.To == o.To && (r.Stage != RolledBack || r.Reason != Withdrawn)
}

// next returns the state with which a new order begins, given that of the order
// before it.
func (r Row) next(o Order) Row {
	out := Row{
		To: o.To, DurationMS: o.Duration.Milliseconds(), Stage: Trial,
		Allowed: slices.Clone(r.Allowed), Closed: slices.Clone(r.Closed),
	}
	if r.Stage == Moving || r.Stage == Completed {
		out.allow(r.To)
	}
	switch {
	case slices.Contains(out.Closed, o.To):
		out.Stage, out.Reason = RolledBack, "version was found bad before"
	case slices.Contains(out.Allowed, o.To):
		out.Stage, out.Reason = Moving, "version has served before"
	}
	return out
}

func (r *Row) allow(version string) {
	if version != "" && !slices.Contains(r.Allowed, version) {
		r.Allowed = append(r.Allowed, version)
	}
}

// rowPrefix begins the keys of the rows of this package.
const rowPrefix = "rollout/"

// RowKey returns the key of a service's row in the table.
func RowKey(service string) string { return rowPrefix + service }
