package callerapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// raw opens a connection and writes text as it is.
func (w *world) raw(c *qt.C, text string) net.Conn {
	c.Helper()
	conn, err := w.network.Dialer("10.7.0.2")(c.Context(), "tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}

func head(method, path, auth, headers string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n", method, path, auth, headers)
}

// TestStalledBody has the server answer and hang up in bounded time, whatever
// the request was refused for.
func TestStalledBody(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		status int
		code   verdict.Code
	}{
		{"chat", head("POST", chatPath, keyOne, "Content-Length: 100\r\n") + `{"model"`, 408, verdict.CodeStalled},
		{"service", head("POST", "/services/orders/orders", keyOne, "Idempotency-Key: k\r\nContent-Length: 100\r\n"), 408, verdict.CodeStalled},
		{"chunked", head("POST", chatPath, keyOne, "Transfer-Encoding: chunked\r\n") + "5\r\n{", 408, verdict.CodeStalled},
		{"unknown key", head("POST", chatPath, "nobody", "Content-Length: 100\r\n"), 401, verdict.CodeUnauthorized},
		{"unknown path", head("POST", "/v2", keyOne, "Content-Length: 100\r\n"), 404, verdict.CodeNotFound},
		{"stream of a request", head("GET", "/v1/requests/r1/stream", keyOne, "Content-Length: 100\r\n"), 400, verdict.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t)
				began := time.Now()
				conn := w.raw(c, test.text)
				c.Assert(conn.SetReadDeadline(began.Add(time.Hour)), qt.IsNil)
				reader := bufio.NewReader(conn)
				resp, err := http.ReadResponse(reader, nil)
				c.Assert(err, qt.IsNil)
				w.assertNotRun(c, readReply(c, resp), test.status, test.code)
				_, err = reader.ReadByte()
				c.Assert(err, qt.Equals, io.EOF)
				c.Assert(time.Since(began) <= 2*bodyTime, qt.IsTrue, qt.Commentf("hung up after %v", time.Since(began)))
			})
		})
	}
}

// TestAnswerMayTakeLongerThanItsBody keeps the body's deadline off the
// request behind it.
func TestAnswerMayTakeLongerThanItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t)
		w.delay = 10 * bodyTime
		c.Assert(w.send(c, chat(good)).status, qt.Equals, http.StatusOK)
		c.Assert(w.send(c, order("/orders", "Idempotency-Key", "k")).status, qt.Equals, http.StatusOK)
	})
}

// TestConnectionIsUsedAgainAfterAStream has no write deadline of the stream
// cut the reply to a later call.
func TestConnectionIsUsedAgainAfterAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t)
		streamed := strings.Replace(good, "{", `{"stream":true,`, 1)
		c.Assert(w.send(c, chat(streamed)).body, qt.Contains, "[DONE]")
		time.Sleep(time.Minute)
		c.Assert(w.send(c, order("/orders", "Idempotency-Key", "k")).status, qt.Equals, http.StatusOK)
		c.Assert(w.ran.Load(), qt.Equals, int64(2))
	})
}

// TestReaderThatStops ends the work for a caller that takes no more of a
// reply, so that an entry can drain.
func TestReaderThatStops(t *testing.T) {
	streamed := strings.Replace(good, "{", `{"stream":true,`, 1)
	tests := map[string]string{
		"stream":  head("POST", chatPath, keyOne, fmt.Sprintf("Content-Length: %d\r\n", len(streamed))) + streamed,
		"whole":   head("POST", chatPath, keyOne, fmt.Sprintf("Content-Length: %d\r\n", len(good))) + good,
		"service": head("POST", "/services/orders/orders", keyOne, "Idempotency-Key: k\r\nContent-Length: 2\r\n") + "{}",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t)
				w.whole = strings.Repeat("x", 1<<20)
				w.raw(c, text)
				synctest.Wait()
				c.Assert(w.inside.Load(), qt.Equals, int64(1))
				time.Sleep(31 * time.Second)
				synctest.Wait()
				c.Assert(w.inside.Load(), qt.Equals, int64(0))
			})
		})
	}
}
