package gateway

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
)

// Settings are those of one entry that forwards by route.
type Settings struct {
	// ID names the entry; it is unique in the deployment.
	ID            string
	FailureDomain string
	Region        string
	// FailureDomains are those of the whole deployment.
	FailureDomains []string
	// Listen holds the "ip:port" of each listener. Metrics may be empty.
	Listen Listen
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Retry bounds second tries over all entries.
	Retry RetryBounds
	// LimitTolerance is how far customers may exceed their limits, in part and
	// in units.
	LimitTolerance quota.Tolerance
	// Usage is how usage is reported.
	Usage UsageBounds
	// LeaseLength is how long one holder of a duty is left alone.
	LeaseLength time.Duration
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	// ReportsUsage and OrdersReplicas say which duties there are.
	ReportsUsage, OrdersReplicas bool
}

// Listen holds the addresses of an entry's listeners.
type Listen struct {
	Clients, Ready, Peers, Metrics string
}

// RetryBounds are those of the second tries for a service: in each Window at
// most Ratio for each request, and Extra besides.
type RetryBounds struct {
	Ratio, Extra float64
	Window       time.Duration
}

// UsageBounds say which windows of time usage is counted in, and how long
// after its end a window's report is due.
type UsageBounds struct {
	Window, Due time.Duration
}
