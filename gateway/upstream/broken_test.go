package upstream_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
)

// Guards against a connection being kept for longer than the replica keeps it, because a
// check before the write returned it to the pool.
func TestCheckThatFailsDoesNotRenewTheIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, pool := newReplica(t, func(nc net.Conn, id string, _ int) bool {
			_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok")
			return err == nil
		})
		_, err := sendAndRead(pool, "a", "")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(1200 * time.Millisecond)
		refused := request("b", "")
		refused.Check = func() error { return errors.New("leaving") }
		_, err = pool.Send(t.Context(), refused)
		qt.Assert(t, err, qt.IsNotNil)
		time.Sleep(700 * time.Millisecond) // 1.9 of the 2 s that the replica keeps it
		_, err = sendAndRead(pool, "c", "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.connections.Load(), qt.Equals, int64(2))
	})
}

// Guards against the beginning of an answer not being seen as one because it came with a
// skipped answer.
func TestBeginningOfAnAnswerAfterASkippedOneIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, pool := newReplica(t, func(nc net.Conn, id string, n int) bool {
			if n == 0 {
				_, err := io.WriteString(nc, answer(id, "ok"))
				return err == nil
			}
			_, _ = io.WriteString(nc, answer("a", "ok")+"HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransf")
			return false
		})
		_, err := sendAndRead(pool, "a", "")
		qt.Assert(t, err, qt.IsNil)
		_, err = sendAndRead(pool, "b", "")
		qt.Check(t, err, qt.ErrorIs, upstream.ErrAnswerBegun)
	})
}

// Guards against a crash within an answer that is skipped being no evidence.
func TestBreakWithinASkippedAnswerIsABreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, pool := newReplica(t, func(nc net.Conn, id string, n int) bool {
			if n == 0 {
				_, err := io.WriteString(nc, answer(id, "ok"))
				return err == nil
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100\r\n\r\npart")
			return false
		})
		_, err := sendAndRead(pool, "a", "")
		qt.Assert(t, err, qt.IsNil)
		_, err = sendAndRead(pool, "b", "")
		qt.Check(t, errors.Is(err, upstream.ErrAnswerBegun) || errors.Is(err, upstream.ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", err))
	})
}
