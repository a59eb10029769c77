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

// dialRaw opens a connection and writes text unchanged.
func (s *testServer) dialRaw(c *qt.C, text string) net.Conn {
	c.Helper()
	conn, err := s.network.Dialer("10.7.0.2")(c.Context(), "tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}

func requestHead(method, path, auth, headers string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n", method, path, auth, headers)
}

// TestStalledBody checks that the server answers and closes the connection
// within a bounded time if a body does not arrive, for each reason to refuse
// the request.
func TestStalledBody(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		status int
		code   verdict.Code
	}{
		{"chat", requestHead("POST", chatPath, keyOne, "Content-Length: 100\r\n") + `{"model"`, 408, verdict.CodeStalled},
		{"service", requestHead("POST", "/services/orders/orders", keyOne, "Idempotency-Key: k\r\nContent-Length: 100\r\n"), 408, verdict.CodeStalled},
		{"chunked", requestHead("POST", chatPath, keyOne, "Transfer-Encoding: chunked\r\n") + "5\r\n{", 408, verdict.CodeStalled},
		{"unknown key", requestHead("POST", chatPath, "nobody", "Content-Length: 100\r\n"), 401, verdict.CodeUnauthorized},
		{"unknown path", requestHead("POST", "/v2", keyOne, "Content-Length: 100\r\n"), 404, verdict.CodeNotFound},
		{"stream of a request", requestHead("GET", "/v1/requests/r1/stream", keyOne, "Content-Length: 100\r\n"), 400, verdict.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(t)
				began := time.Now()
				conn := s.dialRaw(c, test.text)
				c.Assert(conn.SetReadDeadline(began.Add(time.Hour)), qt.IsNil)
				reader := bufio.NewReader(conn)
				resp, err := http.ReadResponse(reader, nil)
				c.Assert(err, qt.IsNil)
				s.assertNotRun(c, readReply(c, resp), test.status, test.code)
				_, err = reader.ReadByte()
				c.Assert(err, qt.Equals, io.EOF)
				c.Assert(time.Since(began) <= 2*bodyTimeout, qt.IsTrue, qt.Commentf("connection closed after %v", time.Since(began)))
			})
		})
	}
}

// TestBodyDeadlineDoesNotLimitAnswer checks that the read deadline of the body
// is cleared, so that it does not cut an answer that takes longer.
func TestBodyDeadlineDoesNotLimitAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(t)
		s.delay = 10 * bodyTimeout
		c.Assert(s.send(c, chat(validChat)).status, qt.Equals, http.StatusOK)
		c.Assert(s.send(c, order("/orders", "Idempotency-Key", "k")).status, qt.Equals, http.StatusOK)
	})
}

// TestConnectionReusedAfterStream checks that the write deadline of a stream
// does not cut the reply to a later call on the same connection.
func TestConnectionReusedAfterStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(t)
		streamed := strings.Replace(validChat, "{", `{"stream":true,`, 1)
		c.Assert(s.send(c, chat(streamed)).body, qt.Contains, "[DONE]")
		time.Sleep(time.Minute)
		c.Assert(s.send(c, order("/orders", "Idempotency-Key", "k")).status, qt.Equals, http.StatusOK)
		c.Assert(s.runs.Load(), qt.Equals, int64(2))
	})
}

// TestClientStopsReading checks that a request ends if its client stops reading
// the reply. Otherwise the request would keep the entry from draining.
func TestClientStopsReading(t *testing.T) {
	streamed := strings.Replace(validChat, "{", `{"stream":true,`, 1)
	tests := map[string]string{
		"stream":   requestHead("POST", chatPath, keyOne, fmt.Sprintf("Content-Length: %d\r\n", len(streamed))) + streamed,
		"complete": requestHead("POST", chatPath, keyOne, fmt.Sprintf("Content-Length: %d\r\n", len(validChat))) + validChat,
		"service":  requestHead("POST", "/services/orders/orders", keyOne, "Idempotency-Key: k\r\nContent-Length: 2\r\n") + "{}",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(t)
				s.answer = strings.Repeat("x", 1<<20)
				s.dialRaw(c, text)
				synctest.Wait()
				c.Assert(s.inFlight.Load(), qt.Equals, int64(1))
				time.Sleep(31 * time.Second)
				synctest.Wait()
				c.Assert(s.inFlight.Load(), qt.Equals, int64(0))
			})
		})
	}
}
