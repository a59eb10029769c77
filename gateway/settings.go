package gateway

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
)

// Settings configure one entry that forwards by route.
type Settings struct {
	// ID identifies the entry; it is unique in the deployment.
	ID            string
	FailureDomain string
	Region        string
	// FailureDomains lists all failure domains of the deployment.
	FailureDomains []string
	// Listen holds the "ip:port" of each listener. That of Metrics may be
	// empty.
	Listen Listen
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Retry bounds the retries of all entries together.
	Retry RetryBounds
	// LimitTolerance bounds by how much customers may exceed their limits.
	LimitTolerance quota.Tolerance
	// Usage configures the reporting of usage.
	Usage UsageSettings
	// LeaseLength is the duration of a lease on a leader task.
	LeaseLength time.Duration
	// MemoryBytes is the maximum memory use of the process.
	MemoryBytes int64
	// ReportsUsage and OrdersReplicas enable the leader tasks of this
	// deployment.
	ReportsUsage, OrdersReplicas bool
	// Room enables admission control by the room of services in deployments of many
	// entries.
	Room bool
	// Rollouts configures roll-outs to new versions.
	Rollouts RolloutSettings
}

// RolloutSettings bound what a version gets that isn't proved: Share of the requests
// of its service plus Slack requests, and none later than Rollback after it is known
// to be bad.
type RolloutSettings struct {
	// Enabled is set if operators may order roll-outs.
	Enabled      bool
	Share, Slack float64
	Rollback     time.Duration
}

// Listen holds the addresses of an entry's listeners.
type Listen struct {
	Clients, Ready, Peers, Metrics string
}

// RetryBounds limit the retries for a service: in each Window, at most Ratio
// retries per request, plus Extra.
type RetryBounds struct {
	Ratio, Extra float64
	Window       time.Duration
}

// UsageSettings hold the length of the windows in which usage is counted, and
// the time after the end of a window by which its report is due.
type UsageSettings struct {
	Window, Due time.Duration
}
