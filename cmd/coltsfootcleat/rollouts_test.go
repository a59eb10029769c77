package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

// Guards against an answer that is broken being printed as the list of roll-outs.
func TestBrokenListOfRolloutsFails(t *testing.T) {
	const list = `[{"service":"s","to":"2","stage":"trial"}]`
	for _, test := range []struct {
		name, answer string
		want         subcommands.ExitStatus
	}{
		{"complete", "HTTP/1.1 200 OK\r\n\r\n" + list, subcommands.ExitSuccess},
		{"part of a body without a length", "HTTP/1.1 200 OK\r\n\r\n" + list[:20], subcommands.ExitFailure},
		{"status 000", "HTTP/1.1 000 X\r\n\r\n" + list, subcommands.ExitFailure},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n" + list, subcommands.ExitFailure},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n" + list, subcommands.ExitFailure},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				qt.Check(t, err, qt.IsNil)
				defer conn.Close()
				_, _ = io.WriteString(conn, test.answer)
			}))
			defer server.Close()
			r := execute("status", "-rollouts", strings.TrimPrefix(server.URL, "http://"))
			qt.Check(t, r.code, qt.Equals, test.want, qt.Commentf("%s%s", r.out, r.err))
		})
	}
}
