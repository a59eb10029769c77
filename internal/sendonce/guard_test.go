package sendonce

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAbortReportsWritesAndPreventsLaterOnes(t *testing.T) {
	for _, test := range []struct {
		name    string
		use     func(conn *trackedConn)
		written bool
	}{
		{"fresh", func(*trackedConn) {}, false},
		{"written", func(conn *trackedConn) { _, _ = conn.Write([]byte("x")) }, true},
		{"an earlier request was written", func(conn *trackedConn) {
			_, _ = conn.Write([]byte("x"))
			conn.beginRequest()
		}, false},
		{"the write failed", func(conn *trackedConn) {
			_ = conn.Conn.Close()
			_, _ = conn.Write([]byte("x"))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			near, far := net.Pipe()
			received := make(chan []byte, 1)
			go func() {
				data, _ := io.ReadAll(far)
				received <- data
			}()
			conn := &trackedConn{Conn: near}
			conn.beginRequest()
			test.use(conn)
			c.Assert(conn.abort(), qt.Equals, test.written)
			before := <-received
			_, err := conn.Write([]byte("late"))
			c.Assert(err, qt.Equals, errAborted)
			c.Assert(string(before), qt.Not(qt.Contains), "late")
		})
	}
}
