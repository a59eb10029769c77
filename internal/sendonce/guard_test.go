package sendonce

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestGuardSealsARequestThatWasNotWritten(t *testing.T) {
	for _, test := range []struct {
		name    string
		use     func(g *guard)
		written bool
	}{
		{"fresh", func(*guard) {}, false},
		{"written", func(g *guard) { _, _ = g.Write([]byte("x")) }, true},
		{"an earlier request was written", func(g *guard) {
			_, _ = g.Write([]byte("x"))
			g.begin()
		}, false},
		{"the write failed", func(g *guard) {
			_ = g.Conn.Close()
			_, _ = g.Write([]byte("x"))
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
			g := &guard{Conn: near}
			g.begin()
			test.use(g)
			c.Assert(g.seal(), qt.Equals, test.written)
			before := <-received
			_, err := g.Write([]byte("late"))
			c.Assert(err, qt.Equals, errSealed)
			c.Assert(string(before), qt.Not(qt.Contains), "late")
		})
	}
}
