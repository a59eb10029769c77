package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// scope is the name of the instrumentation scope.
const scope = "github.com/coltsfootcleat/coltsfootcleat"

// Bucket boundaries of the histograms, in seconds.
var (
	firstTokenBounds = []float64{0.05, 0.1, 0.2, 0.3, 0.46, 0.7, 1, 2, 5, 10, 30, 60}
	// ratioBounds are ratios.
	ratioBounds = []float64{0.1, 0.25, 0.5, 0.7, 0.85, 1, 1.15, 1.3, 1.5, 2, 4, 10}
	tableBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5}
)

// Metrics holds the instruments of one process. All methods are safe for
// concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter

	requests    metric.Int64Counter
	retries     metric.Int64Counter
	resumed     metric.Int64Counter
	recomputed  metric.Int64Counter
	firstToken  metric.Float64Histogram
	requestTime metric.Float64Histogram
	quarantine  metric.Int64Counter
	suspects    metric.Int64Counter
	statements  metric.Int64Counter
	throttle    metric.Int64Counter
	limits      metric.Int64Counter
	placements  metric.Int64Counter
	rollouts    metric.Int64Counter
	copies      metric.Int64Counter
	replicas    names
	room        metric.Int64Counter
	roomWait    metric.Float64Histogram
	tableCalls  metric.Int64Counter
	tableTime   metric.Float64Histogram
}

// NewMetrics returns the instruments of a process with their own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("telemetry: exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{provider: provider, registry: registry, meter: provider.Meter(scope)}
	if err := errors.Join(m.newInstruments(), m.observeInvariants()); err != nil {
		return nil, fmt.Errorf("telemetry: instruments: %w", err)
	}
	return m, nil
}

func (m *Metrics) newInstruments() error {
	var errs [18]error
	m.requests, errs[0] = m.meter.Int64Counter("coltsfootcleat.requests",
		metric.WithDescription("Requests that ended, by kind and outcome."))
	m.retries, errs[1] = m.meter.Int64Counter("coltsfootcleat.retries",
		metric.WithDescription("Attempts after the first, by reason."))
	m.resumed, errs[2] = m.meter.Int64Counter("coltsfootcleat.resumed",
		metric.WithDescription("Streams that went on elsewhere, by how."))
	m.recomputed, errs[3] = m.meter.Int64Counter("coltsfootcleat.recomputed", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens computed again because earlier work was lost or not reused."))
	m.firstToken, errs[4] = m.meter.Float64Histogram("coltsfootcleat.first_token", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...),
		metric.WithDescription("Time from acceptance to the first token, by kind."))
	m.tableCalls, errs[5] = m.meter.Int64Counter("coltsfootcleat.table_calls",
		metric.WithDescription("Calls of the table service, by operation and outcome."))
	m.tableTime, errs[6] = m.meter.Float64Histogram("coltsfootcleat.table_time", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(tableBounds...),
		metric.WithDescription("Time of calls of the table service, by operation."))
	m.requestTime, errs[7] = m.meter.Float64Histogram("coltsfootcleat.request_time", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(firstTokenBounds...),
		metric.WithDescription("Time from a request's arrival to the end of its answer, by route, outcome and status."))
	m.quarantine, errs[8] = m.meter.Int64Counter("coltsfootcleat.quarantine",
		metric.WithDescription("Events of the quarantine of prompt parts: crashes, bans, lifts, refusals and trials."))
	m.statements, errs[9] = m.meter.Int64Counter("coltsfootcleat.replica_statements",
		metric.WithDescription("Answers that state something about their replica, by statement and whether it was known."))
	m.throttle, errs[10] = m.meter.Int64Counter("coltsfootcleat.throttle",
		metric.WithDescription("Events of the limits of replicas: limits, their ends, permits and denials."))
	m.suspects, errs[11] = m.meter.Int64Counter("coltsfootcleat.suspects",
		metric.WithDescription("Replicas that broke off an answer, by the sign that they have crashed."))
	m.limits, errs[12] = m.meter.Int64Counter("coltsfootcleat.limit_decisions",
		metric.WithDescription("Decisions by customers' limits, by who decided and the outcome."))
	m.room, errs[13] = m.meter.Int64Counter("coltsfootcleat.room",
		metric.WithDescription("Decisions on the room of services, by event."))
	m.roomWait, errs[14] = m.meter.Float64Histogram("coltsfootcleat.room_wait_ratio",
		metric.WithExplicitBucketBoundaries(ratioBounds...),
		metric.WithDescription("Actual time until there was room for a refused request, divided by the expected one."))
	m.placements, errs[15] = m.meter.Int64Counter("coltsfootcleat.placements",
		metric.WithDescription("Calls to the placers of groups of replicas, by outcome."))
	m.rollouts, errs[16] = m.meter.Int64Counter("coltsfootcleat.rollouts",
		metric.WithDescription("Events of roll-outs at the entry that controls them: stages, status rows and failed writes."))
	m.copies, errs[17] = m.meter.Int64Counter("coltsfootcleat.configuration_copy",
		metric.WithDescription("Events of the copy of a large configuration: loads with and without it, and writes."))
	return errors.Join(errs[:]...)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts down the meter provider. Later calls of the instruments have no
// effect.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Answered counts a request that received its complete answer.
func (m *Metrics) Answered(kind string) { m.countRequest(kind, "answered") }

// Failed counts a request that failed, with its execution verdict as outcome.
func (m *Metrics) Failed(kind string, v verdict.Verdict) { m.countRequest(kind, v.String()) }

func (m *Metrics) countRequest(kind, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// Ended records the duration of a forwarded request by its route, outcome and
// status.
func (m *Metrics) Ended(route, outcome string, status int, took time.Duration) {
	m.requestTime.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("route", route), attribute.String("outcome", outcome), attribute.Int("status", status)))
}

