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
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	for id, outcome := range map[string]string{
		"254dfb5369053b6c": "refused", "2829bc9be246a0aa": "cut", "11e72638733a1b61": "answered",
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
