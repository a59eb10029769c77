package telemetry

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// ReplicaLoads is an entry's view of the load of replicas.
type ReplicaLoads struct {
	// InFlight and Speed are by replica ID.
	InFlight, Speed map[string]float64
	// Age is the age of the loads that the other entries reported.
	Age time.Duration
	// Imbalance is, by service, the largest number of placed requests in progress on a
	// replica of this entry's groups, relative to the mean. It is empty on entries that
	// place none.
	Imbalance map[string]float64
}

// RegisterReplicaLoads registers the gauges of the loads of replicas, which are read at
// each collection. Replicas after the first maxNamedReplicas have none.
func (m *Metrics) RegisterReplicaLoads(current func() ReplicaLoads) error {
	type gauge struct {
		name, label string
		values      func(ReplicaLoads) map[string]float64
	}
	for _, g := range []gauge{
		{"coltsfootcleat.replica_in_flight", "replica", func(l ReplicaLoads) map[string]float64 { return l.InFlight }},
		{"coltsfootcleat.replica_speed", "replica", func(l ReplicaLoads) map[string]float64 { return l.Speed }},
		{"coltsfootcleat.replica_imbalance", "service", func(l ReplicaLoads) map[string]float64 { return l.Imbalance }},
		{"coltsfootcleat.load_view_age", "", func(l ReplicaLoads) map[string]float64 {
			return map[string]float64{"": l.Age.Seconds()}
		}},
	} {
		observe := func(_ context.Context, o metric.Float64Observer) error {
			for name, v := range g.values(current()) {
				switch {
				case g.label == "":
					o.Observe(v)
				case g.label != "replica" || m.replicas.bounded(name) == name:
					o.Observe(v, metric.WithAttributes(attribute.String(g.label, name)))
				}
			}
			return nil
		}
		if _, err := m.meter.Float64ObservableGauge(g.name, metric.WithFloat64Callback(observe)); err != nil {
			return fmt.Errorf("telemetry: gauge: %w", err)
		}
	}
	return nil
}

// Placed counts a call to the placer of a group, by its outcome.
func (m *Metrics) Placed(outcome string) {
	m.placements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
