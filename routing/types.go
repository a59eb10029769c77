package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Policy names the algorithm that chooses endpoints.
type Policy string

// Policies. All but PolicyDefault are baselines for experiments.
const (
	PolicyDefault       Policy = "coltsfootcleat"
	PolicyRoundRobin    Policy = "round-robin"
	PolicyLeastInFlight Policy = "least-in-flight"
	PolicyAffinityOnly  Policy = "affinity-only"
)

// Reasons for which a host is draining. Callers of MarkLeaving may pass others.
const (
	// ReasonHostList and ReasonEngine are the reasons that the Fleet detects
	// itself: the state in the host list and an engine's load report.
	ReasonHostList = "host_list"
	ReasonEngine   = "engine"
	// ReasonOperator is the reason of a drain that an operator requested. Such
	// a drain does not count towards the loss rate of the host's class.
	ReasonOperator = "operator"
)

// Options configures a Fleet. The zero value is valid.
type Options struct {
	// FailureDomain and Region locate the entry.
	FailureDomain string
	Region        string
	Weights       template.Weights
	// Policy defaults to PolicyDefault.
	Policy Policy
	// Log defaults to a logger that discards all output.
	Log *logrus.Entry
	// Now defaults to time.Now.
	Now func() time.Time
	// Seed seeds the sampling of candidates.
	Seed uint64
	// IndexEntries is the maximum number of blocks in the prefix index; 0
	// means DefaultIndexEntries.
	IndexEntries int
	// HardInvalidation drops all index entries of an endpoint after a gap in
	// its cache events, instead of discounting them.
	HardInvalidation bool
	// OnLeaving is called once for each host that the Fleet itself detects as
	// draining, from the host list or from an engine's load report. It is
	// called without locks held and must not block.
	OnLeaving func(hostID, incarnation, reason string)
}

// Request describes a request for which an endpoint is chosen.
type Request struct {
	RequestID string
	Customer  string
	Model     string
	Version   string
	// Hashes are the prompt's block hashes as returned by prefix.Hashes.
	Hashes []uint64
	// PromptTokens is the length of the prompt. For a resumed request it
	// includes the answer generated so far.
	PromptTokens int
	// MaxTokens is the number of tokens that may still be generated.
	MaxTokens int
	Urgency   template.Urgency
	// Deadline is the time left until the first token; 0 means none.
	Deadline time.Duration
	// Exclude names endpoints that must not be chosen.
	Exclude []string
	// Resumed is set for a stream that began on another endpoint.
	Resumed bool
}

// Choice is a reservation on an endpoint. It must be released with Fleet.Done.
type Choice struct {
	Endpoint      infra.Endpoint
	HostID        string
	Incarnation   string
	FailureDomain string
	PredictedTTFT time.Duration
	// CachedTokens is the number of prompt tokens expected in the endpoint's
	// prefix cache.
	CachedTokens int
	// Reason is a short text on why the endpoint was chosen, for the log.
	Reason string
	// RunnerUp is the ID of the second best endpoint, or empty.
	RunnerUp string

	replica     *replica
	reservation reservation
}

// Outcome is the result of an attempt on a chosen endpoint.
type Outcome struct {
	// Err is nil for a complete answer.
	Err error
	// GeneratedTokens is the number of tokens that this attempt generated.
	GeneratedTokens int
}

// EndpointStatus describes an endpoint for the status API.
type EndpointStatus struct {
	Endpoint      infra.Endpoint `json:"endpoint"`
	HostID        string         `json:"host_id"`
	Incarnation   string         `json:"incarnation"`
	FailureDomain string         `json:"failure_domain"`
	Class         string         `json:"class"`
	Reclaimable   bool           `json:"reclaimable"`
	Leaving       bool           `json:"leaving"`
	LeavingReason string         `json:"leaving_reason,omitempty"`
	Ejected       bool           `json:"ejected"`
	// InFlight counts this entry's own requests on the endpoint.
	InFlight int `json:"in_flight"`
	// Running and Waiting are as last reported. ReportAge is the age of that
	// report, or negative before the first report.
	Running       int           `json:"running"`
	Waiting       int           `json:"waiting"`
	ReportAge     time.Duration `json:"report_age_ns"`
	PredictedTTFT time.Duration `json:"predicted_ttft_ns"`
	PricePerHour  float64       `json:"price_per_hour"`
	LossPerHour   float64       `json:"loss_per_hour"`
}
