package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

func TestLinesBeginWithTheirComponent(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log, err := telemetry.NewLogger("info", "json", &out)
	c.Assert(err, qt.IsNil)
	telemetry.Component(log, "relay").WithField("endpoint", "e1").Info("resumed.")
	telemetry.Component(log, "relay").Info("relay: ended.")
	telemetry.Component(log, "relay").Debug("hidden.")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	var first, second map[string]string
	c.Assert(json.Unmarshal([]byte(lines[0]), &first), qt.IsNil)
	c.Assert(json.Unmarshal([]byte(lines[1]), &second), qt.IsNil)
	c.Assert(first["msg"], qt.Equals, "relay: resumed.")
	c.Assert(first["endpoint"], qt.Equals, "e1")
	c.Assert(second["msg"], qt.Equals, "relay: ended.")
}

func TestLoggerRefusesUnknownSettings(t *testing.T) {
	c := qt.New(t)
	_, err := telemetry.NewLogger("loud", "text", &bytes.Buffer{})
	c.Assert(err, qt.ErrorMatches, ".*loud.*")
	_, err = telemetry.NewLogger("info", "xml", &bytes.Buffer{})
	c.Assert(err, qt.ErrorMatches, ".*xml.*")
}

func TestMetricsAreServed(t *testing.T) {
	c := qt.New(t)
	m, err := telemetry.NewMetrics()
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(m.Close(context.Background()), qt.IsNil) }()
	c.Assert(m.RegisterGauges(telemetry.Gauges{
		TemplateVersion: func() uint64 { return 7 },
		Leases:          func() int { return 2 },
		Draining:        func() int { return 1 },
	}), qt.IsNil)
	m.Answered("stock-query")
	m.Failed("refill-order", verdict.NotRun)
	m.Retried("died")
	m.Resumed("kv")
	m.Recomputed(30)
	m.FirstToken("dealer-question", 400*time.Millisecond)
	violationsBefore := invariant.Counts()[invariant.AnswerOwner] // by earlier runs in this process
	invariant.Check(false, invariant.AnswerOwner, "for this test")

	rows := standin.NewTable(1)
	table := m.InstrumentTable(rows)
	_, _, err = table.Get(context.Background(), "a")
	c.Assert(err, qt.IsNil)
	rows.SetFaults(standin.TableFaults{Outage: true})
	_, err = table.Commit(context.Background())
	c.Assert(err, qt.IsNotNil)
	_, err = table.Scan(context.Background(), "a")
	c.Assert(err, qt.IsNotNil)

	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`coltsfootcleat_requests_total{kind="stock-query",outcome="answered"} 1`,
		`coltsfootcleat_requests_total{kind="refill-order",outcome="not_run"} 1`,
		`coltsfootcleat_retries_total{reason="died"} 1`,
		`coltsfootcleat_resumed_total{how="kv"} 1`,
		`coltsfootcleat_recomputed_total 30`,
		`coltsfootcleat_first_token_seconds_bucket{kind="dealer-question",le="0.3"} 0`,
		`coltsfootcleat_first_token_seconds_bucket{kind="dealer-question",le="0.46"} 1`,
		`coltsfootcleat_table_calls_total{operation="get",outcome="ok"} 1`,
		`coltsfootcleat_table_calls_total{operation="commit",outcome="unavailable"} 1`,
		`coltsfootcleat_table_calls_total{operation="scan",outcome="unavailable"} 1`,
		`coltsfootcleat_template_version 7`,
		`coltsfootcleat_leases_held 2`,
		`coltsfootcleat_draining 1`,
		fmt.Sprintf(`coltsfootcleat_invariants_broken_total{name="answer_owner"} %d`, violationsBefore+1),
	} {
		c.Check(strings.Contains(answer.Body.String(), line+"\n"), qt.IsTrue, qt.Commentf("%s in\n%s", line, answer.Body))
	}
}

// Guards against a counter for each of any number of replicas.
func TestCountersByReplicaAreBounded(t *testing.T) {
	m, err := telemetry.NewMetrics()
	qt.Assert(t, err, qt.IsNil)
	for i := range 500 {
		m.Stated(fmt.Sprint("replica-", i), "limit", false)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	lines := strings.Count(rec.Body.String(), "\ncoltsfootcleat_replica_statements_total{")
	qt.Check(t, lines, qt.Equals, 101)
}
