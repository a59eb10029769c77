package operatorapi_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Guards against an answer that is broken being shown to an operator as the state of the
// deployment, or as the success of an order.
func TestBrokenAnswerIsNotUsed(t *testing.T) {
	const drains = `[{"host":"h1"}]`
	for _, test := range []struct{ name, answer string }{
		{"part of a body without a length", "HTTP/1.1 200 OK\r\n\r\n" + drains[:len(drains)/2]},
		{"status 000", fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s", len(drains), drains)},
		{"status 099", "HTTP/1.1 099 X\r\n\r\n" + drains},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n" + drains},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n" + drains},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				c.Check(err, qt.IsNil)
				defer conn.Close()
				_, _ = io.WriteString(conn, test.answer)
			}))
			defer broken.Close()
			client := operatorapi.NewClient(broken.URL, key, broken.Client())
			_, err := client.Drain(t.Context(), operatorapi.DrainTarget{Host: "h1"})
			c.Check(err, qt.IsNotNil)
			c.Check(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
			_, err = client.Drains(t.Context())
			c.Check(err, qt.IsNotNil)
			c.Check(verdict.Of(err), qt.Equals, verdict.NotRun)
		})
	}
}
