package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// instrumentedTable counts and times the calls of a table.
type instrumentedTable struct {
	next infra.Table
	m    *Metrics
}

// InstrumentTable returns a table that passes each call to next, counts it by
// operation and outcome, and records its duration.
func (m *Metrics) InstrumentTable(next infra.Table) infra.Table {
	return &instrumentedTable{next: next, m: m}
}

// Get implements infra.Table.
func (t *instrumentedTable) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	start := time.Now()
	row, ok, err := t.next.Get(ctx, key)
	t.m.tableCall(ctx, "get", start, err)
	return row, ok, err
}

// Scan implements infra.Table.
func (t *instrumentedTable) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	start := time.Now()
	rows, err := t.next.Scan(ctx, prefix)
	t.m.tableCall(ctx, "scan", start, err)
	return rows, err
}

// Commit implements infra.Table.
func (t *instrumentedTable) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	start := time.Now()
	version, err := t.next.Commit(ctx, writes...)
	t.m.tableCall(ctx, "commit", start, err)
	return version, err
}

func (m *Metrics) tableCall(ctx context.Context, operation string, start time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(verdict.CodeOf(err))
	}
	op := attribute.String("operation", operation)
	m.tableCalls.Add(ctx, 1, metric.WithAttributes(op, attribute.String("outcome", outcome)))
	m.tableTime.Record(ctx, time.Since(start).Seconds(), metric.WithAttributes(op))
}
