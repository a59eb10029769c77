package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Policy selects how endpoints are chosen.
type Policy string

// Policies. All but PolicyDefault are baselines for experiments.
const (
	PolicyDefault       Policy = "coltsfootcleat"
	PolicyRoundRobin    Policy = "round-robin"
	PolicyLeastInFlight Policy = "least-in-flight"
	PolicyAffinityOnly  Policy = "affinity-only"
)

// Reasons for which a host leaves. Others may be given to MarkLeaving.
const (
	// ReasonHostList and ReasonEngine are those that the Fleet finds itself.
	ReasonHostList = "host_list"
	ReasonEngine   = "engine"
	// ReasonOperator is an operator's wish. It does not count as a loss of
	// the host's class.
	ReasonOperator = "operator"
)

// Options configure a Fleet. The zero value works.
type Options struct {
	// FailureDomain and Region are those of the entry.
	FailureDomain string
	Region        string
	Weights       template.Weights
	// Policy defaults to PolicyDefault.
	Policy Policy
	// Log defaults to a logger that writes nothing.
	Log *logrus.Entry
	// Now defaults to time.Now.
	Now func() time.Time
	// Seed seeds the sampling of candidates.
	Seed uint64
	// IndexEntries bounds the prefix index; 0 means DefaultIndexEntries.
	IndexEntries int
	// HardInvalidation drops an endpoint's index entries at a gap in its
	// cache events instead of discounting them.
	HardInvalidation bool
	// OnLeaving is called once for each host that the Fleet itself finds to
	// be leaving, from the host list or from an engine's load report. It is
	// called without locks held and must not block.
	OnLeaving func(hostID, incarnation, reason string)
}

// Request describes the work to be placed.
type Request struct {
	RequestID string
	Customer  string
	Model     string
	Version   string
	// Hashes are the prompt's block hashes of package prefix.
	Hashes []uint64
	// PromptTokens is the prompt's length; for a resumed request it includes
	// the answer so far.
	PromptTokens int
	// MaxTokens is the length that the answer may still reach.
	MaxTokens int
	Urgency   template.Urgency
	// Deadline is the time left until the first token; 0 means none.
	Deadline time.Duration
	// Exclude names endpoints that must not be chosen.
	Exclude []string
	// Resumed is set for a stream that goes on from another endpoint.
	Resumed bool
}

// Choice is a reserved place on an endpoint. Every Choice must be given back
// by Fleet.Done, once.
type Choice struct {
	Endpoint      infra.Endpoint
	HostID        string
	Incarnation   string
	FailureDomain string
	PredictedTTFT time.Duration
	// CachedTokens is the part of the prompt expected in the endpoint's
	// prefix cache.
	CachedTokens int
	// Reason says in a few words why the endpoint was chosen.
	Reason string
	// RunnerUp is the ID of the second best endpoint; empty for none.
	RunnerUp string

	replica     *replica
	reservation reservation
}

// Outcome is how a placed request ended.
type Outcome struct {
	// Err is nil for a whole answer.
	Err error
	// GeneratedTokens were produced by this attempt.
	GeneratedTokens int
}

// EndpointStatus describes an endpoint for status pages.
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
	// Running and Waiting are as last reported; ReportAge says how long ago,
	// and is negative when nothing was reported yet.
	Running       int           `json:"running"`
	Waiting       int           `json:"waiting"`
	ReportAge     time.Duration `json:"report_age_ns"`
	PredictedTTFT time.Duration `json:"predicted_ttft_ns"`
	PricePerHour  float64       `json:"price_per_hour"`
	LossPerHour   float64       `json:"loss_per_hour"`
}
