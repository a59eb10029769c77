package sendonce_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/internal/sendonce"
)

// Guards against an answer that isn't valid HTTP reaching the callers of a Transport.
func TestMalformedAnswerIsAnError(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok"},
		{"status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok"},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := memnet.New()
				l, err := network.Listen(address)
				c.Assert(err, qt.IsNil)
				defer l.Close()
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							defer conn.Close()
							if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
								_, _ = io.WriteString(conn, test.answer)
							}
						}()
					}
				}()
				transport := sendonce.New(network.Dialer("10.0.0.2"))
				defer transport.Close()
				for _, send := range []func(*http.Request) (*http.Response, bool, error){transport.SendOnce, transport.SendRepeatable} {
					resp, written, err := send(request(c, http.MethodGet, ""))
					if err == nil {
						_ = resp.Body.Close()
					}
					c.Check(err, qt.IsNotNil)
					c.Check(written, qt.IsTrue)
				}
			})
		})
	}
}
