// Package infra defines the interfaces to the platform that the system runs
// on: a transactional table, an object store, a host list, a cloud API and a
// weight store.
//
// Implementations are safe for concurrent use. Every error has an execution
// verdict (package verdict): a write whose answer was lost is
// verdict.MayHaveRun, and the caller must read the result back before it acts
// on it.
package infra

import (
	"context"
	"math"
	"time"
)

// ExpectAbsent and ExpectAny are special values of Write.Expect.
const (
	// ExpectAbsent requires that the row does not exist.
	ExpectAbsent uint64 = 0
	// ExpectAny writes unconditionally.
	ExpectAny uint64 = math.MaxUint64
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version identifies the commit that wrote the row. Versions increase
	// monotonically, even when a row is deleted and inserted again, and when the
	// table is restored from a copy: the rows of the copy then have versions of
	// the new epoch (NewVersion). An existing row has a version of at least 1.
	Version uint64 `json:"version"`
}

// Write is one conditional put or delete of a commit.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
	// Expect is the version that the row must have at the commit,
	// ExpectAbsent, or ExpectAny.
	Expect uint64 `json:"expect"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns the row. The second result is false if it is absent.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns all rows whose key has the prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit atomically applies all writes or none, and returns the version
	// of every written row. A failed expectation is a *ConflictError with
	// verdict.NotRun.
	Commit(ctx context.Context, writes ...Write) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body. The second result is false if it is absent.
	Get(ctx context.Context, key string) ([]byte, bool, error)
	Delete(ctx context.Context, key string) error
}

// HostState is the state of a host in the host list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// Kinds of endpoint.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Endpoint is one engine or plain service on a host.
type Endpoint struct {
	ID   string       `json:"id"`
	Kind EndpointKind `json:"kind"`
	// Addr is "ip:port".
	Addr string `json:"addr"`
	// Name is the model of an engine, or the name of a plain service.
	Name string `json:"name"`
	// Version is the model version loaded when the host was last listed.
	Version string `json:"version,omitempty"`
	// ChecksFence is set if the endpoint refuses an order or a call with a
	// fencing token lower than the highest one it has seen.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Host is one endpoint host of the host list.
type Host struct {
	ID string `json:"id"`
	// Incarnation changes when a host is replaced under the same ID.
	Incarnation   string     `json:"incarnation"`
	FailureDomain string     `json:"failure_domain"`
	Region        string     `json:"region,omitempty"`
	Class         string     `json:"class"`
	Reclaimable   bool       `json:"reclaimable"`
	State         HostState  `json:"state"`
	Endpoints     []Endpoint `json:"endpoints"`
	// PricePerHour is in the deployment's currency.
	PricePerHour float64 `json:"price_per_hour"`
}

// HostList lists live and draining hosts. It may lag behind their actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Notice announces that a host will be reclaimed.
type Notice struct {
	// Seq is the sequence number, which increases with each notice of the
	// cloud API.
	Seq         uint64 `json:"seq"`
	HostID      string `json:"host_id"`
	Incarnation string `json:"incarnation"`
	// Remaining is the time until the host is reclaimed, counted from the
	// reading of the notice. It is a duration because clocks are never
	// compared across hosts.
	Remaining time.Duration `json:"remaining_ns"`
}

// Offer is a class of hosts that the cloud offers in a failure domain.
type Offer struct {
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region,omitempty"`
	Class         string  `json:"class"`
	Reclaimable   bool    `json:"reclaimable"`
	PricePerHour  float64 `json:"price_per_hour"`
	// LossPerHour is the observed number of reclaims per host and hour.
	LossPerHour float64 `json:"loss_per_hour"`
}

// HostRequest requests one host. RequestID makes the request idempotent.
type HostRequest struct {
	RequestID     string `json:"request_id"`
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
	// Model and Version identify the model version that the host's engine
	// loads when it starts.
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Cloud is the cloud API.
type Cloud interface {
	Offers(ctx context.Context) ([]Offer, error)
	// Request returns the new host. A refusal for lack of capacity has
	// verdict.NotRun and verdict.CodeUnavailable.
	Request(ctx context.Context, r HostRequest) (Host, error)
	// Release releases a host. It returns nil for an unknown host.
	Release(ctx context.Context, hostID string) error
	// Notices returns the notices with a Seq above after, oldest first.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
}

// WeightStore limits the rate at which hosts load model weights.
type WeightStore interface {
	// Versions lists the versions that can be loaded for a model.
	Versions(ctx context.Context, model string) ([]string, error)
	// Reserve reserves a slot to load weights. It returns the delay after
	// which the load may start; 0 means now.
	Reserve(ctx context.Context, model, version string) (time.Duration, error)
}
