package operatorapi

import (
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// EntryStatus is the state of one entry host.
type EntryStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// TemplateVersion is the version that the entry runs; 0 if it has none.
	TemplateVersion uint64 `json:"template_version"`
	Ready           bool   `json:"ready"`
	Draining        bool   `json:"draining"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"in_flight"`
	// SeenAgoS is the time since the last contact with the entry, in seconds.
	SeenAgoS float64 `json:"seen_ago_s"`
}

// EndpointStatus is the state of one engine or plain service.
type EndpointStatus struct {
	ID            string `json:"id"`
	HostID        string `json:"host_id"`
	FailureDomain string `json:"failure_domain"`
	Addr          string `json:"addr"`
	// Name is the name of the model or the service. Version is the model
	// version that is loaded.
	Name     string `json:"name"`
	Version  string `json:"version,omitempty"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	// Reason describes why the endpoint gets no new requests. It is empty if
	// the endpoint gets new requests.
	Reason string `json:"reason,omitempty"`
}

// CustomerStatus is the usage of one customer.
type CustomerStatus struct {
	Name            string  `json:"name"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// SpendPerHour and CeilingPerHour are in the currency of the deployment.
	SpendPerHour   float64 `json:"spend_per_hour"`
	CeilingPerHour float64 `json:"ceiling_per_hour"`
	Waiting        int     `json:"waiting"`
}

// LeaseStatus is the state of one lease.
type LeaseStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Fence uint64 `json:"fence"`
}

// DrainStatus is the progress of one drain.
type DrainStatus struct {
	// Target is the host or the failure domain that is drained.
	Target DrainTarget `json:"target"`
	// Reason describes why the target is drained.
	Reason string `json:"reason"`
	// InFlight is the number of requests still in flight on the target.
	InFlight int `json:"in_flight"`
	// Done is true once no requests are in flight on the target.
	Done bool `json:"done"`
}

// DrainTarget is a host or a failure domain. Exactly one of the fields is set.
type DrainTarget struct {
	Host          string `json:"host,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Status is one entry's view of the state of the deployment.
type Status struct {
	Entry      string           `json:"entry"`
	Deployment string           `json:"deployment"`
	Entries    []EntryStatus    `json:"entries"`
	Endpoints  []EndpointStatus `json:"endpoints"`
	Customers  []CustomerStatus `json:"customers"`
	Leases     []LeaseStatus    `json:"leases"`
	Drains     []DrainStatus    `json:"drains"`
}

// TemplateBody is the content of one version of a template.
type TemplateBody struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// TOML is the content of the template file.
	TOML string `json:"toml"`
}

// EditRequest is a request to record a draft.
type EditRequest struct {
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// File is the file name that faults are reported with. TOML is the content
	// of the file.
	File string `json:"file"`
	TOML string `json:"toml"`
}

// EditReply describes a draft. Diff is its difference from the base version.
type EditReply struct {
	DraftID string `json:"draft_id"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Diff    string `json:"diff"`
}

// ApproveRequest is a request to put a draft in force.
type ApproveRequest struct {
	DraftID string `json:"draft_id"`
	Author  string `json:"author"`
}

// ApproveReply holds the number of the version that the draft became.
type ApproveReply struct {
	Version uint64 `json:"version"`
}

// DiffReply is the difference between two versions, or a version and a draft.
type DiffReply struct {
	Diff string `json:"diff"`
}

// TemplateStatus is the state of one template and of the entries that run it.
type TemplateStatus struct {
	Name string `json:"name"`
	// Head is the version in force according to the table.
	Head    uint64        `json:"head"`
	Entries []EntryStatus `json:"entries"`
	// Drafts are the drafts that have not been approved. Their diffs are empty.
	Drafts []EditReply `json:"drafts"`
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string       `json:"message"`
	Code    verdict.Code `json:"code"`
	// Verdict is "not_run", "may_have_run" or "ran".
	Verdict string `json:"verdict"`
	// Faults lists the faults of an invalid template file.
	Faults template.Faults `json:"faults,omitempty"`
	// Conflict is set if the template changed since the base version of the
	// edit.
	Conflict *template.ConflictError `json:"conflict,omitempty"`
}
