package main

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const explainLog = `
 12.1 e1 {"entry":"e1","msg":"replica: draining.","replica":"r1","time":"2026-01-01T00:00:09.5Z"}
{"entry":"e1","msg":"replica: draining.","replica":"r2","time":"2026-01-01T00:00:09.6Z"}
{"entry":"e2","msg":"follow: feed is lost.","time":"2026-01-01T00:00:09.7Z"}
{"entry":"e1","msg":"gateway: request ended.","request":"a","replica":"r1","ms":500,"time":"2026-01-01T00:00:10Z"}
{"entry":"e1","msg":"gateway: request ended.","request":"b","replica":"r1","ms":500,"time":"2026-01-01T00:00:10Z"}
{"entry":"e1","msg":"gateway: stream resumes.","request":"a","time":"2026-01-01T00:00:09.9Z"}
{"entry":"e1","msg":"app: configuration in force.","configuration":7,"time":"2026-01-01T00:00:05Z"}
no JSON at all
`

func TestExplainSelectsLinesOfRequest(t *testing.T) {
	lines, err := parseLog(strings.NewReader(explainLog))
	qt.Assert(t, err, qt.IsNil)
	messages := func(all bool) string {
		var out []string
		for _, l := range explain(lines, "a", all) {
			out = append(out, l.text("msg"))
		}
		return strings.Join(out, "|")
	}
	qt.Assert(t, messages(false), qt.Equals, "replica: draining.|gateway: stream resumes.|gateway: request ended.")
	qt.Assert(t, messages(true), qt.Equals,
		"replica: draining.|replica: draining.|follow: feed is lost.|gateway: stream resumes.|gateway: request ended.")
	qt.Assert(t, explain(lines, "none", false), qt.HasLen, 0)
}

// TestExamplesOfTheOperationsPage checks that the log in docs/examples contains
// the requests that docs/OPERATIONS.md explains, with the outcomes it states.
func TestExamplesOfTheOperationsPage(t *testing.T) {
	lines, err := readLog("../../docs/examples/trouble-1.log")
	qt.Assert(t, err, qt.IsNil)
	more, err := readLog("../../docs/examples/load-1.log")
	qt.Assert(t, err, qt.IsNil)
	lines = append(lines, more...)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	for id, outcome := range map[string]string{
		"254dfb5369053b6c": "refused", "2829bc9be246a0aa": "cut", "11e72638733a1b61": "answered",
		"q77-712": "refused", "q77-1073": "answered", "q501-3947": "answered",
	} {
		qt.Assert(t, strings.Contains(string(page), "explain "+id), qt.IsTrue)
		related := explain(lines, id, false)
		qt.Assert(t, len(related) > 1, qt.IsTrue)
		var outcomes []string
		for _, l := range related {
			if o := l.text("outcome"); o != "" {
				outcomes = append(outcomes, o)
			}
		}
		qt.Assert(t, outcomes, qt.DeepEquals, []string{outcome})
	}
}

const statementsLog = `
{"entry":"e1","msg":"throttle: replica has a limit.","replica":"r1","per_second":4,"time":"2026-01-01T00:00:01Z"}
{"entry":"e1","msg":"throttle: replica has a limit.","replica":"r1","per_second":2.5,"time":"2026-01-01T00:00:02Z"}
{"entry":"e1","msg":"throttle: replica pauses.","replica":"r2","pause_ms":9000,"time":"2026-01-01T00:00:02Z"}
{"entry":"e2","msg":"throttle: replica pauses.","replica":"r1","pause_ms":9000,"time":"2026-01-01T00:00:03Z"}
{"entry":"e1","msg":"speed: estimate changed.","replica":"r1","speed":0.5,"time":"2026-01-01T00:00:01Z"}
{"entry":"e1","msg":"gateway: request ended.","request":"a","replica":"r1","ms":5,"time":"2026-01-01T00:00:10Z"}
`

// Guards against an explanation without the statement or the speed of a replica that
// decided, which may be long before the request.
func TestExplainShowsWhatTheReplicaLastStated(t *testing.T) {
	lines, err := parseLog(strings.NewReader(statementsLog))
	qt.Assert(t, err, qt.IsNil)
	related := explain(lines, "a", false)
	qt.Assert(t, related, qt.HasLen, 3)
	qt.Check(t, related[0].fields["speed"], qt.Equals, 0.5)
	qt.Check(t, related[1].fields["per_second"], qt.Equals, 2.5)
	qt.Check(t, related[2].text("request"), qt.Equals, "a")
}
