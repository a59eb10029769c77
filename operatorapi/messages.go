package operatorapi

import (
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// EntryStatus is one entry host.
type EntryStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// TemplateVersion is the version in force on the entry, 0 for none.
	TemplateVersion uint64 `json:"template_version"`
	Ready           bool   `json:"ready"`
	Draining        bool   `json:"draining"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"in_flight"`
	// SeenAgoS is how long ago the entry was last heard, in seconds.
	SeenAgoS float64 `json:"seen_ago_s"`
}

// EndpointStatus is one engine or plain service.
type EndpointStatus struct {
	ID            string `json:"id"`
	HostID        string `json:"host_id"`
	FailureDomain string `json:"failure_domain"`
	Addr          string `json:"addr"`
	// Name is the model or the service, Version the model version loaded.
	Name     string `json:"name"`
	Version  string `json:"version,omitempty"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	// Reason says why the endpoint gets no new work, where it gets none.
	Reason string `json:"reason,omitempty"`
}

// CustomerStatus is the use that one customer makes of the deployment.
type CustomerStatus struct {
	Name            string  `json:"name"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// SpendPerHour and CeilingPerHour are in the deployment's currency.
	SpendPerHour   float64 `json:"spend_per_hour"`
	CeilingPerHour float64 `json:"ceiling_per_hour"`
	Waiting        int     `json:"waiting"`
}

// LeaseStatus is one lease.
type LeaseStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Fence uint64 `json:"fence"`
}

// DrainStatus is the progress of one graceful stop.
type DrainStatus struct {
	// Target is the host, or the failure domain, that is drained.
	Target DrainTarget `json:"target"`
	Reason string      `json:"reason"`
	// InFlight is the number of requests still in progress there.
	InFlight int `json:"in_flight"`
	// Done says that nothing is left in progress.
	Done bool `json:"done"`
}

// DrainTarget names a host or a whole failure domain; one of both is set.
type DrainTarget struct {
	Host          string `json:"host,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Status is the state of the deployment as one entry sees it.
type Status struct {
	Entry      string           `json:"entry"`
	Deployment string           `json:"deployment"`
	Entries    []EntryStatus    `json:"entries"`
	Endpoints  []EndpointStatus `json:"endpoints"`
	Customers  []CustomerStatus `json:"customers"`
	Leases     []LeaseStatus    `json:"leases"`
	Drains     []DrainStatus    `json:"drains"`
}

// TemplateBody is one version of a template.
type TemplateBody struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// TOML is the template as a file.
	TOML string `json:"toml"`
}

// EditRequest asks for a draft.
type EditRequest struct {
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// File is the name to report faults under, TOML the file's text.
	File string `json:"file"`
	TOML string `json:"toml"`
}

// EditReply is a draft and what it changes of its base.
type EditReply struct {
	DraftID string `json:"draft_id"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Diff    string `json:"diff"`
}

// ApproveRequest asks to put a draft in force.
type ApproveRequest struct {
	DraftID string `json:"draft_id"`
	Author  string `json:"author"`
}

// ApproveReply names the version that is in force now.
type ApproveReply struct {
	Version uint64 `json:"version"`
}

// DiffReply is the difference between two versions, or a version and a draft.
type DiffReply struct {
	Diff string `json:"diff"`
}

// TemplateStatus says which entries run which version.
type TemplateStatus struct {
	Name string `json:"name"`
	// Head is the version in force by the table.
	Head    uint64        `json:"head"`
	Entries []EntryStatus `json:"entries"`
	// Drafts wait for approval.
	Drafts []EditReply `json:"drafts"`
}

// ErrorBody is the body of each refusal and failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	Message string       `json:"message"`
	Code    verdict.Code `json:"code"`
	// Verdict is "not_run", "may_have_run" or "ran".
	Verdict string `json:"verdict"`
	// Faults are those of a file that is not valid.
	Faults template.Faults `json:"faults,omitempty"`
	// Conflict is set where a template changed since the edit began.
	Conflict *template.ConflictError `json:"conflict,omitempty"`
}