// Retried counts a retry of a request, by its reason.
func (m *Metrics) Retried(reason string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Throttled counts an event of the limits of replicas.
func (m *Metrics) Throttled(event string) {
	m.throttle.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// LimitDecided counts a decision by a customer's limit. by is "first owner", "second
// owner", "own part" or "last refusal".
func (m *Metrics) LimitDecided(by string, granted bool) {
	m.limits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("by", by), attribute.Bool("granted", granted)))
}

// RoomDecided counts a decision on the room of a service.
func (m *Metrics) RoomDecided(event string) {
	m.room.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// RoomExpected records the expected and the actual time until there was room for a
// refused request.
func (m *Metrics) RoomExpected(expected, actual time.Duration) {
	if expected > 0 {
		m.roomWait.Record(context.Background(), actual.Seconds()/expected.Seconds())
	}
}

// Stated counts an answer that states something about its replica. known is set
// if the entry knew that before. Replicas after the first maxNamedReplicas are
// counted together.
func (m *Metrics) Stated(replica, statement string, known bool) {
	m.statements.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("replica", m.replicas.bounded(replica)), attribute.String("statement", statement), attribute.Bool("known", known)))
}

// maxNamedReplicas bounds the replicas that have counters of their own.
const maxNamedReplicas = 100

// names is a set of names of bounded size. It is safe for concurrent use.
type names struct {
	mu    sync.Mutex
	known map[string]bool
}

// bounded returns the name if it is one of the first maxNamedReplicas, else
// "other".
func (n *names) bounded(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	if !n.known[name] && len(n.known) >= maxNamedReplicas {
		return "other"
	}
	n.known[name] = true
	return name
}

// Suspected counts a decision on a replica that broke off an answer.
func (m *Metrics) Suspected(sign string) {
	m.suspects.Add(context.Background(), 1, metric.WithAttributes(attribute.String("sign", sign)))
}

// Quarantined counts an event of the quarantine of prompt parts.
func (m *Metrics) Quarantined(event string) {
	m.quarantine.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// RolledOut counts an event of the roll-outs to new versions.
func (m *Metrics) RolledOut(event string) {
	m.rollouts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// ConfigurationCopied counts an event of the copy of a large configuration.
func (m *Metrics) ConfigurationCopied(event string) {
	m.copies.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// Resumed counts a stream that was resumed elsewhere; how is for example "kv"
// or "prompt".
func (m *Metrics) Resumed(how string) {
	m.resumed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("how", how)))
}

// Recomputed counts tokens that were computed again.
func (m *Metrics) Recomputed(tokens int) { m.recomputed.Add(context.Background(), int64(tokens)) }

// FirstToken records the time from the acceptance of a request to its first
// token.
func (m *Metrics) FirstToken(kind string, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// Gauges holds the functions that return the current values of the gauges. A
// gauge whose function is nil is omitted.
type Gauges struct {
	// TemplateVersion returns the template version in force on this entry.
	TemplateVersion func() uint64
	// Leases returns the number of leases held, and Draining the number of
	// draining hosts.
	Leases   func() int
	Draining func() int
	// TableEpoch returns the epoch of the table.
	TableEpoch func() uint64
}

// RegisterGauges registers the gauges, which are read at each collection.
func (m *Metrics) RegisterGauges(g Gauges) error {
	gauges := map[string]func() int64{}
	if g.TemplateVersion != nil {
		gauges["coltsfootcleat.template_version"] = func() int64 { return int64(g.TemplateVersion()) }
	}
	if g.Leases != nil {
		gauges["coltsfootcleat.leases_held"] = func() int64 { return int64(g.Leases()) }
	}
	if g.Draining != nil {
		gauges["coltsfootcleat.draining"] = func() int64 { return int64(g.Draining()) }
	}
	if g.TableEpoch != nil {
		gauges["coltsfootcleat.table_epoch"] = func() int64 { return int64(g.TableEpoch()) }
	}
	for name, f := range gauges {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(f())
			return nil
		}
		if _, err := m.meter.Int64ObservableGauge(name, metric.WithInt64Callback(observe)); err != nil {
			return fmt.Errorf("telemetry: gauge: %w", err)
		}
	}
	return nil
}

// observeInvariants registers a counter of the violations of each invariant.
func (m *Metrics) observeInvariants() error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for name, n := range invariant.Counts() {
			o.Observe(int64(n), metric.WithAttributes(attribute.String("name", string(name))))
		}
		return nil
	}
	_, err := m.meter.Int64ObservableCounter("coltsfootcleat.invariants_broken",
		metric.WithDescription("Broken invariants, by name."), metric.WithInt64Callback(observe))
	return err
}
